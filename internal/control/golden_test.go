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

// updateGolden rewrites the golden files. They hold the formats on the wire and on disk of running nodes,
// so a changed golden file is a change of format.
var updateGolden = flag.Bool("update", false, "write the golden files anew")

const goldenPath = "testdata/golden"

// filler fills values by their types and the order of their fields, so that the golden files do not depend
// on the Go names of types and fields. Each number and text is used once.
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
		// Includes characters that JSON can encode in more than one way.
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
		f.c.Fatalf("filler does not support type %s", value.Type())
	}
}

func (f *filler) fillStruct(value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			f.c.Fatalf("%s has an unexported field, which is never encoded", value.Type())
		}
		if field.Tag.Get("json") != "-" {
			f.fill(value.Field(i))
		}
	}
	if document, isDocument := value.Addr().Interface().(*cluster.Document); isDocument {
		f.repair(document)
	}
}

// repair makes a filled document valid for the decoder, which requires that the chain of configurations ends with the
// document's own.
func (f *filler) repair(document *cluster.Document) {
	document.ConfigRevision = uint64(f.number())
	document.Revision = uint64(f.number())
	document.ConfigChain[len(document.ConfigChain)-1] = cluster.ConfigRefOf(document)
}

// filled returns a value with every field set, including those of nested records.
func filled[T any](c *qt.C) T {
	var value T
	(&filler{c: c}).fill(reflect.ValueOf(&value).Elem())
	return value
}

// goldenFile returns the content of a golden file; with -update it writes the file first.
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

