package server

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// diskTrouble makes the disk of a stopped node fail from before its next start on. It returns the function that ends the
// trouble.
type diskTrouble func(c *qt.C, data string) (end func())

// replaceByFolder puts a folder in the place of a file, so that the file can be neither opened nor read.
func replaceByFolder(name string) diskTrouble {
	return func(c *qt.C, data string) func() {
		path := filepath.Join(data, name)
		content, readErr := os.ReadFile(path)
		c.Assert(os.RemoveAll(path), qt.IsNil)
		c.Assert(os.MkdirAll(path, 0o700), qt.IsNil)
		return func() {
			c.Assert(os.Remove(path), qt.IsNil)
			if readErr == nil {
				c.Assert(os.WriteFile(path, content, 0o600), qt.IsNil)
			}
		}
	}
}

// hangOnRead puts a named pipe without a writer in the place of a file, so that reading the file does not return.
func hangOnRead(name string) diskTrouble {
	return func(c *qt.C, data string) func() {
		path := filepath.Join(data, name)
		c.Assert(os.MkdirAll(data, 0o700), qt.IsNil)
		c.Assert(os.RemoveAll(path), qt.IsNil)
		c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
		return func() {
			writer, err := os.OpenFile(path, os.O_RDWR, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(os.Remove(path), qt.IsNil)
			c.Assert(writer.Close(), qt.IsNil)
		}
	}
}

// staysLocked keeps the folder locked, as a process does that was killed but can't end before its disk answers.
func staysLocked(c *qt.C, data string) func() {
	release, err := kernel.LockFolder(data)
	c.Assert(err, qt.IsNil)
	return func() { c.Assert(release(), qt.IsNil) }
}

// coreUnderTrouble is a core of three deployed nodes whose disks fail.
type coreUnderTrouble struct {
	c        *qt.C
	nodes    []*deployedNode
	services []*Services
}

// coreTimeout is much longer than each step takes, so that a heavily loaded machine does not fail the test.
const coreTimeout = 90 * time.Second

// await polls until a condition holds, and fails the test if that takes longer than coreTimeout.
func (f *coreUnderTrouble) await(what string, isMet func() bool) {
	f.c.Helper()
	for end := time.Now().Add(coreTimeout); !isMet(); {
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
	}
}

// start starts a node and waits until it serves callers. The disk is in trouble from before the start until then; nil:
// it is sound.
func (f *coreUnderTrouble) start(index int, trouble diskTrouble) {
	f.c.Helper()
	d := f.nodes[index].Deployment
	end := func() {}
	if trouble != nil {
		end = trouble(f.c, d.Settings.Data)
	}
	f.nodes[index] = startDeployed(f.c, d, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	f.await(fmt.Sprintf("node %d serves callers", index), func() bool {
		status, err := get(d.Callers, "/")
		return err == nil && status == http.StatusOK
	})
	f.services[index] = <-f.nodes[index].services
	end()
}

// stop ends a node's process.
func (f *coreUnderTrouble) stop(index int) {
	f.nodes[index].stop()
	f.c.Assert(<-f.nodes[index].ended, qt.IsNil)
	again := *f.nodes[index].Deployment
	again.Bootstrap = false
	f.nodes[index].Deployment = &again
}

// wipe empties the disk of a stopped node.
func (f *coreUnderTrouble) wipe(index int) {
	f.c.Assert(os.RemoveAll(f.nodes[index].Settings.Data), qt.IsNil)
}

// put stores a configuration of the given version.
func (f *coreUnderTrouble) put(version int) {
	f.c.Helper()
	config := []byte(strings.Replace(configOne, "{", fmt.Sprintf(`{"version":"%d",`, version), 1))
	try := 0
	f.await(fmt.Sprintf("version %d is acknowledged", version), func() bool {
		try++
		submit := &cluster.Submit{ID: fmt.Sprintf("put-%d-%d", version, try), Operation: cluster.PutConfig, Config: config}
		reply, err := f.services[try%len(f.services)].Runner.Submit(context.Background(), submit)
		return err == nil && reply.Outcome == cluster.Accepted
	})
}

// awaitReserve waits until the leader reports that every machine is a healthy voter, so that the core bears a loss.
func (f *coreUnderTrouble) awaitReserve() {
	f.c.Helper()
	f.await("the core bears a loss again", func() bool {
		for _, services := range f.services {
			if health := services.Runner.State().Health; health != nil && health.IsHealthy && len(health.Voters) == len(f.nodes) {
				return true
			}
		}
		return false
	})
}

// checkRead checks that every node reads the configuration of the given version.
func (f *coreUnderTrouble) checkRead(version int) {
	f.c.Helper()
	for index, services := range f.services {
		f.await(fmt.Sprintf("node %d reads the configuration", index), func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			document, err := services.Runner.LinearizableRead(ctx)
			return err == nil && strings.Contains(string(document.Config), fmt.Sprintf(`"version":"%d"`, version))
		})
	}
}

// Guards against a core without reserve: a disk that failed while its process started stayed unused, and the next lost
// disk took the acknowledged configuration.
func TestADiskThatFailsAtAStartIsOpenedOnceItIsSound(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		name string
		// firstTrouble is met by the first start of the fleet.
		firstTrouble diskTrouble
		// troubles are met by later starts of the same node, one after the other.
		troubles       []diskTrouble
		isWiped        bool // the node's disk is lost before each of the later starts
		troubled, lost int  // the node in trouble, and the one that loses its disk afterwards
	}{
		{name: "first start", firstTrouble: replaceByFolder("lock"), lost: 1},
		{name: "first start of another machine", firstTrouble: replaceByFolder("lock"), troubled: 2, lost: 0},
		{name: "empty disk", troubles: []diskTrouble{replaceByFolder("lock")}, isWiped: true, lost: 1},
		{name: "empty disk, files refused", troubles: []diskTrouble{replaceByFolder("member.json")}, isWiped: true, lost: 1},
		{name: "whole disk", troubles: []diskTrouble{replaceByFolder("lock")}, troubled: 1, lost: 0},
		{name: "whole disk, files refused", troubles: []diskTrouble{replaceByFolder("ballot.json")}, lost: 2},
		{name: "whole disk that hangs", troubles: []diskTrouble{hangOnRead("snapshot.json")}, lost: 1},
		{name: "whole disk, still in use", troubles: []diskTrouble{staysLocked}, lost: 1},
		{name: "twice in a row", troubles: []diskTrouble{replaceByFolder("lock"), replaceByFolder("member.json")}, isWiped: true, lost: 1},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			seeds := []string{freeAddress(c), freeAddress(c), freeAddress(c)}
			f := &coreUnderTrouble{c: c, services: make([]*Services, len(seeds))}
			for index, seed := range seeds {
				f.nodes = append(f.nodes, &deployedNode{Deployment: validDeployment(c, seeds, seed)})
				var trouble diskTrouble
				if index == each.troubled {
					trouble = each.firstTrouble
				}
				f.start(index, trouble)
			}
			f.put(1)
			for _, trouble := range each.troubles {
				f.awaitReserve()
				f.stop(each.troubled)
				if each.isWiped {
					f.wipe(each.troubled)
				}
				f.start(each.troubled, trouble)
			}
			f.awaitReserve()
			f.put(2)
			f.stop(each.lost)
			f.wipe(each.lost)
			f.start(each.lost, nil)
			f.checkRead(2)
			for index := range f.nodes {
				f.stop(index)
			}
		})
	}
}
