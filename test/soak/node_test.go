package soak

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A step that waits for a node while another step replaces it must not restart it. Otherwise the process could become
// leader at an address that no longer belongs to the fleet, and would outlive the run.
func TestReplacedNodeIsNotRestarted(t *testing.T) {
	c := qt.New(t)
	f := emptyFleet(c)
	gone := &node{name: "node0"}
	f.retired = []*node{gone}
	ended := 0
	err := f.endAll([]*node{gone}, 0, func(*node) error {
		ended++
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(ended, qt.Equals, 0)
	c.Assert(gone.busy.TryLock(), qt.IsTrue, qt.Commentf("the node's lock is still held"))
}
