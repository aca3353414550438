package server

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	qt "github.com/frankban/quicktest"
)

var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// compareGolden compares a text with a golden file byte for byte. With -update it writes the file instead.
func compareGolden(c *qt.C, name, got string) {
	c.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		c.Assert(os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(path, []byte(got), 0o600), qt.IsNil)
		return
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// fillValue sets every reachable exported field to a value derived from a counter that rises in the order of the fields.
// The values depend on the order and types of the fields, but not on their Go names.
func fillValue(c *qt.C, value reflect.Value, counter *int) {
	c.Helper()
	*counter++
	if value.Type() == reflect.TypeFor[json.RawMessage]() {
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *counter))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*counter))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*counter) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", *counter))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fillValue(c, value.Elem(), counter)
	case reflect.Slice:
		if value.Type().Elem().Kind() == reflect.Uint8 {
			value.SetBytes(fmt.Appendf(nil, "bytes-%d", *counter))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fillValue(c, value.Index(0), counter)
	case reflect.Array:
		for i := range value.Len() {
			fillValue(c, value.Index(i), counter)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fillValue(c, key, counter)
		fillValue(c, element, counter)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fillValue(c, value.Field(i), counter)
			}
		}
	default:
		c.Fatalf("no value for the kind %s", value.Kind())
	}
}

// marshalIndented returns the JSON form of a value, with one member per line.
func marshalIndented(c *qt.C, value any) string {
	c.Helper()
	var to bytes.Buffer
	encoder := json.NewEncoder(&to)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	c.Assert(encoder.Encode(value), qt.IsNil)
	return to.String()
}

// compareGoldenJSON compares two JSON forms of a type with a golden file: that of the zero value, which shows the members
// that are not omitted when empty, and that of a value with every field filled, which shows all members. It also checks
// that the filled form survives decoding and encoding.
func compareGoldenJSON[T any](c *qt.C, name string) {
	c.Helper()
	zero, filled, counter := new(T), new(T), 0
	fillValue(c, reflect.ValueOf(filled).Elem(), &counter)
	written := marshalIndented(c, filled)
	read := new(T)
	decoder := json.NewDecoder(strings.NewReader(written))
	decoder.DisallowUnknownFields()
	c.Assert(decoder.Decode(read), qt.IsNil)
	c.Assert(marshalIndented(c, read), qt.Equals, written)
	compareGolden(c, name, marshalIndented(c, zero)+written)
}

func TestGoldenFlagsOfTheSettings(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	parser, err := arg.NewParser(arg.Config{Program: "golden"}, &settings)
	c.Assert(err, qt.IsNil)
	var help bytes.Buffer
	parser.WriteHelp(&help)
	// A build with the faults tag appends BuildNote to the version.
	compareGolden(c, "settings_flags.txt", strings.Replace(help.String(), settings.Version(), strings.TrimSuffix(settings.Version(), BuildNote), 1))
}

func TestGoldenSettingsFile(t *testing.T) {
	c := qt.New(t)
	compareGolden(c, "settings_defaults.json", marshalIndented(c, DefaultSettings()))
	compareGoldenJSON[Settings](c, "settings_shape.json")
	// A file with every setting survives reading by ReadSettings and writing.
	var filled Settings
	counter := 0
	fillValue(c, reflect.ValueOf(&filled).Elem(), &counter)
	written := marshalIndented(c, filled)
	compareGolden(c, "settings_filled.json", written)
	read, err := ReadSettings("golden", []string{"--settings", filepath.Join("testdata", "golden", "settings_filled.json")})
	c.Assert(err, qt.IsNil)
	c.Assert(marshalIndented(c, read), qt.Equals, written)
}

// Every setting has a flag and a member of the settings file with corresponding names: setting a flag changes that
// member and no other.
func TestGoldenFlagsAreMembersOfTheFile(t *testing.T) {
	c := qt.New(t)
	members := map[string]any{}
	c.Assert(json.Unmarshal([]byte(marshalIndented(c, DefaultSettings())), &members), qt.IsNil)
	// The values below differ from every default. flagNames lists the flags whose names differ from those of
	// their members.
	flagNames := map[string]string{"seeds": "seed"}
	for member, value := range members {
		name := strings.ReplaceAll(member, "_", "-")
		if other, isOther := flagNames[member]; isOther {
			name = other
		}
		var args []string
		var want any
		switch value.(type) {
		case bool:
			args, want = []string{"--" + name}, true
		case float64:
			args, want = []string{"--" + name, "98765"}, float64(98765)
		case string:
			args, want = []string{"--" + name, "other"}, "other"
		default:
			args, want = []string{"--" + name, "other"}, []any{"other"}
		}
		settings, err := ReadSettings("golden", args)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", member))
		got := map[string]any{}
		c.Assert(json.Unmarshal([]byte(marshalIndented(c, settings)), &got), qt.IsNil)
		c.Assert(got[member], qt.DeepEquals, want, qt.Commentf("%s", member))
		delete(got, member)
		for other, left := range got {
			c.Assert(left, qt.DeepEquals, members[other], qt.Commentf("%s changed with --%s", other, name))
		}
	}
}
