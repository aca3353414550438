package fleetconfig

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExtractLists(t *testing.T) {
	c := qt.New(t)
	rest, items, isObject := ExtractLists([]byte(` {"a":1, "list" : [ {"x":[1,2]} , 5,"s]" ], "b":{"list":[7]},"list":[8]} `), "list", "other")
	c.Assert(isObject, qt.IsTrue)
	c.Check(string(rest), qt.Equals, `{"a":1,"b":{"list":[7]}}`)
	c.Check(items, qt.DeepEquals, map[string][]json.RawMessage{"list": {json.RawMessage("8")}})
	rest, items, isObject = ExtractLists([]byte(`{"list":null,"a":[]}`), "list", "a")
	c.Assert(isObject, qt.IsTrue)
	c.Check(string(rest), qt.Equals, `{"list":null}`)
	c.Check(items["a"], qt.HasLen, 0)
	for _, other := range []string{"", "[1]", `{"list":[1}`, `{"a":1} x`, "null", "3"} {
		_, _, isObject = ExtractLists([]byte(other), "list")
		c.Check(isObject, qt.IsFalse, qt.Commentf("%q", other))
	}
}

// An item is decoded once for as long as each new list contains it. An item that fails to decode is decoded each time.
func TestItemsAreReadOnce(t *testing.T) {
	c := qt.New(t)
	cache, reads := &ItemCache[string]{}, []string{}
	read := func(items ...string) []string {
		reads = reads[:0]
		raw := []json.RawMessage{}
		for _, item := range items {
			raw = append(raw, json.RawMessage(item))
		}
		return cache.Read(raw, func(_ int, item json.RawMessage) (string, bool) {
			reads = append(reads, string(item))
			return "read " + string(item), string(item) != "bad"
		})
	}
	c.Check(read("a", "b", "bad"), qt.DeepEquals, []string{"read a", "read b", "read bad"})
	c.Check(reads, qt.DeepEquals, []string{"a", "b", "bad"})
	c.Check(read("b", "c", "bad"), qt.DeepEquals, []string{"read b", "read c", "read bad"})
	c.Check(reads, qt.DeepEquals, []string{"c", "bad"})
	read("a")
	c.Check(reads, qt.DeepEquals, []string{"a"})
	var none *ItemCache[string]
	c.Check(none.Read([]json.RawMessage{json.RawMessage("a")}, func(int, json.RawMessage) (string, bool) { return "x", true }), qt.DeepEquals, []string{"x"})
}
