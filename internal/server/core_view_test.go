package server

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every node answers with the leader's view of the core, and that view shows a stopped voter.
func TestEveryNodeReportsWhetherTheCoreIsComplete(t *testing.T) {
	c := qt.New(t)
	f := openFleet(c, 0)
	read := func(node int, isMet func(CoreView) bool) CoreView {
		for {
			status, _, body := f.do(node, http.MethodGet, "/v1/core", "")
			if status != http.StatusOK {
				c.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
				continue
			}
			var view CoreView
			c.Assert(json.Unmarshal([]byte(body), &view), qt.IsNil)
			if isMet(view) {
				return view
			}
		}
	}
	for node := range f.public {
		view := read(node, func(view CoreView) bool { return view.IsHealthy })
		c.Assert(view.Voters, qt.HasLen, 3)
		c.Assert(view.FailureTolerance, qt.Equals, 1)
	}
	f.stop[0]()
	view := read(1, func(view CoreView) bool { return !view.IsHealthy && view.FailureTolerance == 0 })
	c.Assert(view.Shortfalls, qt.Not(qt.HasLen), 0)
}
