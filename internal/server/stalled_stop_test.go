package server

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// isOnAnyStack reports whether any goroutine is executing a function.
func isOnAnyStack(function string) bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), function)
}

// A write to a stalled disk does not return. A planned stop must not wait for it, since the platform kills the process at
// the end of its grace period.
func TestAStopEndsWithinItsGraceThoughTheDiskHasStalled(t *testing.T) {
	c := qt.New(t)
	seeds := []string{freeAddress(c), freeAddress(c), freeAddress(c)}
	nodes, services := []*deployedNode{}, []*Services{}
	for _, seed := range seeds {
		nodes = append(nodes, startDeployed(c, validDeployment(c, seeds, seed), &recordedRequests{}))
	}
	for _, node := range nodes {
		services = append(services, <-node.services)
	}
	// A named pipe without a reader simulates the stalled disk: opening it for writing blocks.
	pipe := filepath.Join(nodes[0].Settings.Data, "snapshot.json.aside")
	c.Assert(syscall.Mkfifo(pipe, 0o600), qt.IsNil)
	for seq := uint64(1); !isOnAnyStack("storage.(*Store).SaveSnapshot"); seq++ {
		services[0].Runner.ReportEngines([]registry.EngineRecord{{ID: "e", Address: "10.9.9.9:1", Zone: "z0", Pool: "p", Start: seq, Seq: seq}})
		runtime.Gosched()
	}
	nodes[0].stop()
	// Much longer than the grace period, so that a heavily loaded machine does not fail the test.
	timer := time.NewTimer(15 * nodes[0].Bounds.GracePeriod.Duration())
	defer timer.Stop()
	select {
	case err := <-nodes[0].ended:
		c.Check(err, qt.IsNil)
	case <-timer.C:
		c.Error("the stop did not end")
	}
	reader, err := os.OpenFile(pipe, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	c.Assert(err, qt.IsNil)
	defer checkClose(c, reader)
	for _, node := range nodes[1:] {
		node.stop()
	}
	for _, node := range nodes[1:] {
		c.Assert(<-node.ended, qt.IsNil)
	}
	c.Assert(nodes[0].Bounds.GracePeriod, qt.Equals, 2*kernel.Second)
}
