package fleetconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// FieldNames are the names that a format uses for the members of a change and for the lists that it may change.
type FieldNames struct {
	// Members of the change itself.
	Version, Upsert, Remove string
	// Lists that a change may modify. The value is the member that holds an item's name.
	Lists map[string]string
	// Members of the document that a change replaces as a whole if it contains them.
	ReplacedMembers []string
}

// NativeFieldNames returns the field names of the native format.
func NativeFieldNames() FieldNames {
	return FieldNames{
		Version: "version", Upsert: "upsert", Remove: "remove",
		Lists:           map[string]string{"engines": "id", "bindings": "name", "zones": "name", "routes": "name", "services": "name", "tenants": "name"},
		ReplacedMembers: []string{"policy", "caps"},
	}
}

// item is one element of a list, with the name that identifies it.
type item struct {
	name string
	raw  json.RawMessage
}

// ChangeByName applies a change to a document, both JSON objects:
//
//	{VERSION: 9, UPSERT: {LIST: [ITEM, ...]}, REMOVE: {LIST: [NAME, ...]}}
//
// The upper-case names stand for those of the format. An upserted item replaces the item of the same
// name at its index, or is appended to its list. Removing a name that does not exist changes nothing.
// Everything that the change does not name stays byte for byte and in its order, also inside items,
// which are never decoded. The result is not checked: the format's Read does that.
//
// It fails with a TooLargeError, or with an *InvalidConfigError that lists all errors. Their paths
// refer to the change, or to the document if they begin with "document".
func ChangeByName(document, change []byte, names FieldNames) ([]byte, error) {
	if size := max(len(document), len(change)); size > MaxBytes {
		return nil, fmt.Errorf("change the configuration: %w", TooLargeError{"bytes of the configuration or its change", size, MaxBytes})
	}
	problems := &InvalidConfigError{}
	object := topMembers(problems, "document", document)
	parts := topMembers(problems, "$", change)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	lists := newListChanges(names)
	for _, part := range parts {
		object = lists.read(problems, object, part)
	}
	lists.checkConflicts(problems)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	object = lists.applyTo(problems, object)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	return writeObject(object), nil
}

// listChanges are the upserts and removals of a change, by list.
type listChanges struct {
	names    FieldNames
	upserts  map[string][]item
	removals map[string]map[string]bool
	// changed are the lists that the change names, in its order. They are rewritten in this order
	// and not in that of a map, so that all nodes produce the same bytes from the same change.
	changed []string
}

func newListChanges(names FieldNames) *listChanges {
	return &listChanges{names: names, upserts: map[string][]item{}, removals: map[string]map[string]bool{}}
}

// read reads one member of the change. It returns the document's object, with the member replaced
// if it is the version or one of the ReplacedMembers.
func (l *listChanges) read(problems *InvalidConfigError, object []member, part member) []member {
	switch {
	case part.key == l.names.Version:
		if !isUint64(part.value) {
			problems.Add(part.key, "must be an integer from 0 to %d", uint64(math.MaxUint64))
			return object
		}
		return setMember(object, part)
	case slices.Contains(l.names.ReplacedMembers, part.key):
		return setMember(object, part)
	case part.key == l.names.Upsert:
		eachList(problems, part, l.names, func(path string, list member) {
			l.markChanged(list.key)
			l.upserts[list.key] = readItems(problems, path, list.value, l.names.Lists[list.key])
		})
	case part.key == l.names.Remove:
		eachList(problems, part, l.names, func(path string, list member) {
			l.markChanged(list.key)
			l.removals[list.key] = readNames(problems, path, list.value)
		})
	default:
		problems.Add(part.key, "unknown member of a change")
	}
	return object
}

func (l *listChanges) markChanged(list string) {
	if !slices.Contains(l.changed, list) {
		l.changed = append(l.changed, list)
	}
}

// checkConflicts rejects items that the change both upserts and removes, because the intended order
// is unknown.
func (l *listChanges) checkConflicts(problems *InvalidConfigError) {
	for _, list := range l.changed {
		for i, item := range l.upserts[list] {
			if l.removals[list][item.name] {
				problems.Add(fmt.Sprintf("%s.%s[%d].%s", l.names.Upsert, list, i, l.names.Lists[list]), "the change also removes %q", item.name)
			}
		}
	}
}

// applyTo returns the document's object with the changed lists.
func (l *listChanges) applyTo(problems *InvalidConfigError, object []member) []member {
	for _, list := range l.changed {
		index := slices.IndexFunc(object, func(m member) bool { return m.key == list })
		old := []item{}
		if index >= 0 && !isNull(object[index].value) {
			old = readItems(problems, "document."+list, object[index].value, l.names.Lists[list])
		}
		changed := member{key: list, rawKey: encodeString(list), value: writeList(mergeItems(old, l.upserts[list], l.removals[list]))}
		// A list that the document lacks is added only if it gets items.
		if index >= 0 || len(l.upserts[list]) > 0 {
			object = setMember(object, changed)
		}
	}
	return object
}

// eachList calls each for the lists of an upsert or removal, and reports those that the format does not know.
func eachList(problems *InvalidConfigError, part member, names FieldNames, each func(path string, list member)) {
	if isNull(part.value) {
		return
	}
	if part.value[0] != '{' {
		problems.Add(part.key, "must be an object of lists")
		return
	}
	for _, list := range readMembers(problems, part.key, part.value) {
		path := part.key + "." + list.key
		if _, isKnown := names.Lists[list.key]; !isKnown {
			problems.Add(path, "unknown list")
			continue
		}
		if isNull(list.value) {
			continue
		}
		if list.value[0] != '[' {
			problems.Add(path, "must be a list")
			continue
		}
		each(path, list)
	}
}

