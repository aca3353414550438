package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	qt "github.com/frankban/quicktest"

	"dunlinloom/wings"
)

func TestExitStatusesAndWords(t *testing.T) {
	spec := filepath.Join(t.TempDir(), "spec.json")
	qt.Assert(t, os.WriteFile(spec, []byte(`{"bindings":[]}`), 0o600), qt.IsNil)
	for _, example := range []struct {
		words  string
		status int
		body   string
		want   string // METHOD and path that a node gets
		exit   int
		says   string
	}{
		{"spec put FILE", 200, `{"id":"x","outcome":"yes","generation":7}`, "PUT /v1/spec", exitYes, "yes, generation 7"},
		{"spec put FILE --base 4", 409, `{"id":"x","outcome":"no","reason":"clash","detail":"at 5"}`, "PUT /v1/spec?base=4", exitNo, "no, clash: at 5"},
		{"spec put FILE", 422, `{"error":{"type":"invalid_spec","message":"the spec has faults","faults":[{"path":"bindings","why":"is empty"}],"more_faults":3}}`, "PUT /v1/spec", exitNo, "bindings: is empty\n  and 3 more"},
		{"spec put FILE", 504, `{"id":"x","outcome":"unproved","detail":"nobody"}`, "PUT /v1/spec", exitUnproved, "callboard submission x"},
		{"spec check FILE", 200, `{"ok":true}`, "POST /v1/spec/check", exitYes, "good"},
		{"spec get --generation 3", 404, `{"error":{"type":"no_spec","message":"gone"}}`, "GET /v1/spec?generation=3", exitMissing, "no_spec: gone"},
		{"spec history", 200, `{"generations":[3,9],"current":9}`, "GET /v1/spec/history", exitYes, "9  in force"},
		{"zone empty z/1", 200, `{"id":"x","outcome":"yes","generation":8}`, "PUT /v1/zones/z%2F1/evacuation", exitYes, "yes"},
		{"zone refill z1", 200, `{"id":"x","outcome":"yes","generation":8}`, "DELETE /v1/zones/z1/evacuation", exitYes, "yes"},
		{"router forget 10.0.0.1:7", 200, `{"id":"x","outcome":"yes","generation":8}`, "DELETE /v1/routers/10.0.0.1:7", exitYes, "yes"},
		{"submission s1", 409, `{"id":"s1","outcome":"no","reason":"fenced"}`, "GET /v1/submissions/s1", exitNo, "no, fenced"},
		{"spec get", 503, `not json`, "GET /v1/spec", exitTrouble, ""},
		{"--json spec history", 200, `{"generations":[3],"current":3}`, "GET /v1/spec/history", exitYes, `{"generations":[3],"current":3}`},
	} {
		t.Run(example.words, func(t *testing.T) {
			c := qt.New(t)
			got := ""
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Method + " " + r.URL.RequestURI()
				if r.Method == http.MethodPut || r.Method == http.MethodDelete {
					c.Check(r.Header.Get(wings.HeaderSubmission), qt.Not(qt.Equals), "")
				}
				w.WriteHeader(example.status)
				io.WriteString(w, example.body)
			}))
			defer node.Close()
			// The first node named is dead; the next one is asked.
			line := []string{"--node", "127.0.0.1:1", "--node", strings.TrimPrefix(node.URL, "http://")}
			line = append(line, strings.Fields(strings.ReplaceAll(example.words, "FILE", spec))...)
			var words words
			parser, err := arg.NewParser(arg.Config{}, &words)
			c.Assert(err, qt.IsNil)
			c.Assert(parser.Parse(line), qt.IsNil)
			var out bytes.Buffer
			exit, _ := (&board{words, http.DefaultClient, &out}).run(parser)
			c.Assert(got, qt.Equals, example.want)
			c.Assert(exit, qt.Equals, example.exit, qt.Commentf("%s", out.String()))
			c.Assert(strings.Contains(out.String(), example.says), qt.IsTrue, qt.Commentf("%s", out.String()))
		})
	}
}

func TestAnOrderWithoutAnyAnswerIsUnprovedAndNamesItsID(t *testing.T) {
	c := qt.New(t)
	var words words
	parser, err := arg.NewParser(arg.Config{}, &words)
	c.Assert(err, qt.IsNil)
	c.Assert(parser.Parse([]string{"--node", "127.0.0.1:1", "zone", "empty", "z1", "--submission", "mine"}), qt.IsNil)
	exit, err := (&board{words, http.DefaultClient, io.Discard}).run(parser)
	c.Assert(exit, qt.Equals, exitUnproved)
	c.Assert(strings.Contains(err.Error(), "callboard submission mine"), qt.IsTrue)
}
