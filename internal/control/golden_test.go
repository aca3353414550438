package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
)

// updateGolden rewrites the golden files. They hold what is on the wire and on disk at nodes that
// run, so a change of one is a change of format and not a matter of refreshing a file.
var updateGolden = flag.Bool("update", false, "write the golden files anew")

const goldenPath = "testdata/golden"

// filler fills values by their types and the order of their fields alone, so that the names of types
// and fields in Go don't count. Each number, text and time is used once.
type filler struct {
	c    *qt.C
	next int
}

func (f *filler) number() int {
	f.next++
	return f.next
}

func (f *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.number()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.number()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.number()) + 0.25)
	case reflect.String:
		// With characters that JSON may write in more than one way.
		value.SetString(fmt.Sprintf("text <%d>", f.number()))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			f.fill(value.Index(i))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range 2 {
			key, held := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			f.fill(key)
			f.fill(held)
			value.SetMapIndex(key, held)
		}
	case reflect.Struct:
		f.fillStruct(value)
	default:
		f.c.Fatalf("no way to fill a %s", value.Type())
	}
}

func (f *filler) fillStruct(value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			f.c.Fatalf("%s has a field that is never encoded and does not say so", value.Type())
		}
		if field.Tag.Get("json") != "-" {
			f.fill(value.Field(i))
		}
	}
	if document, isDocument := value.Addr().Interface().(*cluster.Document); isDocument {
		f.repair(document)
	}
}

// repair makes a filled document one that a decoder accepts: its chain has to end with its configuration.
func (f *filler) repair(document *cluster.Document) {
	document.ConfigRevision = uint64(f.number())
	document.Revision = uint64(f.number())
	document.ConfigChain[len(document.ConfigChain)-1] = cluster.ConfigRefOf(document)
}

// filled gives a value with every field set, down to the last record in it.
func filled[T any](c *qt.C) T {
	var value T
	(&filler{c: c}).fill(reflect.ValueOf(&value).Elem())
	return value
}

// goldenFile gives the content of a golden file; with -update it writes it first.
func goldenFile(c *qt.C, name string, fresh []byte) []byte {
	path := filepath.Join(goldenPath, name)
	if *updateGolden {
		c.Assert(os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(path, fresh, 0o644), qt.IsNil)
	}
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return content
}

// goldenNames lists the files of a golden folder.
func goldenNames(c *qt.C, folder string) []string {
	entries, err := os.ReadDir(filepath.Join(goldenPath, folder))
	c.Assert(err, qt.IsNil)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// tagOf is the name of a field on the wire.
func tagOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func encoded(c *qt.C, value any) []byte {
	content, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return content
}

// packedText finds the packed configuration of an encoded document.
var packedText = regexp.MustCompile(`"spec_gzip":"([^"]*)"`)

// unpacked replaces packed configurations by what they hold. Another release of the compressor may
// pack the same configuration into other bytes, so those are not compared.
func unpacked(c *qt.C, content []byte) string {
	return string(packedText.ReplaceAllFunc(content, func(found []byte) []byte {
		var held struct {
			Packed []byte `json:"spec_gzip"`
		}
		c.Assert(json.Unmarshal(slices.Concat([]byte("{"), found, []byte("}")), &held), qt.IsNil)
		reader, err := gzip.NewReader(bytes.NewReader(held.Packed))
		c.Assert(err, qt.IsNil)
		config, err := io.ReadAll(reader)
		c.Assert(err, qt.IsNil)
		return fmt.Appendf(nil, `"spec_gzip":%q`, config)
	}))
}

// eachKind calls a function with each kind of message, empty, and its name on the wire.
func eachKind(c *qt.C, do func(c *qt.C, tag string, message *wire.Message, kind reflect.Value)) (files []string) {
	for i := range reflect.TypeFor[wire.Message]().NumField() {
		tag := tagOf(reflect.TypeFor[wire.Message]().Field(i))
		c.Assert(tag, qt.Not(qt.Equals), "")
		files = append(files, tag+".json")
		c.Run(tag, func(c *qt.C) {
			var message wire.Message
			do(c, tag, &message, reflect.ValueOf(&message).Elem().Field(i))
		})
	}
	slices.Sort(files)
	return files
}

// checkGoldenEnvelope holds an envelope against its golden bytes, in both directions.
func checkGoldenEnvelope(c *qt.C, name string, envelope wire.Envelope) {
	fresh := encoded(c, &envelope)
	golden := goldenFile(c, name, fresh)
	c.Assert(string(fresh), qt.Equals, string(golden))
	read, err := wire.ReadEnvelope(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, envelope)
	c.Assert(string(encoded(c, &read)), qt.Equals, string(golden))
	// The message is encoded within its envelope as it is by itself.
	c.Assert(string(golden), qt.Contains, `"message":`+string(encoded(c, envelope.Message))+"}")
}

func TestMessagesAreEncodedAsEver(t *testing.T) {
	c := qt.New(t)
	files := eachKind(c, func(c *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		(&filler{c: c}).fill(kind)
		envelope := wire.Envelope{Fleet: "fleet <a>", ClusterID: "founding <b>", From: "from <c>", To: "to <d>", Format: wire.MessageFormat, Message: *message}
		checkGoldenEnvelope(c, "message/"+tag+".json", envelope)
	})
	c.Assert(goldenNames(c, "message"), qt.DeepEquals, files)
}

// Which fields are left out when they are empty is part of the format as well.
func TestEmptyMessagesAreEncodedAsEver(t *testing.T) {
	c := qt.New(t)
	files := eachKind(c, func(c *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		kind.Set(reflect.New(kind.Type().Elem()))
		checkGoldenEnvelope(c, "message_zero/"+tag+".json", wire.Envelope{From: "from <c>", To: "to <d>", Message: *message})
	})
	c.Assert(goldenNames(c, "message_zero"), qt.DeepEquals, files)
}

// The kinds of messages are named to operators, with how many bytes of each were sent.
func TestKindsAreNamedAsEver(t *testing.T) {
	c := qt.New(t)
	kinds := map[string]string{}
	eachKind(c, func(_ *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		kind.Set(reflect.New(kind.Type().Elem()))
		kinds[tag] = message.Kind()
	})
	fresh, err := json.MarshalIndent(kinds, "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(fresh), qt.Equals, string(goldenFile(c, "kinds.json", fresh)))
}

// elementsOf gives the types of the records in a type, itself among them.
func elementsOf(of reflect.Type, found map[reflect.Type]bool) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		elementsOf(of.Elem(), found)
	case reflect.Struct:
		if found[of] {
			return
		}
		found[of] = true
		for i := range of.NumField() {
			elementsOf(of.Field(i).Type, found)
		}
	}
}

