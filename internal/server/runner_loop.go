package server

import (
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// event is one input of the node. It returns the resulting commands; only the loop calls it.
type event func() []commands.Command

// eventSource is a source of events; the loop takes from its sources in turn.
type eventSource int

// The event sources, in round-robin order.
const (
	fromTicks    eventSource = iota
	fromQueue                // messages from other nodes, and results of this node's own work
	fromRequests             // requests of engines, operators and callers
	eventSources             // number of sources
)

// Limits of one turn of the loop.
const (
	maxTurnEvents = 64
	// No further event is started once a turn has taken maxTurnTime.
	maxTurnTime = 5 * kernel.Millisecond
)

// Run starts the runner's workers and runs its loop until the environment ends. It returns once the workers have ended.
func (r *Runner) Run() {
	defer r.workers.Wait()
	if store := r.store.Load(); store != nil {
		r.startDiskWorkers(store)
	}
	if r.platform != "" {
		r.workers.Go(r.pollPlatform)
	}
	if !r.NoProbes {
		r.workers.Go(r.probeEngines)
	}
	ticker := time.NewTicker(r.node.TickInterval().Duration())
	defer ticker.Stop()
	// The first tick comes at once, so that the other nodes learn of this node early.
	go r.post(r.tick)
	for r.runTurn(ticker.C) {
	}
}

// startDiskWorkers starts the workers that write to the store. Only the loop's goroutine calls it.
func (r *Runner) startDiskWorkers(store *storage.Store) {
	r.workers.Go(func() { r.runDiskCommands(store) })
	r.workers.Go(func() { r.runSnapshots(store) })
	r.workers.Go(func() { r.runEndWrites(store) })
}

// runTurn waits for an event and handles it and the events queued behind it, within the limits of a turn. It publishes the
// resulting state once, and only then executes the commands. It returns false if the environment has ended.
//
// Invariant: no message that confirms a state (a response to a push, a lease request with the applied revision, a reply)
// is sent before the data plane has that state.
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

// awaitEvent waits for the next event. It returns nil if the environment has ended.
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

// takeEvent returns the next pending event without waiting, or nil if there is none. It serves the sources round-robin, so
// that none waits for more than one event of each other source.
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

// takeFrom returns a pending event of one source, or nil if it has none.
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

// tick is the event of the node's timer. An empty queue also tells the node that messages do not wait.
func (r *Runner) tick() []commands.Command {
	now := r.env.Clock.Now()
	r.lateness.observeTick(now)
	if len(r.queue) == 0 {
		r.node.MessageWaited(0)
	}
	return r.node.Tick(now)
}

// LongestTurn returns the duration of the longest turn of the loop so far.
func (r *Runner) LongestTurn() kernel.Micros { return kernel.Micros(r.longestTurn.Load()) }

// publish stores the node's state for its readers and passes it to the data plane, if it has changed. It always updates
// the times that say how fresh the state is.
func (r *Runner) publish() {
	previous := r.state.Load()
	state := r.node.State(previous)
	if state != previous || !r.isPublished {
		r.isPublished = true
		r.state.Store(state)
		if notify := r.watcher.Load(); notify != nil {
			(*notify)(state)
		}
		r.publishRoutingTable(state)
	}
	// The times are stored after the state to which they refer.
	r.grantedAt.Store(int64(r.node.GrantedAt()))
	r.freshAt.Store(int64(r.node.FreshAt()))
	r.directoryFreshAt.Store(int64(r.node.DirectoryFreshAt()))
	r.enginesTrustedUntil.Store(int64(r.node.EnginesTrustedUntil()))
	r.fence.publish(r.node)
}

// publishRoutingTable reads a state's configuration and passes its routing table to the dispatcher, if there is one.
func (r *Runner) publishRoutingTable(state *control.State) {
	if err := r.tableBuilder.readConfig(state); err != nil {
		// The leader validated the configuration, so this happens only on a node of another build. Serving by a
		// configuration that is no longer in force would be worse than not serving.
		r.env.Log.Error(err, "committed configuration can't be compiled on this node")
	}
	if r.dispatcher == nil {
		return
	}
	if routingTable := r.tableBuilder.build(state); routingTable != nil {
		r.dispatcher.SetRoutingTable(routingTable)
	}
}
