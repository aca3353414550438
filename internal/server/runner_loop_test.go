package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
)

// manualClock advances only when a test changes it.
type manualClock struct{ now kernel.Micros }

func (c *manualClock) Now() kernel.Micros { return c.now }

// sentEnvelopes calls a function with each envelope that a runner sends.
type sentEnvelopes func(wire.Envelope)

func (s sentEnvelopes) Send(envelope wire.Envelope) { s(envelope) }

// newLoopRunner returns a runner whose loop is not started; the test calls runTurn or starts Run itself.
func newLoopRunner(ctx context.Context, clock kernel.Clock) *Runner {
	env := kernel.Env{Context: ctx, Clock: clock, Log: klog.Background(), Journal: kernel.NewJournal(16), Self: kernel.Identity{Fleet: "f", Address: "10.0.0.1:1", Zone: "z"}}
	node := control.NewNode(control.NodeSettings{Identity: env.Self, IsRouter: true, Timing: cluster.SparseTiming(), Journal: env.Journal}, clock.Now())
	r := NewRunner(env, node, nil, nil, nil, &fleetconfig.Compiler{}, "")
	r.NoProbes = true
	r.sender = sentEnvelopes(func(wire.Envelope) {})
	return r
}

// announceEngine returns an event that reports an engine to the node and adds the given commands to the result.
func announceEngine(r *Runner, id string, following ...commands.Command) event {
	return func() []commands.Command {
		record := registry.EngineRecord{ID: id, Address: "10.0.1.1:" + id, Zone: "z", Pool: "p", Start: 1, Seq: 1}
		return append(r.node.ReportEngines(r.env.Clock.Now(), []registry.EngineRecord{record}), following...)
	}
}

// A message that confirms a state to another node, an engine or an operator must not be sent before that state is
// published. The loop used to send it just before.
func TestConfirmationsAreSentAfterTheirStateIsPublished(t *testing.T) {
	c := qt.New(t)
	r := newLoopRunner(t.Context(), &manualClock{kernel.Second})
	shown, publications := 0, 0
	r.Watch(func(state *control.State) { shown, publications = len(state.Engines), publications+1 })
	c.Assert(r.runTurn(nil), qt.IsTrue)
	publications = 0

	confirmation := control.Outgoing{Envelope: wire.Envelope{To: "confirmed", Message: wire.Message{PushResponse: &wire.PushResponse{}}}}
	knownWhenSent := []int{}
	r.sender = sentEnvelopes(func(envelope wire.Envelope) {
		if envelope.To == "confirmed" {
			knownWhenSent = append(knownWhenSent, shown)
		}
	})
	r.post(announceEngine(r, "1", confirmation))
	r.post(announceEngine(r, "2", confirmation))
	c.Assert(r.runTurn(nil), qt.IsTrue)
	c.Assert(knownWhenSent, qt.DeepEquals, []int{2, 2})
	c.Assert(publications, qt.Equals, 1)
}

func TestATurnIsBounded(t *testing.T) {
	for _, test := range []struct {
		name          string
		eventTime     kernel.Micros
		expectedTaken int
	}{
		{"by its events", 0, maxTurnEvents},
		{"by its time", maxTurnTime / 4, 4},
		{"to one event that takes longer", 2 * maxTurnTime, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := &manualClock{kernel.Second}
			r := newLoopRunner(t.Context(), clock)
			taken := 0
			for range 2 * maxTurnEvents {
				r.post(func() []commands.Command { taken++; clock.now += test.eventTime; return nil })
			}
			c.Assert(r.runTurn(nil), qt.IsTrue)
			c.Assert(taken, qt.Equals, test.expectedTaken)
			c.Assert(r.LongestTurn(), qt.Equals, kernel.Micros(test.expectedTaken)*test.eventTime)
		})
	}
}

