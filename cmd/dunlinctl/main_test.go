package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
)

func TestExitStatusesAndCommands(t *testing.T) {
	config := filepath.Join(t.TempDir(), "spec.json")
	qt.Assert(t, os.WriteFile(config, []byte(`{"bindings":[]}`), 0o600), qt.IsNil)
	for _, example := range []struct {
		line   string
		status int
		body   string
		want   string // METHOD and path that a node gets
		exit   int
		says   string
	}{
		{"config put FILE", 200, `{"id":"x","outcome":"yes","generation":7}`, "PUT /v1/spec", exitAccepted, "yes, revision 7"},
		{"config put FILE --base 4", 409, `{"id":"x","outcome":"no","reason":"clash","detail":"at 5"}`, "PUT /v1/spec?base=4", exitRejected, "no, clash: at 5"},
		{"config put FILE", 422, `{"error":{"type":"invalid_spec","message":"the spec has faults","faults":[{"path":"bindings","why":"is empty"}],"more_faults":3}}`, "PUT /v1/spec", exitRejected, "bindings: is empty\n  and 3 more"},
		{"config put FILE", 504, `{"id":"x","outcome":"unproved","detail":"nobody"}`, "PUT /v1/spec", exitUnknown, "dunlinctl submission x"},
		{"config check FILE", 200, `{"ok":true}`, "POST /v1/spec/check", exitAccepted, "valid"},
		{"config get --revision 3", 404, `{"error":{"type":"no_spec","message":"gone"}}`, "GET /v1/spec?generation=3", exitMissing, "no_spec: gone"},
		{"config history", 200, `{"generations":[3,9],"current":9}`, "GET /v1/spec/history", exitAccepted, "9  in force"},
		{"zone drain z/1", 200, `{"id":"x","outcome":"yes","generation":8}`, "PUT /v1/zones/z%2F1/evacuation", exitAccepted, "yes"},
		{"zone restore z1", 200, `{"id":"x","outcome":"yes","generation":8}`, "DELETE /v1/zones/z1/evacuation", exitAccepted, "yes"},
		{"router forget 10.0.0.1:7", 200, `{"id":"x","outcome":"yes","generation":8}`, "DELETE /v1/routers/10.0.0.1:7", exitAccepted, "yes"},
		{"submission s1", 409, `{"id":"s1","outcome":"no","reason":"fenced"}`, "GET /v1/submissions/s1", exitRejected, "no, fenced"},
		{"status", 200, `{"leader":"10.0.0.1:7","term":3,"wanted":3,"voters":[{"address":"10.0.0.1:7","zone":"z1","heard":true,"caught_up":true,"history":true}],"spare_losses":1,"whole":true,"since_us":2000000}`, "GET /v1/core", exitAccepted, "core whole: 1 voters, 1 may be lost, for 2s; led by 10.0.0.1:7 in term 3"},
		{"status", 200, `{"leader":"10.0.0.1:7","wanted":3,"voters":[{"address":"10.0.0.2:7","zone":"z2","heard":false}],"whole":false,"shortfalls":[{"kind":"silent","address":"10.0.0.2:7"}]}`, "GET /v1/core", exitRejected, "10.0.0.2:7 silent"},
		{"status", 503, `{"error":{"type":"no_leader","message":"none"}}`, "GET /v1/core", exitUnknown, ""},
		{"--json status", 200, `{"leader":"a","whole":true,"wanted":3}`, "GET /v1/core", exitAccepted, `{"leader":"a","whole":true,"wanted":3}`},
		{"config get", 503, `not json`, "GET /v1/spec", exitFailure, ""},
		{"--json config history", 200, `{"generations":[3],"current":3}`, "GET /v1/spec/history", exitAccepted, `{"generations":[3],"current":3}`},
	} {
		t.Run(example.line, func(t *testing.T) {
			c := qt.New(t)
			got := ""
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Method + " " + r.URL.RequestURI()
				if r.Method == http.MethodPut || r.Method == http.MethodDelete {
					c.Check(r.Header.Get(server.HeaderSubmission), qt.Not(qt.Equals), "")
				}
				w.WriteHeader(example.status)
				io.WriteString(w, example.body)
			}))
			defer node.Close()
			// The first node does not respond, so the next one is queried.
			parts := []string{"--node", "127.0.0.1:1", "--node", strings.TrimPrefix(node.URL, "http://")}
			parts = append(parts, strings.Fields(strings.ReplaceAll(example.line, "FILE", config))...)
			var arguments arguments
			parser, err := arg.NewParser(arg.Config{}, &arguments)
			c.Assert(err, qt.IsNil)
			c.Assert(parser.Parse(parts), qt.IsNil)
			var out bytes.Buffer
			exit, _ := (&session{arguments, http.DefaultClient, &out}).run(parser)
			c.Assert(got, qt.Equals, example.want)
			c.Assert(exit, qt.Equals, example.exit, qt.Commentf("%s", out.String()))
			c.Assert(strings.Contains(out.String(), example.says), qt.IsTrue, qt.Commentf("%s", out.String()))
		})
	}
}

