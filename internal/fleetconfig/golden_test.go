package fleetconfig

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"dunlinloom/internal/fleetconfig/fleetconfigpb"
)

var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// compareGolden compares a text with a golden file byte for byte, or writes the file with -update.
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

// goldenBindings is a configuration of bindings, and goldenRoutes one of routes. Together they set every
// field of the native format to a value other than its default.
const (
	goldenBindings = `{"engines":[{"id":"e1","address":"10.0.0.1:8000","zone":"z1","pool":"main"}],` +
		`"bindings":[{"name":"b1","match":{"kind":"k1","model":"m1"},"shares":[{"engine":"e1","pool":"main","zone":"z1","weight":3},{"weight":1}],"ttftLimitUs":1500000}],` +
		`"zones":[{"name":"z1"}],` +
		`"policy":{"prefixLength":65,"maxImbalance":2.5,"nearTie":0.25,"retryRatio":0.0625,"rampStreams":3,"rampDoubleUs":2000001,"rampTotalUs":20000002,"reportFadeUs":10000003,"ownZoneFirst":true},` +
		`"version":"18446744073709551615"}`
	goldenRoutes = `{"version":"7",` +
		`"routes":[{"name":"r1","host":"models.example","prefix":"/chat/","kind":"stream","timeoutUs":"20000000","goalUs":"1000000","gapGoalUs":"300000","priority":1,"tries":2,"pinned":true,"resumable":true,"service":"s1","open":true},` +
		`{"name":"r2","host":"models.example","prefix":"/safe/","kind":"safe","timeoutUs":"1","splits":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],` +
		`"services":[{"name":"s1","healthPath":"/healthz","maxConnections":330,"slots":48,"memoryTokens":"529555","stride":4},{"name":"s2"}],` +
		`"caps":{"headerBytes":"16384","bodyBytes":"4194304","headerUs":"3000000","idleUs":"15000000"},` +
		`"tenants":[{"name":"t1","keys":["key-1","key-2"],"priority":4,"unit":"tokens","plainTokens":"512","rate":100.5,"burst":200.25}],` +
		`"keysRequired":true}`
	goldenChange = `{"version":9,` +
		`"upsert":{"engines":[{"id":"e2"}],"bindings":[{"name":"b2","shares":[{"weight":1}]}],"zones":[{"name":"z2"}],"routes":[{"name":"r2","host":"h","prefix":"/","timeoutUs":1,"service":"s3"}],"services":[{"name":"s3"}],"tenants":[{"name":"t2","keys":["key-3"]}]},` +
		`"remove":{"engines":["e1"],"bindings":["b1"],"zones":["z1"],"routes":["r1"],"services":["s2"],"tenants":["t1"]},` +
		`"policy":{"nearTie":0.5},"caps":{"idleUs":1}}`
)

// compactJSON encodes a message without spaces, since protojson inserts them at random.
func compactJSON(c *qt.C, message proto.Message) string {
	c.Helper()
	written, err := protojson.Marshal(message)
	c.Assert(err, qt.IsNil)
	var to bytes.Buffer
	c.Assert(json.Compact(&to, written), qt.IsNil)
	return to.String()
}

// markSet records every field that is set in a message and in the messages that it contains.
func markSet(message protoreflect.Message, set map[protoreflect.FullName]bool) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		set[field.FullName()] = true
		switch {
		case field.IsList() && field.Message() != nil:
			for i := range value.List().Len() {
				markSet(value.List().Get(i).Message(), set)
			}
		case field.Message() != nil && !field.IsMap():
			markSet(value.Message(), set)
		}
		return true
	})
}

// eachField calls each once for every field of a message and of the messages that it contains.
func eachField(message protoreflect.MessageDescriptor, known map[protoreflect.FullName]bool, each func(protoreflect.FieldDescriptor)) {
	if known[message.FullName()] {
		return
	}
	known[message.FullName()] = true
	fields := message.Fields()
	for i := range fields.Len() {
		each(fields.Get(i))
		if inner := fields.Get(i).Message(); inner != nil {
			eachField(inner, known, each)
		}
	}
}