// Neither a flood of messages nor one of requests delays the other, or the ticks on which heartbeats and elections depend.
func TestEachSourceOfEventsHasItsTurn(t *testing.T) {
	c := qt.New(t)
	r := newLoopRunner(t.Context(), &manualClock{kernel.Second})
	order := ""
	take := func(name string) event { return func() []commands.Command { order += name; return nil } }
	for range 8 {
		r.post(take("m"))
		r.postRequest(take("r"))
	}
	ticks := make(chan time.Time, 1)
	for range 3 {
		ticks <- time.Time{}
		for range 3 {
			before := len(order)
			r.takeEvent(ticks)()
			if len(order) == before {
				order += "t"
			}
		}
	}
	c.Assert(order, qt.Equals, "tmrtmrtmr")
	for range 4 {
		r.takeEvent(ticks)()
	}
	c.Assert(order, qt.Equals, "tmrtmrtmrmrmr")
}

func TestTheLoopEndsWithItsEnvironment(t *testing.T) {
	c := qt.New(t)
	ctx, end := context.WithCancel(t.Context())
	r := newLoopRunner(ctx, &manualClock{kernel.Second})
	r.post(func() []commands.Command { return nil })
	c.Assert(r.runTurn(nil), qt.IsTrue)
	end()
	c.Assert(r.runTurn(nil), qt.IsFalse)
}

// Size of the benchmark's fleet.
const (
	benchmarkNodes   = 300
	benchmarkEngines = 240
)

// BenchmarkRunnerTakesEngines measures how a router of a large fleet learns of all engines, with one event for each.
func BenchmarkRunnerTakesEngines(b *testing.B) {
	b.Run("at once", func(b *testing.B) { benchmarkRunnerTakesEngines(b, benchmarkEngines) })
	b.Run("one by one", func(b *testing.B) { benchmarkRunnerTakesEngines(b, 1) })
}

// benchmarkRunnerTakesEngines queues the events in groups of the given size and waits for the loop after each group.
func benchmarkRunnerTakesEngines(b *testing.B, queued int) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		ctx, end := context.WithCancel(context.Background())
		r := newLoopRunner(ctx, kernel.NewSteadyClock())
		chooser := router.NewChooser("", "", router.RetryBudget{})
		tables := &routeTableBuilder{compiler: &fleetconfig.Compiler{}}
		r.Watch(func(state *control.State) {
			if routingTable := tables.routingTable(state); routingTable != nil {
				chooser.SetRoutingTable(routingTable)
			}
		})
		ended := startWorker(r.Run)
		r.post(func() []commands.Command { return r.node.Deliver(r.env.Clock.Now(), nodesKnown(r.env.Self)) })
		for i := range benchmarkEngines {
			r.post(announceEngine(r, fmt.Sprintf("%04d", i)))
			if (i+1)%queued == 0 {
				done := make(chan bool)
				r.post(func() []commands.Command { return []commands.Command{doneCommand(r, done)} })
				<-done
			}
		}
		end()
		<-ended
	}
}

// doneCommand returns a command whose execution closes done.
func doneCommand(r *Runner, done chan bool) commands.Command {
	r.sender = sentEnvelopes(func(envelope wire.Envelope) {
		if envelope.To == "done" {
			close(done)
		}
	})
	return control.Outgoing{Envelope: wire.Envelope{To: "done"}}
}

// nodesKnown returns a directory update with the records of all nodes.
func nodesKnown(self kernel.Identity) wire.Envelope {
	update := &registry.DirectoryUpdate{Incarnation: "i", Watermark: 1, IsComplete: true}
	for i := range benchmarkNodes {
		update.Nodes = append(update.Nodes, registry.NodeRecord{Address: fmt.Sprintf("10.0.2.%d:1", i), Zone: "z", IsRouter: true, Start: 1, Seq: 1})
	}
	return wire.Envelope{Fleet: self.Fleet, From: "10.0.2.0:1", To: self.Address, Message: wire.Message{DirectoryUpdate: update}}
}