func TestAnOperationWithoutAResponseIsUnknownAndNamesItsID(t *testing.T) {
	c := qt.New(t)
	var arguments arguments
	parser, err := arg.NewParser(arg.Config{}, &arguments)
	c.Assert(err, qt.IsNil)
	c.Assert(parser.Parse([]string{"--node", "127.0.0.1:1", "zone", "drain", "z1", "--submission", "mine"}), qt.IsNil)
	exit, err := (&session{arguments, http.DefaultClient, io.Discard}).run(parser)
	c.Assert(exit, qt.Equals, exitUnknown)
	c.Assert(strings.Contains(err.Error(), "dunlinctl submission mine"), qt.IsTrue)
}

func TestTheDiffOfTwoConfigs(t *testing.T) {
	c := qt.New(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("generation") {
		case "3":
			io.WriteString(w, `{"bindings":[{"name":"a","shares":[{"weight":1}]}]}`)
		case "9":
			io.WriteString(w, `{"bindings":[{"name":"a","shares":[{"weight":7}]}]}`)
		default:
			w.WriteHeader(http.StatusNotFound)
			io.WriteString(w, `{"error":{"type":"no_spec","message":"gone"}}`)
		}
	}))
	defer node.Close()
	var out bytes.Buffer
	s := &session{arguments{Nodes: []string{strings.TrimPrefix(node.URL, "http://")}}, http.DefaultClient, &out}
	status, err := s.diff(3, 9)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, exitAccepted)
	c.Assert(out.String(), qt.Equals, "-          \"weight\": 1\n+          \"weight\": 7\n")
	status, _ = s.diff(3, 5)
	c.Assert(status, qt.Equals, exitMissing)
	_, err = s.diff(0, 5)
	c.Assert(err, qt.IsNotNil)
}

