package fleetconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// otherFieldNames are the field names of another format. ChangeByName must not depend on those of the native one.
func otherFieldNames() FieldNames {
	return FieldNames{Version: "number", Upsert: "set", Remove: "unset", Lists: map[string]string{"paths": "at", "backends": "label"}, ReplacedMembers: []string{"limits"}}
}

func TestAChangeTouchesOnlyWhatItNames(t *testing.T) {
	for _, example := range []struct{ name, document, change, want string }{
		{"nothing", `{"version":1,"routes":[ ]}`, `{}`, `{"version":1,"routes":[ ]}`},
		{"a version", `{"a":1,"version":1,"b":2}`, `{"version":9}`, `{"a":1,"version":9,"b":2}`},
		{"a version of 64 bits, and as a string", `{"version":"1"}`, `{"version":"18446744073709551615"}`, `{"version":"18446744073709551615"}`},
		{"a version that the document lacks", `{}`, `{"version":2}`, `{"version":2}`},
		{"an item replaced at its index", `{"routes":[{"name":"a"},{"name":"b","x":1},{"name":"c"}]}`, `{"upsert":{"routes":[{"name":"b","y":2}]}}`,
			`{"routes":[{"name":"a"},{"name":"b","y":2},{"name":"c"}]}`},
		{"new items appended in their order", `{"routes":[{"name":"a"}],"z":0}`, `{"upsert":{"routes":[{"name":"c"},{"name":"a","n":1},{"name":"b"}]}}`,
			`{"routes":[{"name":"a","n":1},{"name":"c"},{"name":"b"}],"z":0}`},
		{"a missing or null list", `{"services":null}`, `{"upsert":{"services":[{"name":"s"}],"routes":[{"name":"a"}]}}`,
			`{"services":[{"name":"s"}],"routes":[{"name":"a"}]}`},
		{"removal", `{"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]}`, `{"remove":{"routes":["b","b"]}}`, `{"routes":[{"name":"a"},{"name":"c"}]}`},
		{"removal of all", `{"routes":[{"name":"a"}]}`, `{"remove":{"routes":["a"]}}`, `{"routes":[]}`},
		{"removal of missing items", `{"routes":[{"name":"a"}]}`, `{"remove":{"routes":["x"],"services":["y"]}}`, `{"routes":[{"name":"a"}]}`},
		{"nulls", `{"routes":[{"name":"a"}]}`, `{"upsert":null,"remove":{"routes":null}}`, `{"routes":[{"name":"a"}]}`},
		{"a member replaced as a whole", `{"caps":{"idleUs":1},"policy":{"nearTie":0.1}}`, `{"caps":{"idleUs":2}}`, `{"caps":{"idleUs":2},"policy":{"nearTie":0.1}}`},
		{"a list whose items are named by another member", `{"engines":[{"id":"e","name":"x"}]}`, `{"upsert":{"engines":[{"name":"x","id":"f"}]}}`, `{"engines":[{"id":"e","name":"x"},{"name":"x","id":"f"}]}`},
		{"numbers, escapes, spaces and unknown members, byte for byte",
			"{ \"later\" : [ 1.50e+03 , \"\\u00e9\\/\" ] , \"n\":12345678901234567890.10,\n\"routes\":[ {\"deep\":{\"x\":[{}, [ ]]},\"name\" : \"a\\\"]\",\"n\":-0.0} , {\"name\":\"b\"}] }",
			`{"upsert":{"routes":[{"name":"b","n":1E2}]}}`,
			"{\"later\":[ 1.50e+03 , \"\\u00e9\\/\" ],\"n\":12345678901234567890.10,\"routes\":[{\"deep\":{\"x\":[{}, [ ]]},\"name\" : \"a\\\"]\",\"n\":-0.0},{\"name\":\"b\",\"n\":1E2}]}"},
		{"names with escapes", `{"ro\u0075tes":[{"n\u0061me":"a","k":1}]}`, `{"upsert":{"routes":[{"name":"\u0061"}]}}`, `{"ro\u0075tes":[{"name":"\u0061"}]}`},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			document, change := []byte(example.document), []byte(example.change)
			got, err := ChangeByName(document, change, NativeFieldNames())
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, example.want)
			// The inputs must not be modified, because the core still holds them.
			c.Assert(string(document), qt.Equals, example.document)
			c.Assert(string(change), qt.Equals, example.change)
		})
	}
}

