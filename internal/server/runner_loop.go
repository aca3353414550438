package server

import (
	"sync"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// event is one input of the node: it gives the commands that follow from it. Only the loop runs it.
type event func() []commands.Command

// eventSource is one of the places from which the loop takes events. It takes from them in turn.
type eventSource int

// The sources, in the order of turns.
const (
	fromTicks    eventSource = iota
	fromQueue                // messages of other nodes, and results of this node's own work
	fromRequests             // of engines, operators and callers
	eventSources             // how many there are
)

// Bounds of one turn of the loop.
const (
	maxTurnEvents = 64
	// No new event is begun after so much time in a turn.
	maxTurnTime = 5 * kernel.Millisecond
)

// Run turns events into commands until the environment ends.
func (r *Runner) Run() {
	var workers sync.WaitGroup
	defer workers.Wait()
	if r.store != nil {
		workers.Go(r.runDiskCommands)
		workers.Go(r.runSnapshots)
	}
	if r.platform != "" {
		workers.Go(r.pollPlatform)
	}
	if !r.NoProbes {
		workers.Go(r.probeEngines)
	}
	ticker := time.NewTicker(r.node.TickInterval().Duration())
	defer ticker.Stop()
	// The first tick comes at once: the fleet is to hear that this node is there.
	go r.post(r.tick)
	for r.runTurn(ticker.C) {
	}
}

// runTurn waits for an event, then handles it and what is queued behind it, within the bounds of a turn. It publishes
// once the state to which they led, and only then carries out their commands. False: the environment has ended.
//
// Invariant: nothing that confirms a state leaves before the data plane has that state, be it an answer to a push, a
// lease request with the applied revision, or a reply.
func (r *Runner) runTurn(ticks <-chan time.Time) bool {
	next := r.awaitEvent(ticks)
	if next == nil {
		return false
	}
	startedAt := r.env.Clock.Now()
	out := next()
	for count := 1; count < maxTurnEvents && r.env.Clock.Now()-startedAt < maxTurnTime; count++ {
		if next = r.takeEvent(ticks); next == nil {
			break
		}
		out = append(out, next()...)
	}
	r.publish()
	for _, command := range out {
		r.execute(command)
	}
	r.longestTurn.Store(max(r.longestTurn.Load(), int64(r.env.Clock.Now()-startedAt)))
	return true
}

// awaitEvent waits for the next event; nil: the environment has ended.
func (r *Runner) awaitEvent(ticks <-chan time.Time) event {
	if r.env.Err() != nil {
		return nil
	}
	if next := r.takeEvent(ticks); next != nil {
		return next
	}
	select {
	case <-r.env.Done():
		return nil
	case next := <-r.queue:
		return next
	case next := <-r.requests:
		return next
	case <-ticks:
		return r.tick
	}
}

// takeEvent takes an event that is due; nil: none is. Each source has its turn, so that none waits for more than one
// event of each other one.
func (r *Runner) takeEvent(ticks <-chan time.Time) event {
	for offset := range eventSources {
		source := (r.nextSource + offset) % eventSources
		if next := r.takeFrom(source, ticks); next != nil {
			r.nextSource = (source + 1) % eventSources
			return next
		}
	}
	return nil
}

// takeFrom takes an event of one source; nil: it has none.
func (r *Runner) takeFrom(source eventSource, ticks <-chan time.Time) event {
	switch source {
	case fromTicks:
		select {
		case <-ticks:
			return r.tick
		default:
		}
	case fromQueue:
		select {
		case next := <-r.queue:
			return next
		default:
		}
	case fromRequests:
		select {
		case next := <-r.requests:
			return next
		default:
		}
	}
	return nil
}

func (r *Runner) tick() []commands.Command {
	now := r.env.Clock.Now()
	r.lateness.observeTick(now)
	if len(r.queue) == 0 {
		r.node.MessageWaited(0)
	}
	return r.node.Tick(now)
}

// LongestTurn is the longest that one turn has held the owners up so far.
func (r *Runner) LongestTurn() kernel.Micros { return kernel.Micros(r.longestTurn.Load()) }

// publish gives the node's state to whoever reads it, and to the data plane, if anything in it has changed.
func (r *Runner) publish() {
	earlier := r.state.Load()
	state := r.node.State(earlier)
	if state != earlier || !r.isPublished {
		r.isPublished = true
		r.state.Store(state)
		if show := r.watcher.Load(); show != nil {
			(*show)(state)
		}
		r.publishRoutingTable(state)
	}
	// After what they speak of.
	r.grantedAt.Store(int64(r.node.GrantedAt()))
	r.freshAt.Store(int64(r.node.FreshAt()))
	r.directoryFreshAt.Store(int64(r.node.DirectoryFreshAt()))
	r.enginesTrustedUntil.Store(int64(r.node.EnginesTrustedUntil()))
	r.fence.publish(r.node)
}

// publishRoutingTable gives the dispatcher, if there is one, the routing table of a state.
func (r *Runner) publishRoutingTable(state *control.State) {
	if err := r.tableBuilder.readConfig(state); err != nil {
		// The leader checked it; only a node of another build can get here. Serving
		// by a configuration that is no longer in force would be worse than not serving.
		r.env.Log.Error(err, "a committed configuration can't be read here")
	}
	if r.dispatcher == nil {
		return
	}
	if routingTable := r.tableBuilder.build(state); routingTable != nil {
		r.dispatcher.SetRoutingTable(routingTable)
	}
}