func TestAChangeByNameIsPutOnTheConfigThatWasRead(t *testing.T) {
	for _, example := range []struct {
		name, revision, change string
		status                 int
		reply                  string
		put                    string // what a node gets; empty: nothing may be put
		exit                   int
		says                   string
	}{
		{"a change", "7", `{"version":9,"upsert":{"routes":[{"name":"b"}]},"remove":{"routes":["a"]}}`, 200, `{"id":"x","outcome":"yes","generation":8}`,
			`?base=7 {"version":9,"later":1.0,"routes":[{"name":"b"}]}`, exitAccepted, "from revision 7, version 5, to be put, version 9\nyes, revision 8"},
		{"another was faster", "7", `{"version":9}`, 409, `{"id":"x","outcome":"no","reason":"clash","detail":"at 8"}`,
			`?base=7 {"version":9,"later":1.0,"routes":[{"name":"a"}]}`, exitRejected, "no, clash: at 8"},
		{"faults", "7", `{"upsert":{"routes":[{}]}}`, 0, "", "", exitRejected, "upsert.routes[0].name"},
		{"a configuration of no known revision", "", `{"version":9}`, 0, "", "", exitFailure, "revision"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			put := ""
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					w.Header().Set(relay.HeaderRevision, example.revision)
					io.WriteString(w, `{"version":5,"later":1.0,"routes":[{"name":"a"}]}`)
					return
				}
				content, err := io.ReadAll(r.Body)
				c.Check(err, qt.IsNil)
				c.Check(r.Header.Get(server.HeaderSubmission), qt.Not(qt.Equals), "")
				put = "?" + r.URL.RawQuery + " " + string(content)
				w.WriteHeader(example.status)
				io.WriteString(w, example.reply)
			}))
			defer node.Close()
			file := filepath.Join(t.TempDir(), "change.json")
			c.Assert(os.WriteFile(file, []byte(example.change), 0o600), qt.IsNil)
			var arguments arguments
			parser, err := arg.NewParser(arg.Config{}, &arguments)
			c.Assert(err, qt.IsNil)
			c.Assert(parser.Parse([]string{"--node", strings.TrimPrefix(node.URL, "http://"), "config", "change", file}), qt.IsNil)
			var out bytes.Buffer
			exit, err := (&session{arguments, http.DefaultClient, &out}).run(parser)
			if err != nil {
				out.WriteString(err.Error())
			}
			c.Assert(exit, qt.Equals, example.exit, qt.Commentf("%s", out.String()))
			c.Assert(put, qt.Equals, example.put)
			c.Assert(strings.Contains(out.String(), example.says), qt.IsTrue, qt.Commentf("%s", out.String()))
		})
	}
}

// The nodes' clocks differ by an hour, yet entries made under a revision come after its proposal.
// Nodes that do not respond are listed. Most entries have the names that former builds recorded.
func TestTheTimelineIsInCausalOrder(t *testing.T) {
	c := qt.New(t)
	entry := func(seq, revision uint64, wall kernel.Micros, subject, decision, why string) kernel.Entry {
		return kernel.Entry{Seq: seq, Start: 1, Revision: revision, WallTime: wall * kernel.Second, Component: "control", Subject: subject, Decision: decision, Reason: why}
	}
	pages := map[string]journalPage{
		"a": {kernel.Identity{Address: "10.0.0.1:7000", Zone: "z1"}, []kernel.Entry{
			entry(1, 4, 7200, "core", "lead", "term 3, elected"), entry(2, 4, 7201, "core", "propose", "generation 5: [submission s1]"),
			entry(3, 5, 7203, "submission s1", "yes", "kept and applied"), entry(4, 5, 7204, "core", "propose", "revision 6: [voter dropped: 10.0.0.9:7000]"),
			entry(5, 6, 7206, "engine e1", "leaving", "marked"),
		}},
		"b": {kernel.Identity{Address: "10.0.0.2:7000", Zone: "z2"}, []kernel.Entry{
			entry(1, 4, 3590, "licence", "core dark", "no grant"), entry(2, 5, 3602, "licence", "core back", "under 5"),
			entry(3, 6, 3605, "engine e1", "draining", "marked"), entry(4, 6, 3660, "declines", "count", "no_licence 3; 5 of 8 served"),
		}},
	}
	handler := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/journal" {
				c.Check(r.URL.Query().Get("requests"), qt.Equals, "0")
				c.Check(json.NewEncoder(w).Encode(pages[name]), qt.IsNil)
				return
			}
			c.Check(json.NewEncoder(w).Encode(map[string]any{"register": []string{"10.0.0.7:7000"}, "voters": []cluster.Member{}}), qt.IsNil)
		}
	}
	one, other := httptest.NewServer(handler("a")), httptest.NewServer(handler("b"))
	defer one.Close()
	defer other.Close()
	var out bytes.Buffer
	s := &session{arguments{Nodes: []string{strings.TrimPrefix(one.URL, "http://"), strings.TrimPrefix(other.URL, "http://"), "127.0.0.1:1"}}, http.DefaultClient, &out}
	status, err := s.timeline("12h")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, exitAccepted)
	at := -1
	for _, want := range []string{"NO ANSWER from 10.0.0.7:7000", "NO ANSWER from 127.0.0.1:1", "lost contact with the core", "leads: term 3", "generation 5: [submission s1]",
		"regained contact with the core", "operation accepted s1", "voter dropped", "engine leaves e1", "declined within a minute: no_licence 3"} {
		next := strings.Index(out.String(), want)
		c.Assert(next > at, qt.IsTrue, qt.Commentf("%q is missing or out of order in\n%s", want, out.String()))
		at = next
	}
	c.Assert(strings.Count(out.String(), "engine leaves e1"), qt.Equals, 1)
	for _, bad := range []string{"yesterday", "-3h", "2999-01-01T00:00:00Z"} {
		status, err = s.timeline(bad)
		c.Assert(status, qt.Equals, exitFailure)
		c.Assert(err, qt.IsNotNil)
	}
}