func TestAChangeInAnotherFormatsFieldNames(t *testing.T) {
	c := qt.New(t)
	got, err := ChangeByName([]byte(`{"number":5,"paths":[{"at":"a"}],"backends":[{"label":"d"},{"label":"e"}],"limits":1,"version":3}`),
		[]byte(`{"number":7,"set":{"paths":[{"at":"b"}]},"unset":{"backends":["d"]},"limits":2}`), otherFieldNames())
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, `{"number":7,"paths":[{"at":"a"},{"at":"b"}],"backends":[{"label":"e"}],"limits":2,"version":3}`)
	_, err = ChangeByName([]byte(`{}`), []byte(`{"version":7,"upsert":{},"set":{"routes":[],"paths":[{"name":"a"}]}}`), otherFieldNames())
	c.Assert(errorPaths(c, err), qt.DeepEquals, []string{"version", "upsert", "set.routes", "set.paths[0].at"})
}

func TestEveryErrorOfAChangeIsReportedWithItsPath(t *testing.T) {
	for _, example := range []struct {
		name, document, change string
		paths                  []string
	}{
		{"not JSON", `{"routes":[`, `{"version":`, []string{"document", "$"}},
		{"nothing at all", ``, ` `, []string{"document", "$"}},
		{"two values", `{} {}`, `{}{}`, []string{"document", "$"}},
		{"not in UTF-8", "{\"a\":\"\xff\"}", "{\"\xff\":1}", []string{"document", "$"}},
		{"not objects", `[]`, `"x"`, []string{"document", "$"}},
		{"the same member twice", `{"a":1,"\u0061":2}`, `{"version":1,"version":2,"upsert":{"routes":[],"routes":[]}}`, []string{"document.a", "version"}},
		{"the same list twice", `{}`, `{"upsert":{"routes":[],"routes":[]}}`, []string{"upsert.routes"}},
		{"unknown members and lists", `{"routes":[]}`, `{"routes":[],"upsert":{"rout":[]},"remove":{"policy":[]},"Version":1}`, []string{"routes", "upsert.rout", "remove.policy", "Version"}},
		{"values that are not lists", `{}`, `{"upsert":{"routes":{},"services":"s"},"remove":{"routes":"a"}}`, []string{"upsert.routes", "upsert.services", "remove.routes"}},
		{"values that are not objects of lists", `{}`, `{"upsert":[],"remove":7}`, []string{"upsert", "remove"}},
		{"a version that is not an integer", `{}`, `{"version":1.5}`, []string{"version"}},
		{"a null version", `{}`, `{"version":null}`, []string{"version"}},
		{"a version below zero", `{}`, `{"version":-1}`, []string{"version"}},
		{"a version above 64 bits", `{}`, `{"version":18446744073709551616}`, []string{"version"}},
		{"items without a name", `{}`, `{"upsert":{"routes":[{},{"name":7},{"name":""},"a",null,{"name":"a","name":"b"},{"name":null}]}}`,
			[]string{"upsert.routes[0].name", "upsert.routes[1].name", "upsert.routes[2].name", "upsert.routes[3]", "upsert.routes[4]", "upsert.routes[5].name", "upsert.routes[6].name"}},
		{"items with the same name", `{}`, `{"upsert":{"routes":[{"name":"a"},{"name":"\u0061"}]}}`, []string{"upsert.routes[1].name"}},
		{"invalid names", `{}`, `{"remove":{"routes":[7,"",null,{"name":"a"},"b"]}}`, []string{"remove.routes[0]", "remove.routes[1]", "remove.routes[2]", "remove.routes[3]"}},
		{"an item both upserted and removed", `{}`, `{"remove":{"routes":["a"]},"upsert":{"routes":[{"name":"b"},{"name":"a"}],"services":[{"name":"a"}]}}`, []string{"upsert.routes[1].name"}},
		{"a document with an object instead of a list", `{"routes":{}}`, `{"remove":{"routes":["a"]}}`, []string{"document.routes"}},
		{"a document with invalid items", `{"routes":[{"name":"a"},{"name":"a"},7]}`, `{"remove":{"routes":["a"]}}`, []string{"document.routes[1].name", "document.routes[2]"}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := ChangeByName([]byte(example.document), []byte(example.change), NativeFieldNames())
			c.Assert(got, qt.IsNil)
			c.Assert(errorPaths(c, err), qt.DeepEquals, example.paths, qt.Commentf("%v", err))
		})
	}
	c := qt.New(t)
	var above TooLargeError
	_, err := ChangeByName([]byte(`{}`), make([]byte, MaxBytes+1), NativeFieldNames())
	c.Assert(errors.As(err, &above), qt.IsTrue)
	_, err = ChangeByName(make([]byte, MaxBytes+1), []byte(`{}`), NativeFieldNames())
	c.Assert(errors.As(err, &above), qt.IsTrue)
}

