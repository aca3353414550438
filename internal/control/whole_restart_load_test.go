package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

const (
	// contactTimeoutAfterStop is the time after which a machine counts as in contact if most of the core was stopped.
	contactTimeoutAfterStop = 10 * kernel.Second
	// operatorDelay is how long after the return of power the operator sends its first requests.
	operatorDelay   = kernel.Second
	concurrentReads = 8
	// leaderTimeoutAfterStop is the time within which a large fleet has to have a leader again.
	leaderTimeoutAfterStop = kernel.Second
)

// restartTimes are the times from the return of power to each event; zero: it has not happened yet.
type restartTimes struct{ led, served, read, changed kernel.Micros }

func (w restartTimes) isComplete() bool {
	return w.led > 0 && w.served > 0 && w.read > 0 && w.changed > 0
}

// measureRestart starts all nodes, reads at several of them and changes the configuration, until all of that
// is done or the span is over.
func (f *largeFleet) measureRestart(span kernel.Micros) restartTimes {
	begun, took := f.now, restartTimes{}
	f.restart(300 * ms)
	f.schedule(operatorDelay, func() {
		f.readAnywhere()
		f.changeAnywhere(0)
	})
	first := func(at *kernel.Micros, isMet bool) {
		if *at == 0 && isMet {
			*at = f.now - begun
		}
	}
	for !took.isComplete() && f.now-begun < span {
		f.advance(20 * ms)
		first(&took.led, f.leader() != nil)
		first(&took.served, f.fractionOf(f.isServing) >= 0.95)
		first(&took.read, f.areReadsAnswered())
		first(&took.changed, f.replies[changeID].Outcome == cluster.Accepted)
		if (f.now-begun)%kernel.Second == 0 {
			f.c.Logf("%d ms: leader %v, with a document %.2f, serving %.2f, read %v, changed %v, %d events wait at a member", (f.now-begun)/ms,
				took.led > 0, f.fractionOf(func(n *fleetNode) bool { return n.inForce() != nil }), f.fractionOf(f.isServing), took.read > 0, took.changed > 0, f.longestQueue())
		}
	}
	f.logSpent("members", f.nodes[:largeFleetZones], begun)
	f.logSpent("others", f.nodes[largeFleetZones:], begun)
	f.c.Logf("messages: %v; heartbeats of engines without an acknowledgement: %d", f.sentMessages, f.refused)
	return took
}

const changeID = "after the stop"

// changeAnywhere submits one operation at one node after another, each second, until it is acknowledged.
func (f *largeFleet) changeAnywhere(attempt int) {
	if f.replies[changeID].Outcome == cluster.Accepted {
		return
	}
	at := f.nodes[(attempt*61+7)%len(f.nodes)]
	if at.isUp {
		at.submit(changeID, largeFleetVersion, configOf(largeFleetVersion+1, "after"))
	}
	f.schedule(kernel.Second, func() { f.changeAnywhere(attempt + 1) })
}

// readAnywhere starts reads at nodes that are spread over the fleet.
func (f *largeFleet) readAnywhere() {
	for token := range uint64(concurrentReads) {
		n := f.nodes[int(token)*37%len(f.nodes)]
		n.do(func() []commands.Command { return n.node.Read(f.now, token+1) })
	}
}

// areReadsAnswered reports whether all reads have returned a document. It checks that no document is older than the
// acknowledged configuration.
func (f *largeFleet) areReadsAnswered() bool {
	for token := range uint64(concurrentReads) {
		document := f.reads[token+1]
		if document == nil {
			return false
		}
		f.c.Check(document.ConfigVersion >= largeFleetVersion, qt.IsTrue)
	}
	return true
}

// longestQueue returns the number of messages that wait at the member with the longest queue.
func (f *largeFleet) longestQueue() int {
	longest := 0
	for _, n := range f.nodes[:largeFleetZones] {
		longest = max(longest, len(f.loads[n].queues[messageQueue]))
	}
	return longest
}

// All nodes of a large fleet start at once. The load of their requests must leave the core members time for votes
// and heartbeats: there has to be a leader, it answers reads at any node, and a change is acknowledged.
func TestALargeFleetThatLostPowerAnswersInTime(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newLargeFleet(c, 1, 300, 204)
	took := f.measureRestart(contactTimeoutAfterStop)
	c.Assert(took.isComplete(), qt.IsTrue, qt.Commentf("%+v", took))
	c.Assert(took.led <= leaderTimeoutAfterStop, qt.IsTrue, qt.Commentf("%+v", took))
	c.Logf("a leader after %d ms, 95 of 100 nodes serve after %d ms, reads are answered after %d ms, a change after %d ms",
		took.led/ms, took.served/ms, took.read/ms, took.changed/ms)
}

// On the same machines a small fleet has to serve again before the first caller gives up.
func TestASmallFleetThatLostPowerServesAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var led, served, read, changed []kernel.Micros
	for seed := range uint64(20) {
		f := newLargeFleet(qt.New(quietTB{t}), seed, 9, 6)
		took := f.measureRestart(4 * kernel.Second)
		c.Assert(took.isComplete(), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, took))
		led, served, read, changed = append(led, took.led), append(served, took.served), append(read, took.read), append(changed, took.changed)
	}
	logDurations(c, "to a leader", led)
	logDurations(c, "to 95 of 100 nodes that serve", served)
	logDurations(c, "to the answers of reads", read)
	logDurations(c, "to an acknowledged change", changed)
	c.Assert(served[len(served)-1] <= 600*ms, qt.IsTrue, qt.Commentf(fmt.Sprint(served)))
}

// quietTB drops the log lines of a single run.
type quietTB struct{ testing.TB }

func (quietTB) Log(...any) {}

func (quietTB) Logf(string, ...any) {}