func TestACoreIsRebuiltOnlyWithTheConfirmationAskedFor(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	folder, err := kernel.OpenFolder(path)
	c.Assert(err, qt.IsNil)
	store, _, _, err := storage.OpenStore(folder, "here", func() string { return "old" })
	c.Assert(err, qt.IsNil)
	// One voter belongs to this folder; the other two do not respond.
	document := &cluster.Document{ClusterID: "f", Revision: 12, Term: 3, Config: []byte("{}"), ConfigRevision: 7, Routers: []string{"10.0.0.9:1"},
		Voters: []cluster.Member{{ID: "old", Address: "127.0.0.1:7001", Zone: "z1"}, {ID: "x", Address: "127.0.0.1:1", Zone: "z2"}, {ID: "y", Address: "127.0.0.1:2", Zone: "z3"}}}
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 3}, Document: document}), qt.IsNil)
	run := func(line ...string) (int, string, error) {
		var arguments arguments
		parser, err := arg.NewParser(arg.Config{}, &arguments)
		c.Assert(err, qt.IsNil)
		c.Assert(parser.Parse(append([]string{"core"}, line...)), qt.IsNil)
		var out bytes.Buffer
		status, err := (&session{arguments, http.DefaultClient, &out}).run(parser)
		return status, out.String(), err
	}
	status, output, err := run("look", "--data", path)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, exitAccepted)
	for _, want := range []string{"revision 12 of term 3", "all operations acknowledged after revision 12", "voter 127.0.0.1:1 in z2 does not answer", "you vouch", "10.0.0.9:1"} {
		c.Assert(strings.Contains(output, want), qt.IsTrue, qt.Commentf("%q is not in\n%s", want, output))
	}
	for _, confirm := range []string{"", "yes", "rebuild here from revision 11"} {
		status, _, err = run("rebuild", "--data", path, "--confirm", confirm)
		c.Assert(status, qt.Equals, exitRejected)
		c.Assert(err, qt.ErrorMatches, ".*rebuild here from revision 12.*")
	}
	status, _, err = run("rebuild", "--data", path, "--peer", "nowhere", "--confirm", "rebuild here from revision 12")
	c.Assert(status, qt.Equals, exitFailure)
	c.Assert(err, qt.IsNotNil)
	// A running controller holds a lock on its folder.
	release, err := kernel.LockFolder(path)
	c.Assert(err, qt.IsNil)
	status, _, err = run("rebuild", "--data", path, "--confirm", "rebuild here from revision 12")
	c.Assert(status, qt.Equals, exitFailure)
	c.Assert(errors.As(err, new(kernel.FolderInUseError)), qt.IsTrue)
	c.Assert(release(), qt.IsNil)
	status, _, err = run("rebuild", "--data", path, "--confirm", "rebuild here from revision 12")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, exitAccepted)
	again, _, rebuilt, err := storage.OpenStore(folder, "here", func() string { return "fresh" })
	c.Assert(err, qt.IsNil)
	c.Assert(rebuilt.ClusterID, qt.Not(qt.Equals), "f")
	c.Assert(rebuilt.Voters, qt.DeepEquals, []cluster.Member{{ID: again.Member(), Address: "127.0.0.1:7001", Zone: "z1"}})
	c.Assert(string(rebuilt.Config), qt.Equals, "{}")
	for _, bad := range []string{filepath.Join(path, "none"), c.TempDir()} {
		status, _, err = run("look", "--data", bad)
		c.Assert(status, qt.Equals, exitFailure)
		c.Assert(errors.As(err, new(storage.NoSurvivorError)), qt.IsTrue)
	}
}