// A random change gives the same result as a reference, which rebuilds each list from plain slices.
func TestChangeMatchesReference(t *testing.T) {
	for seed := range uint64(2000) {
		g := &changeGenerator{random: rand.New(rand.NewPCG(seed, 1)), fields: NativeFieldNames()}
		document, change, want := g.generate()
		got, err := ChangeByName([]byte(document), []byte(change), g.fields)
		if err != nil || string(got) != want {
			t.Fatalf("seed %d: document %s\nchange %s\ngot %s (%v)\nwant %s", seed, document, change, got, err, want)
		}
		// Applying the same change again has no effect.
		if again, err := ChangeByName(got, []byte(change), g.fields); err != nil || !bytes.Equal(again, got) {
			t.Fatalf("seed %d: applied again: %s (%v)", seed, again, err)
		}
	}
}

// changeGenerator generates a random document, a change of it, and the expected result. The slices hold
// JSON members.
type changeGenerator struct {
	random                   *rand.Rand
	fields                   FieldNames
	document, want, appended []string // appended: lists that the change adds at the end of the document
	upsert, remove           []string
}

func (g *changeGenerator) generate() (document, change, want string) {
	g.document, g.want = []string{`"before":1e0`}, []string{`"before":1e0`}
	for _, list := range []string{"engines", "bindings", "zones", "routes", "services"} {
		g.generateList(list)
	}
	g.document = append(g.document, `"after":[ ]`, `"version":1`)
	g.want = append(append(g.want, `"after":[ ]`, `"version":2`), g.appended...)
	change = fmt.Sprintf(`{"upsert":{%s},"version":2,"remove":{%s}}`, strings.Join(g.upsert, ","), strings.Join(g.remove, ","))
	return "{" + strings.Join(g.document, ",") + "}", change, "{" + strings.Join(g.want, ",") + "}"
}

func (g *changeGenerator) item(list, name string) string {
	return fmt.Sprintf(`{"a":%d.0,"%s":"%s","z":[{"name":"%s"}]}`, g.random.IntN(1000), g.fields.Lists[list], name, name)
}

func (g *changeGenerator) names() []string {
	list := []string{}
	for _, i := range g.random.Perm(8)[:g.random.IntN(9)] {
		list = append(list, fmt.Sprintf("n%d", i))
	}
	return list
}

func (g *changeGenerator) generateList(list string) {
	old, added, removed := g.names(), g.names(), g.names()
	removed = slices.DeleteFunc(removed, func(name string) bool { return slices.Contains(added, name) })
	exists, isChanged := g.random.IntN(4) > 0, g.random.IntN(3) > 0
	newItems, addedItems := map[string]string{}, []string{}
	for _, name := range added {
		newItems[name] = g.item(list, name)
		addedItems = append(addedItems, newItems[name])
	}
	if !exists {
		old = nil
	}
	if !isChanged {
		added, removed, newItems = nil, nil, nil
	}
	oldItems, result := g.apply(list, old, removed, newItems)
	for _, name := range added {
		if !slices.Contains(old, name) {
			result = append(result, newItems[name])
		}
	}
	line := fmt.Sprintf(`"%s":[%s]`, list, strings.Join(result, ","))
	if exists {
		g.document = append(g.document, fmt.Sprintf(`"%s":[%s]`, list, strings.Join(oldItems, ",")))
		g.want = append(g.want, line)
	} else if len(added) > 0 {
		g.appended = append(g.appended, line)
	}
	if isChanged {
		g.upsert = append(g.upsert, fmt.Sprintf(`"%s":[%s]`, list, strings.Join(addedItems, ",")))
		quoted, _ := json.Marshal(removed) // encoding strings can't fail
		g.remove = append(g.remove, fmt.Sprintf(`"%s":%s`, list, quoted))
	}
}

// apply generates the old items of a list, and the items that remain of them after the change.
func (g *changeGenerator) apply(list string, old, removed []string, newItems map[string]string) (oldItems, result []string) {
	for _, name := range old {
		item := g.item(list, name)
		oldItems = append(oldItems, item)
		if slices.Contains(removed, name) {
			continue
		}
		if changed, isChanged := newItems[name]; isChanged {
			item = changed
		}
		result = append(result, item)
	}
	return oldItems, result
}
