package fleetconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// FieldNames are a form's own names for what a change by name speaks of.
type FieldNames struct {
	Version, Upsert, Remove string
	// Lists that a change may name, each with the member that names its items.
	Lists map[string]string
	// Members of the document that a change replaces whole when it brings them.
	ReplacedMembers []string
}

// OwnFieldNames are those of the product's own form.
func OwnFieldNames() FieldNames {
	return FieldNames{
		Version: "version", Upsert: "upsert", Remove: "remove",
		Lists:           map[string]string{"engines": "id", "bindings": "name", "zones": "name", "routes": "name", "services": "name", "tenants": "name"},
		ReplacedMembers: []string{"policy", "caps"},
	}
}

// item is one element of a list with the name that it goes by.
type item struct {
	name string
	raw  json.RawMessage
}

// ChangeByName applies a change to a document, both JSON objects:
//
//	{VERSION: 9, UPSERT: {LIST: [ITEM, ...]}, REMOVE: {LIST: [NAME, ...]}}
//
// An item replaces the one of its name in its place, or goes to the end of its list. To
// remove a name that is not there changes nothing. All that the change does not speak of
// stays byte for byte, in its order; the same holds inside items, which are never decoded.
// Every fault is listed with its path in the change, or in the document after "document.".
// The result is not judged: a form's Read does that.
func ChangeByName(document, change []byte, names FieldNames) ([]byte, error) {
	if size := max(len(document), len(change)); size > MaxBytes {
		return nil, fmt.Errorf("change the configuration: %w", TooLargeError{"bytes of the configuration or its change", size, MaxBytes})
	}
	faults := &ValidationErrors{}
	whole := topMembers(faults, "document", document)
	changeMembers := topMembers(faults, "$", change)
	if err := faults.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	upserts, removals := map[string][]item{}, map[string]map[string]bool{}
	// A list, once touched, is written anew; the order in which that is done must not
	// depend on a map, so that all nodes make the same bytes of the same change.
	touched := []string{}
	touch := func(list string) {
		if !slices.Contains(touched, list) {
			touched = append(touched, list)
		}
	}
	for _, part := range changeMembers {
		switch {
		case part.key == names.Version:
			if !isWholeNumber(part.value) {
				faults.Add(part.key, "has to be a whole number from 0 to %d", uint64(1<<64-1))
				continue
			}
			whole = put(whole, part)
		case slices.Contains(names.ReplacedMembers, part.key):
			whole = put(whole, part)
		case part.key == names.Upsert:
			eachList(faults, part, names, func(path string, list member) {
				touch(list.key)
				upserts[list.key] = readItems(faults, path, list.value, names.Lists[list.key])
			})
		case part.key == names.Remove:
			eachList(faults, part, names, func(path string, list member) {
				touch(list.key)
				removals[list.key] = readNames(faults, path, list.value)
			})
		default:
			faults.Add(part.key, "a change has no such member")
		}
	}
	for _, list := range touched {
		for i, item := range upserts[list] {
			// Either order of the two would be a guess.
			if removals[list][item.name] {
				faults.Add(fmt.Sprintf("%s.%s[%d].%s", names.Upsert, list, i, names.Lists[list]), "%q is also to be removed", item.name)
			}
		}
	}
	if err := faults.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	for _, list := range touched {
		place := slices.IndexFunc(whole, func(m member) bool { return m.key == list })
		old := []item{}
		if place >= 0 && !isNull(whole[place].value) {
			old = readItems(faults, "document."+list, whole[place].value, names.Lists[list])
		}
		changed := member{key: list, rawKey: quote(list), value: writeList(merge(old, upserts[list], removals[list]))}
		// A list that was not there, and gets nothing, stays away.
		if place >= 0 || len(upserts[list]) > 0 {
			whole = put(whole, changed)
		}
	}
	if err := faults.Err(); err != nil {
		return nil, fmt.Errorf("change the configuration: %w", err)
	}
	return writeObject(whole), nil
}