// status with a wait returns as soon as the core is healthy, or else when the wait is over.
func TestAStatusWaitsForTheCoreToBeComplete(t *testing.T) {
	c := qt.New(t)
	queries, paused := 0, time.Duration(0)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		queries++
		json.NewEncoder(w).Encode(server.CoreView{Leader: "a", Health: &control.Health{Wanted: 3, IsHealthy: queries >= 2}})
	}))
	defer node.Close()
	runStatus := func(wait time.Duration) int {
		exit, err := (&session{arguments{Nodes: []string{strings.TrimPrefix(node.URL, "http://")}}, http.DefaultClient, io.Discard}).status(wait, func(span time.Duration) { paused += span })
		c.Assert(err, qt.IsNil)
		return exit
	}
	c.Assert(runStatus(0), qt.Equals, exitRejected)
	c.Assert(runStatus(time.Minute), qt.Equals, exitAccepted)
	c.Assert(paused, qt.Equals, time.Duration(0))
	queries = -100
	c.Assert(runStatus(1200*time.Millisecond), qt.Equals, exitRejected)
	c.Assert(paused, qt.Equals, 1200*time.Millisecond)
	queries = -1
	c.Assert(runStatus(time.Minute), qt.Equals, exitAccepted)
	c.Assert(paused, qt.Equals, 2200*time.Millisecond)
}

// A node that tracks only its own zone returns a partial view. The rest of the fleet is queried from
// the coordinator of its zone.
func TestAPartialViewOfTheFleetIsCompletedByTheCoordinator(t *testing.T) {
	for _, example := range []struct {
		name         string
		isAnswering  bool // the coordinator returns its view
		says, denies string
	}{
		{"the coordinator tells", true, "10.0.0.9:7             registered but not heard of", "more registered routers"},
		{"the coordinator does not", false, "2 more registered routers", "not heard of\n"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			nodeAt := func(address, public string) server.NodeView {
				return server.NodeView{NodeRecord: registry.NodeRecord{Address: address, PublicAddress: public, Zone: "z1", IsRouter: true}}
			}
			serve := func(view *server.FleetView) *httptest.Server {
				node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if view == nil {
						w.WriteHeader(http.StatusNotFound)
						return
					}
					json.NewEncoder(w).Encode(view)
				}))
				t.Cleanup(node.Close)
				return node
			}
			registered := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.9:7"}
			whole := &server.FleetView{Routers: registered, Nodes: []server.NodeView{nodeAt("10.0.0.1:7", ""), nodeAt("10.0.0.2:7", ""), nodeAt("10.0.0.3:7", "")}}
			if !example.isAnswering {
				whole = nil
			}
			coordinator := strings.TrimPrefix(serve(whole).URL, "http://")
			partial := serve(&server.FleetView{
				Self: kernel.Identity{Zone: "z1"}, Coordinators: map[string]string{"z1": "10.0.0.1:7"}, Routers: registered, IsPartial: true, KnownRouters: 3,
				Nodes: []server.NodeView{nodeAt("10.0.0.1:7", coordinator), nodeAt("10.0.0.2:7", "")},
			})
			out := &bytes.Buffer{}
			s := &session{arguments{Nodes: []string{strings.TrimPrefix(partial.URL, "http://")}}, http.DefaultClient, out}
			_, err := s.show(http.MethodGet, "/v1/fleet", nil, s.printFleet)
			c.Assert(err, qt.IsNil)
			c.Assert(strings.Contains(out.String(), example.says), qt.IsTrue, qt.Commentf("%s", out))
			c.Assert(strings.Contains(strings.ReplaceAll(out.String(), "or not heard of: ask", ""), example.denies), qt.IsFalse, qt.Commentf("%s", out))
			c.Assert(strings.Contains(out.String(), "10.0.0.3:7"), qt.Equals, example.isAnswering, qt.Commentf("%s", out))
		})
	}
}