// goldenNames returns the names of the files in a golden folder.
func goldenNames(c *qt.C, folder string) []string {
	entries, err := os.ReadDir(filepath.Join(goldenPath, folder))
	c.Assert(err, qt.IsNil)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// wireName returns the name of a field on the wire.
func wireName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func encoded(c *qt.C, value any) []byte {
	content, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return content
}

// compressedConfigPattern matches the compressed configuration of an encoded document.
var compressedConfigPattern = regexp.MustCompile(`"spec_gzip":"([^"]*)"`)

// decompressConfigs replaces compressed configurations by their content. Another release of the compressor may
// produce other bytes for the same configuration, so the compressed bytes are not compared.
func decompressConfigs(c *qt.C, content []byte) string {
	return string(compressedConfigPattern.ReplaceAllFunc(content, func(found []byte) []byte {
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

// forEachMessageKind calls a function for each kind of message with an empty message and its name on the wire.
func forEachMessageKind(c *qt.C, do func(c *qt.C, tag string, message *wire.Message, kind reflect.Value)) (files []string) {
	for i := range reflect.TypeFor[wire.Message]().NumField() {
		tag := wireName(reflect.TypeFor[wire.Message]().Field(i))
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

// checkGoldenEnvelope compares an envelope with its golden file, both encoded and decoded.
func checkGoldenEnvelope(c *qt.C, name string, envelope wire.Envelope) {
	fresh := encoded(c, &envelope)
	golden := goldenFile(c, name, fresh)
	c.Assert(string(fresh), qt.Equals, string(golden))
	read, err := wire.ReadEnvelope(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, envelope)
	c.Assert(string(encoded(c, &read)), qt.Equals, string(golden))
	// The message is encoded in its envelope in the same way as on its own.
	c.Assert(string(golden), qt.Contains, `"message":`+string(encoded(c, envelope.Message))+"}")
}

func TestMessagesMatchTheirGoldenFiles(t *testing.T) {
	c := qt.New(t)
	files := forEachMessageKind(c, func(c *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		(&filler{c: c}).fill(kind)
		envelope := wire.Envelope{Fleet: "fleet <a>", ClusterID: "founding <b>", From: "from <c>", To: "to <d>", Format: wire.MessageFormat, Message: *message}
		checkGoldenEnvelope(c, "message/"+tag+".json", envelope)
	})
	c.Assert(goldenNames(c, "message"), qt.DeepEquals, files)
}

// The format includes which fields are left out when they are empty.
func TestEmptyMessagesMatchTheirGoldenFiles(t *testing.T) {
	c := qt.New(t)
	files := forEachMessageKind(c, func(c *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		kind.Set(reflect.New(kind.Type().Elem()))
		checkGoldenEnvelope(c, "message_zero/"+tag+".json", wire.Envelope{From: "from <c>", To: "to <d>", Message: *message})
	})
	c.Assert(goldenNames(c, "message_zero"), qt.DeepEquals, files)
}

// Operators see the names of the message kinds in the metrics of sent bytes, so a changed name is a change of the
// metrics.
func TestMessageKindsMatchTheirGoldenFile(t *testing.T) {
	c := qt.New(t)
	kinds := map[string]string{}
	forEachMessageKind(c, func(_ *qt.C, tag string, message *wire.Message, kind reflect.Value) {
		kind.Set(reflect.New(kind.Type().Elem()))
		kinds[tag] = message.Kind()
	})
	fresh, err := json.MarshalIndent(kinds, "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(fresh), qt.Equals, string(goldenFile(c, "kinds.json", fresh)))
}

// addRecordTypes adds the types of all records in a type to a set, the type itself included.
func addRecordTypes(of reflect.Type, found map[reflect.Type]bool) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		addRecordTypes(of.Elem(), found)
	case reflect.Struct:
		if found[of] {
			return
		}
		found[of] = true
		for i := range of.NumField() {
			addRecordTypes(of.Field(i).Type, found)
		}
	}
}

// A record within a message may be empty while the message is not. Such records have no name on the wire, so one file
// holds the encodings of all empty records, one on each line, sorted.
func TestEmptyRecordsMatchTheirGoldenFile(t *testing.T) {
	c := qt.New(t)
	types := map[reflect.Type]bool{}
	for _, root := range []reflect.Type{reflect.TypeFor[wire.Message](), reflect.TypeFor[storage.Snapshot](), reflect.TypeFor[cluster.AcceptorState](), reflect.TypeFor[cluster.HardState](), reflect.TypeFor[cluster.ConfigRef](), reflect.TypeFor[storage.PeerStatus]()} {
		addRecordTypes(root, types)
	}
	lines := []string{}
	for record := range types {
		lines = append(lines, string(encoded(c, reflect.New(record).Interface())))
	}
	slices.Sort(lines)
	fresh := strings.Join(lines, "\n") + "\n"
	c.Assert(fresh, qt.Equals, string(goldenFile(c, "records_zero.jsonl", []byte(fresh))))
}

// compressedConfig returns a configuration that is large enough to be compressed: more than 4 KiB.
func compressedConfig() []byte {
	return []byte(`{"ver":7,"text":"` + strings.Repeat("abc ", 2048) + `"}`)
}

// compressedDocument returns a filled document with a configuration that is compressed.
func compressedDocument(c *qt.C) *cluster.Document {
	document := filled[*cluster.Document](c)
	document.Config = compressedConfig()
	document.ConfigChain[len(document.ConfigChain)-1] = cluster.ConfigRefOf(document)
	return document
}

// The compressed bytes are not compared, only their content; see decompressConfigs.
func TestACompressedDocumentMatchesItsGoldenFile(t *testing.T) {
	c := qt.New(t)
	document := compressedDocument(c)
	envelope := wire.Envelope{Fleet: "fleet <a>", From: "from <c>", To: "to <d>", Message: wire.Message{BootstrapCommit: &wire.BootstrapCommit{Document: document}}}
	fresh := encoded(c, &envelope)
	golden := goldenFile(c, "found_packed.json", fresh)
	c.Assert(compressedConfigPattern.Match(golden), qt.IsTrue)
	c.Assert(bytes.Contains(golden, []byte(`"spec":null`)), qt.IsTrue)
	c.Assert(decompressConfigs(c, fresh), qt.Equals, decompressConfigs(c, golden))
	read, err := wire.ReadEnvelope(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, envelope)
	c.Assert(decompressConfigs(c, encoded(c, &read)), qt.Equals, decompressConfigs(c, golden))
}

func TestAWitnessMatchesItsGoldenFile(t *testing.T) {
	c := qt.New(t)
	status := filled[storage.PeerStatus](c)
	fresh := encoded(c, &status)
	golden := goldenFile(c, "witness.json", fresh)
	c.Assert(string(fresh), qt.Equals, string(golden))
	var read storage.PeerStatus
	c.Assert(json.Unmarshal(golden, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, status)
}