// readItems splits a list into its items. Each needs a unique name.
func readItems(problems *InvalidConfigError, path string, list json.RawMessage, key string) []item {
	if list[0] != '[' {
		problems.Add(path, "must be a list")
		return nil
	}
	items, names := []item{}, map[string]bool{}
	for i, raw := range elements(list) {
		itemPath := func() string { return fmt.Sprintf("%s[%d]", path, i) }
		if raw[0] != '{' {
			problems.Add(itemPath(), "must be an object")
			continue
		}
		name, isDuplicate := nameOf(raw, key)
		if isDuplicate {
			// Which of two members with the same key counts depends on the JSON decoder.
			problems.Add(itemPath()+"."+key, "appears twice")
		}
		switch {
		case name == "":
			problems.Add(itemPath()+"."+key, "an item needs a name")
		case names[name]:
			problems.Add(itemPath()+"."+key, "the name %q is used twice", name)
		}
		names[name] = true
		items = append(items, item{name, raw})
	}
	return items
}

// nameOf finds an item's name, and whether the item has it more than once. It does not split the item
// into members, since most items of a large list are only copied.
func nameOf(object json.RawMessage, key string) (name string, isDuplicate bool) {
	isNamed := false
	eachMember(object, func(rawKey, value json.RawMessage) {
		if !equalsString(rawKey, key) {
			return
		}
		isDuplicate = isDuplicate || isNamed
		if value[0] == '"' {
			name, isNamed = decodeString(value), true
		}
	})
	return name, isDuplicate
}

// readNames reads a list of the names to remove.
func readNames(problems *InvalidConfigError, path string, list json.RawMessage) map[string]bool {
	names := map[string]bool{}
	for i, raw := range elements(list) {
		if raw[0] != '"' || len(raw) == 2 {
			problems.Add(fmt.Sprintf("%s[%d]", path, i), "must be a name")
			continue
		}
		names[decodeString(raw)] = true
	}
	return names
}

// mergeItems applies upserts and removals to the old items of a list. It keeps their order and appends new items.
func mergeItems(old, upserts []item, removals map[string]bool) []item {
	indexes := make(map[string]int, len(upserts))
	for i, item := range upserts {
		indexes[item.name] = i
	}
	merged, isReplaced := make([]item, 0, len(old)+len(upserts)), make([]bool, len(upserts))
	for _, item := range old {
		if removals[item.name] {
			continue
		}
		if index, isChanged := indexes[item.name]; isChanged {
			item, isReplaced[index] = upserts[index], true
		}
		merged = append(merged, item)
	}
	for i, item := range upserts {
		if !isReplaced[i] {
			merged = append(merged, item)
		}
	}
	return merged
}

// topMembers splits a complete document into its members. The scanner in rawjson.go requires valid
// input, so this checks that the document is JSON, and also UTF-8, because names are compared decoded.
func topMembers(problems *InvalidConfigError, path string, document []byte) []member {
	if !utf8.Valid(document) {
		problems.Add(path, "not JSON: the text is not valid UTF-8")
		return nil
	}
	if !json.Valid(document) {
		// Decoded again only to get the error.
		var nothing json.RawMessage
		problems.Add(path, "not JSON: %v", json.Unmarshal(document, &nothing))
		return nil
	}
	raw := json.RawMessage(document[skipSpace(document, 0):])
	if raw[0] != '{' {
		problems.Add(path, "must be an object")
		return nil
	}
	prefix := ""
	if path != "$" {
		prefix = path
	}
	return readMembers(problems, prefix, raw)
}

// readMembers splits an object into its members and reports keys that appear twice. Which of the two
// counts depends on the JSON decoder.
func readMembers(problems *InvalidConfigError, path string, object json.RawMessage) []member {
	list, seen := members(object), map[string]bool{}
	for _, part := range list {
		if seen[part.key] {
			problems.Add(strings.TrimPrefix(path+"."+part.key, "."), "appears twice")
		}
		seen[part.key] = true
	}
	return list
}

// setMember replaces the value of the member with the same key, or appends the member.
func setMember(object []member, changed member) []member {
	for i := range object {
		if object[i].key == changed.key {
			object[i].value = changed.value
			return object
		}
	}
	return append(object, changed)
}

func writeObject(object []member) []byte {
	size := 2
	for _, part := range object {
		size += len(part.rawKey) + len(part.value) + 2
	}
	out := append(make([]byte, 0, size), '{')
	for i, part := range object {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(append(append(out, part.rawKey...), ':'), part.value...)
	}
	return append(out, '}')
}

func writeList(items []item) json.RawMessage {
	size := 2
	for _, item := range items {
		size += len(item.raw) + 1
	}
	out := append(make([]byte, 0, size), '[')
	for i, item := range items {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, item.raw...)
	}
	return append(out, ']')
}

// isUint64 reports whether a value is an unsigned 64-bit integer, as a number or as a string of digits. The
// latter is how protojson encodes 64-bit integers.
func isUint64(raw json.RawMessage) bool {
	digits := string(raw)
	if raw[0] == '"' {
		digits = decodeString(raw)
	}
	_, err := strconv.ParseUint(digits, 10, 64)
	return err == nil
}