func TestGoldenDocuments(t *testing.T) {
	c := qt.New(t)
	set := map[protoreflect.FullName]bool{}
	for _, example := range []struct{ name, document string }{{"bindings", goldenBindings}, {"routes", goldenRoutes}} {
		message := &fleetconfigpb.Spec{}
		c.Assert(protojson.Unmarshal([]byte(example.document), message), qt.IsNil)
		// Decoding and encoding again yields the same bytes, for JSON and for the binary encoding.
		c.Assert(compactJSON(c, message), qt.Equals, example.document)
		compareGolden(c, "form_"+example.name+".json", example.document+"\n")
		binary, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		c.Assert(err, qt.IsNil)
		compareGolden(c, "form_"+example.name+".hex", hex.Dump(binary))
		again := &fleetconfigpb.Spec{}
		c.Assert(proto.Unmarshal(binary, again), qt.IsNil)
		c.Assert(compactJSON(c, again), qt.Equals, example.document)
		markSet(message.ProtoReflect(), set)
	}
	// A field that is added to the schema has to be set in one of the two documents.
	eachField((&fleetconfigpb.Spec{}).ProtoReflect().Descriptor(), map[protoreflect.FullName]bool{}, func(field protoreflect.FieldDescriptor) {
		c.Assert(set[field.FullName()], qt.IsTrue, qt.Commentf("%s is not set", field.FullName()))
	})
}

// The golden files have the compiled values in the order of the fields, without the names of Go fields.
func TestGoldenConfigurations(t *testing.T) {
	c := qt.New(t)
	// Read also checks that a route has either one service or splits, which the schema alone does not enforce.
	for name, document := range map[string]string{"bindings": goldenBindings, "routes": goldenRoutes} {
		config, err := Read([]byte(document))
		c.Assert(err, qt.IsNil)
		text := fmt.Sprintf("%v\n%v\n%v\n%v\n%v\n%v\n%v\n%v\n%v\n", config.Version, config.Engines, config.Bindings, config.Routes,
			config.Services, config.Caps, config.Tenants, config.Zones, config.Policy)
		c.Assert(strings.Contains(text, "0x"), qt.IsFalse, qt.Commentf("%s", text))
		compareGolden(c, "compiled_"+name+".txt", text)
	}
	compareGolden(c, "policy_defaults.txt", fmt.Sprintf("%v\n", DefaultPolicy()))
}

// schemaLines describes each field, identified by its path from the configuration. The names of messages
// are part of neither the JSON nor the binary encoding, so they are left out.
func schemaLines(path string, message protoreflect.MessageDescriptor) []string {
	lines := []string{}
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		fieldPath := path + string(field.Name())
		var line strings.Builder
		fmt.Fprintf(&line, "%s = %d %s %s json %s presence %v", fieldPath, field.Number(), field.Cardinality(), field.Kind(), field.JSONName(), field.HasPresence())
		if field.Enum() != nil {
			values := field.Enum().Values()
			for j := range values.Len() {
				fmt.Fprintf(&line, " %s=%d", values.Get(j).Name(), values.Get(j).Number())
			}
		}
		lines = append(lines, line.String())
		if field.Message() != nil {
			lines = append(lines, schemaLines(fieldPath+".", field.Message())...)
		}
	}
	return lines
}

func TestGoldenSchema(t *testing.T) {
	c := qt.New(t)
	lines := schemaLines("", (&fleetconfigpb.Spec{}).ProtoReflect().Descriptor())
	slices.Sort(lines)
	compareGolden(c, "schema.txt", strings.Join(lines, "\n")+"\n")
}

func TestGoldenChange(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n", goldenChange)
	for _, document := range []string{goldenBindings, goldenRoutes} {
		changed, err := ChangeByName([]byte(document), []byte(goldenChange), NativeFieldNames())
		c.Assert(err, qt.IsNil)
		_, err = Read(changed)
		c.Assert(err, qt.IsNil)
		fmt.Fprintf(&text, "%s\n", changed)
	}
	compareGolden(c, "change.txt", text.String())
}
