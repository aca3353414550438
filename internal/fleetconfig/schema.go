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

// checkSchema checks a document against the schema. It lists every unknown field and wrong type with
// its path, whereas protojson stops at the first error.
func checkSchema(document []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var root any
	if err := decoder.Decode(&root); err != nil {
		return &InvalidConfigError{List: []ValidationError{{"$", "not JSON: " + err.Error()}}}
	}
	problems := &InvalidConfigError{}
	checkMessage(problems, "", root, (&fleetconfigpb.Spec{}).ProtoReflect().Descriptor())
	return problems.Err()
}

func checkMessage(problems *InvalidConfigError, path string, value any, schema protoreflect.MessageDescriptor) {
	object, isObject := value.(map[string]any)
	if !isObject {
		problems.Add(pathOrRoot(path), "must be an object")
		return
	}
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	// Sorted, so that the same document always gets the same errors in the same order.
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
			problems.Add(inner, "unknown field")
			continue
		}
		if object[name] == nil {
			continue
		}
		if !field.IsList() {
			checkValue(problems, inner, object[name], field)
			continue
		}
		list, isList := object[name].([]any)
		if !isList {
			problems.Add(inner, "must be a list")
			continue
		}
		for i, element := range list {
			checkValue(problems, fmt.Sprintf("%s[%d]", inner, i), element, field)
		}
	}
}

func checkValue(problems *InvalidConfigError, path string, value any, field protoreflect.FieldDescriptor) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		checkMessage(problems, path, value, field.Message())
	case protoreflect.StringKind:
		if _, isValid := value.(string); !isValid {
			problems.Add(path, "must be a string")
		}
	case protoreflect.Uint32Kind:
		number, isValid := value.(json.Number)
		integer, err := number.Int64()
		if !isValid || err != nil || integer < 0 || integer > math.MaxUint32 {
			problems.Add(path, "must be an integer from 0 to %d", uint32(math.MaxUint32))
		}
	case protoreflect.Uint64Kind:
		// Strings are accepted as well, because protojson encodes 64-bit integers as strings.
		text, isValid := value.(string)
		if number, isNumber := value.(json.Number); isNumber {
			text, isValid = number.String(), true
		}
		if _, err := strconv.ParseUint(text, 10, 64); !isValid || err != nil {
			problems.Add(path, "must be an integer from 0 to %d", uint64(math.MaxUint64))
		}
	case protoreflect.EnumKind:
		checkEnum(problems, path, value, field.Enum().Values())
	case protoreflect.BoolKind:
		if _, isValid := value.(bool); !isValid {
			problems.Add(path, "must be true or false")
		}
	case protoreflect.DoubleKind:
		if _, isValid := value.(json.Number); !isValid {
			problems.Add(path, "must be a number")
		}
	}
}

func checkEnum(problems *InvalidConfigError, path string, value any, values protoreflect.EnumValueDescriptors) {
	name, isValid := value.(string)
	if isValid && values.ByName(protoreflect.Name(name)) != nil {
		return
	}
	names := make([]string, values.Len())
	for i := range names {
		names[i] = string(values.Get(i).Name())
	}
	problems.Add(path, "must be one of %s", strings.Join(names, ", "))
}

// pathOrRoot returns a path as errors show it: the path of the document itself is "$".
func pathOrRoot(path string) string {
	if path == "" {
		return "$"
	}
	return path
}