// eachList goes over the lists of an upsert or removal that the form knows.
func eachList(faults *ValidationErrors, part member, names FieldNames, each func(path string, list member)) {
	if isNull(part.value) {
		return
	}
	if part.value[0] != '{' {
		faults.Add(part.key, "has to be an object of lists")
		return
	}
	for _, list := range readMembers(faults, part.key, part.value) {
		path := part.key + "." + list.key
		if _, isKnown := names.Lists[list.key]; !isKnown {
			faults.Add(path, "there is no such list")
			continue
		}
		if isNull(list.value) {
			continue
		}
		if list.value[0] != '[' {
			faults.Add(path, "has to be a list")
			continue
		}
		each(path, list)
	}
}

// readItems takes a list apart into its items, which all need a name of their own.
func readItems(faults *ValidationErrors, path string, list json.RawMessage, key string) []item {
	if list[0] != '[' {
		faults.Add(path, "has to be a list")
		return nil
	}
	items, names := []item{}, map[string]bool{}
	for i, raw := range elements(list) {
		at := func() string { return fmt.Sprintf("%s[%d]", path, i) }
		if raw[0] != '{' {
			faults.Add(at(), "has to be an object")
			continue
		}
		name, isTwice := nameOf(raw, key)
		if isTwice {
			// Readers differ in which of two they take.
			faults.Add(at()+"."+key, "is there twice")
		}
		switch {
		case name == "":
			faults.Add(at()+"."+key, "an item needs a name")
		case names[name]:
			faults.Add(at()+"."+key, "%q is named twice", name)
		}
		names[name] = true
		items = append(items, item{name, raw})
	}
	return items
}

// nameOf finds an item's name without taking the item apart: most of a large list are only passed by.
func nameOf(object json.RawMessage, key string) (name string, isTwice bool) {
	isNamed := false
	eachMember(object, func(rawKey, value json.RawMessage) {
		if !isText(rawKey, key) {
			return
		}
		isTwice = isTwice || isNamed
		if value[0] == '"' {
			name, isNamed = text(value), true
		}
	})
	return name, isTwice
}

// readNames reads the names to remove.
func readNames(faults *ValidationErrors, path string, list json.RawMessage) map[string]bool {
	names := map[string]bool{}
	for i, raw := range elements(list) {
		if raw[0] != '"' || len(raw) == 2 {
			faults.Add(fmt.Sprintf("%s[%d]", path, i), "has to be a name")
			continue
		}
		names[text(raw)] = true
	}
	return names
}

// merge keeps the order of old items and puts new ones at the end.
func merge(old, upserts []item, removals map[string]bool) []item {
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

// topMembers reads a whole document. The scanner behind it trusts its input, so here the
// input is proved to be JSON first; and text, as names are compared when decoded.
func topMembers(faults *ValidationErrors, path string, document []byte) []member {
	if !utf8.Valid(document) {
		faults.Add(path, "not JSON: not in UTF-8")
		return nil
	}
	if !json.Valid(document) {
		// Read again for what is wrong with it.
		var nothing json.RawMessage
		faults.Add(path, "not JSON: %v", json.Unmarshal(document, &nothing))
		return nil
	}
	raw := json.RawMessage(document[skipSpace(document, 0):])
	if raw[0] != '{' {
		faults.Add(path, "has to be an object")
		return nil
	}
	prefix := ""
	if path != "$" {
		prefix = path
	}
	return readMembers(faults, prefix, raw)
}

// readMembers takes an object apart and holds that no member is there twice: readers differ
// in which of two they take.
func readMembers(faults *ValidationErrors, path string, object json.RawMessage) []member {
	list, seen := members(object), map[string]bool{}
	for _, part := range list {
		if seen[part.key] {
			faults.Add(strings.TrimPrefix(path+"."+part.key, "."), "is there twice")
		}
		seen[part.key] = true
	}
	return list
}

// put replaces a member in its place, or adds it at the end.
func put(object []member, changed member) []member {
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

// isWholeNumber takes digits, also as a string: that is how protojson writes 64 bits.
func isWholeNumber(raw json.RawMessage) bool {
	digits := string(raw)
	if raw[0] == '"' {
		digits = text(raw)
	}
	_, err := strconv.ParseUint(digits, 10, 64)
	return err == nil
}
