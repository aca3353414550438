package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Steps that stop, start, empty, replace or suspend nodes.

// restartAfter returns a step that ends a node's process with the given function and restarts it after the step's
// span.
func restartAfter(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		return f.injectFault(s, random, anyNodeTarget, func(n *node) error {
			if err := end(f, n); err != nil {
				return err
			}
			pause(f.context, s.span)
			return f.startNode(n)
		})
	}
}

// diskSpan is the minimum time between two losses of a disk, because a lost disk has to be replaced before the next
// one is lost.
const diskSpan = 25 * kernel.Second

// canLoseDisk reports whether a disk may be lost now. If so, it records the loss.
func (f *fleet) canLoseDisk() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.clock.Now()
	if f.lastDiskLossAt > 0 && now-f.lastDiskLossAt < diskSpan {
		return false
	}
	f.lastDiskLossAt = now
	return true
}

// wipeNode restarts a node with an empty disk.
func wipeNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, diskLossTarget, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		if err := f.wipe(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(n)
	})
}

// replaceNode removes a node permanently, and starts an empty one at another address in its place.
func replaceNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, diskLossTarget, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(f.replace(n, random))
	})
}

// replace returns an empty node at a new address that takes the place of a node. The caller starts it.
func (f *fleet) replace(n *node, random *rand.Rand) *node {
	f.lock.Lock()
	f.replaced++
	number := f.replaced
	f.lock.Unlock()
	fresh := f.newNode(fmt.Sprintf("%s-again%d", strings.Split(n.name, "-")[0], number), f.nodeIP(replacementOffset+number), n.zone, true)
	fresh.seeds = f.seedsOf(random)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.nodes[slices.Index(f.nodes, n)] = fresh
	f.retired = append(f.retired, n)
	return fresh
}

// seedsOf returns the control addresses of seedCount random nodes as seeds.
func (f *fleet) seedsOf(random *rand.Rand) []string {
	seeds := []string{}
	nodes := f.members()
	for _, i := range random.Perm(len(nodes))[:seedCount] {
		seeds = append(seeds, nodes[i].address(portControl))
	}
	return seeds
}

// stopNode stops a node gracefully, kills it if it exceeds the grace period, and restarts it shortly afterwards.
func stopNode(f *fleet, _ step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	f.recordEvent(checker.RoutedEvent{EventKind: checker.RouterStopping, Router: n.name})
	f.loseContact(n)
	defer f.restoreContact(n)
	if err := f.terminate(n); err != nil {
		return err
	}
	pause(f.context, 300*ms)
	return f.startNode(n)
}

// terminate asks a node's process to stop, and kills it once the grace period is over. It records a problem if that was
// necessary.
func (f *fleet) terminate(n *node) error {
	n.setWanted(false)
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(f.context, gracePeriod.Duration())
	defer cancel()
	select {
	case <-n.process.Ended():
	case <-grace.Done():
		f.problem("%s did not exit within the grace period", n.name)
	}
	return f.killNode(n)
}

// reloadSettings changes the seeds in a node's settings file. Half of the steps also send SIGHUP.
func reloadSettings(f *fleet, s step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	if err := f.changeSeeds(n, random); err != nil {
		return err
	}
	if s.index%2 == 0 {
		return nil
	}
	return n.process.Signal(syscall.SIGHUP)
}

// changeSeeds writes other seeds to a node's settings file.
func (f *fleet) changeSeeds(n *node, random *rand.Rand) error {
	seeds := f.seedsOf(random)
	n.lock.Lock()
	n.seeds = seeds
	n.lock.Unlock()
	return f.writeSettings(n)
}

// freezeNode suspends a node's process for the step's span.
func freezeNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, anyNodeTarget, func(n *node) error {
		if err := n.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(f.context, s.span)
		return n.process.Signal(syscall.SIGCONT)
	})
}

// endAll ends the processes of several nodes at the same time and restarts them after the span.
func (f *fleet) endAll(listed []*node, span kernel.Micros, end func(*node) error) error {
	nodes := []*node{}
	for _, n := range listed {
		n.busy.Lock()
		defer n.busy.Unlock()
		if !f.isMember(n) {
			continue // the node was replaced while this step waited for its lock, and must not be restarted
		}
		nodes = append(nodes, n)
		f.loseContact(n)
		defer f.restoreContact(n)
	}
	failed := make([]error, len(nodes))
	var all sync.WaitGroup
	for i, n := range nodes {
		all.Go(func() { failed[i] = end(n) })
	}
	all.Wait()
	pause(f.context, span)
	for i, n := range nodes {
		if failed[i] != nil {
			return failed[i]
		}
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func killCore(f *fleet, s step, _ *rand.Rand) error {
	defer f.recordFault(s, "", "")()
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	return f.endAll(core, s.span/2, f.killNode)
}

// restartAll returns a step that ends the processes of all nodes at the same time and restarts them.
func restartAll(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		defer f.recordFault(s, "", "")()
		return f.endAll(f.members(), s.span/4, func(n *node) error { return end(f, n) })
	}
}
