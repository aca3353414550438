package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
)

// walk holds a document against the schema and names every unknown field and
// wrong type with its path; protojson alone would stop at the first.
func walk(document []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var root any
	if err := decoder.Decode(&root); err != nil {
		return &ValidationErrors{List: []ValidationError{{"$", "not JSON: " + err.Error()}}}
	}
	faults := &ValidationErrors{}
	walkMessage(faults, "", root, (&fleetconfigpb.Spec{}).ProtoReflect().Descriptor())
	return faults.Err()
}

func walkMessage(faults *ValidationErrors, path string, value any, schema protoreflect.MessageDescriptor) {
	object, isObject := value.(map[string]any)
	if !isObject {
		faults.Add(pathOr(path), "has to be an object")
		return
	}
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	// A fixed order, so that the same document always gets the same reply.
	sort.Strings(names)
	for _, name := range names {
		inner := name
		if path != "" {
			inner = path + "." + name
		}
		field := schema.Fields().ByJSONName(name)
		if field == nil {
			field = schema.Fields().ByTextName(name)
		}
		if field == nil {
			faults.Add(inner, "there is no such field")
			continue
		}
		if object[name] == nil {
			continue
		}
		if !field.IsList() {
			walkValue(faults, inner, object[name], field)
			continue
		}
		list, isList := object[name].([]any)
		if !isList {
			faults.Add(inner, "has to be a list")
			continue
		}
		for i, element := range list {
			walkValue(faults, fmt.Sprintf("%s[%d]", inner, i), element, field)
		}
	}
}

func walkValue(faults *ValidationErrors, path string, value any, field protoreflect.FieldDescriptor) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		walkMessage(faults, path, value, field.Message())
	case protoreflect.StringKind:
		if _, isFit := value.(string); !isFit {
			faults.Add(path, "has to be a string")
		}
	case protoreflect.Uint32Kind:
		number, isFit := value.(json.Number)
		whole, err := number.Int64()
		if !isFit || err != nil || whole < 0 || whole > 1<<32-1 {
			faults.Add(path, "has to be a whole number from 0 to %d", uint32(1<<32-1))
		}
	case protoreflect.Uint64Kind:
		// A string as well: that is how protojson writes such numbers.
		text, isFit := value.(string)
		if number, isNumber := value.(json.Number); isNumber {
			text, isFit = number.String(), true
		}
		if _, err := strconv.ParseUint(text, 10, 64); !isFit || err != nil {
			faults.Add(path, "has to be a whole number from 0 to %d", uint64(math.MaxUint64))
		}
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		name, isFit := value.(string)
		if !isFit || values.ByName(protoreflect.Name(name)) == nil {
			names := make([]string, values.Len())
			for i := range names {
				names[i] = string(values.Get(i).Name())
			}
			faults.Add(path, "has to be one of %s", strings.Join(names, ", "))
		}
	case protoreflect.BoolKind:
		if _, isFit := value.(bool); !isFit {
			faults.Add(path, "has to be true or false")
		}
	case protoreflect.DoubleKind:
		if _, isFit := value.(json.Number); !isFit {
			faults.Add(path, "has to be a number")
		}
	}
}

func pathOr(path string) string {
	if path == "" {
		return "$"
	}
	return path
}