// Records within a message are empty one by one, which an empty message doesn't show. They have no name
// on the wire, so they are in one file, each on a line of its own in the order of its bytes.
func TestEmptyRecordsAreEncodedAsEver(t *testing.T) {
	c := qt.New(t)
	types := map[reflect.Type]bool{}
	for _, root := range []reflect.Type{reflect.TypeFor[wire.Message](), reflect.TypeFor[storage.Snapshot](), reflect.TypeFor[cluster.AcceptorState](), reflect.TypeFor[cluster.HardState](), reflect.TypeFor[cluster.ConfigRef](), reflect.TypeFor[storage.PeerStatus]()} {
		elementsOf(root, types)
	}
	lines := []string{}
	for record := range types {
		lines = append(lines, string(encoded(c, reflect.New(record).Interface())))
	}
	slices.Sort(lines)
	fresh := strings.Join(lines, "\n") + "\n"
	c.Assert(fresh, qt.Equals, string(goldenFile(c, "records_zero.jsonl", []byte(fresh))))
}

// packedConfig is a configuration that is large enough to be packed: more than 4 KiB.
func packedConfig() []byte {
	return []byte(`{"ver":7,"text":"` + strings.Repeat("abc ", 2048) + `"}`)
}

// packedDocument is a filled document with a configuration that is packed.
func packedDocument(c *qt.C) *cluster.Document {
	document := filled[*cluster.Document](c)
	document.Config = packedConfig()
	document.ConfigChain[len(document.ConfigChain)-1] = cluster.ConfigRefOf(document)
	return document
}

// The packed bytes are not compared but what they hold; see unpacked.
func TestAPackedDocumentIsEncodedAsEver(t *testing.T) {
	c := qt.New(t)
	document := packedDocument(c)
	envelope := wire.Envelope{Fleet: "fleet <a>", From: "from <c>", To: "to <d>", Message: wire.Message{BootstrapCommit: &wire.BootstrapCommit{Document: document}}}
	fresh := encoded(c, &envelope)
	golden := goldenFile(c, "found_packed.json", fresh)
	c.Assert(packedText.Match(golden), qt.IsTrue)
	c.Assert(bytes.Contains(golden, []byte(`"spec":null`)), qt.IsTrue)
	c.Assert(unpacked(c, fresh), qt.Equals, unpacked(c, golden))
	read, err := wire.ReadEnvelope(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, envelope)
	c.Assert(unpacked(c, encoded(c, &read)), qt.Equals, unpacked(c, golden))
}

func TestAWitnessIsEncodedAsEver(t *testing.T) {
	c := qt.New(t)
	witness := filled[storage.PeerStatus](c)
	fresh := encoded(c, &witness)
	golden := goldenFile(c, "witness.json", fresh)
	c.Assert(string(fresh), qt.Equals, string(golden))
	var read storage.PeerStatus
	c.Assert(json.Unmarshal(golden, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, witness)
}
