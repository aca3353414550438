package server

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Runner connects a control.Node to the outside. Its loop is the only goroutine that changes the node; it executes the
// node's commands and publishes snapshots of its state.
type Runner struct {
	env  kernel.Env
	node *control.Node
	// store is nil without a data folder, and while it is pending.
	store atomic.Pointer[storage.Store]
	// workers are the goroutines that Run has started.
	workers    sync.WaitGroup
	sender     envelopeSender    // for messages to other nodes
	dispatcher *relay.Dispatcher // nil without a router
	platform   string

	// queue holds messages from other nodes and results of this node's own work; requests holds the requests of
	// engines, operators and callers. The loop takes from both in turn, so that a flood of requests does not starve the
	// core.
	queue, requests chan event
	nextSource      eventSource // used by the loop only
	// diskCommands are executed in order: commands.Save, LoadConfig or SaveHistory.
	diskCommands chan commands.Command
	// snapshots are written independently of diskCommands, since nothing waits for one.
	snapshots chan control.SaveSnapshot
	// endWrites are executed independently of both, since engines that leave wait for them.
	endWrites chan control.SaveEnds
	state     atomic.Pointer[control.State]
	// isPublished is set once the loop has published a state; no routing table was built from the initial one.
	isPublished bool

	lock            sync.Mutex // guards the maps of waiting callers and nextToken
	openSubmissions map[string]*openSubmission
	// registrations and reads hold the waiting callers by the token of their call.
	registrations map[uint64]chan control.Registered
	reads         map[uint64]chan *cluster.Document
	nextToken     uint64

	// longestTurn is the duration of the longest turn of the loop so far, in microseconds.
	longestTurn atomic.Int64
	lateness    latenessMonitor
	// grantedAt is control.Node.GrantedAt after the last event, freshAt control.Node.FreshAt.
	grantedAt atomic.Int64
	freshAt   atomic.Int64
	// directoryFreshAt is control.Node.DirectoryFreshAt after the last event.
	directoryFreshAt atomic.Int64
	fence            publishedFence
	// enginesTrustedUntil is control.Node.EnginesTrustedUntil after the last event.
	enginesTrustedUntil atomic.Int64
	tableBuilder        TableBuilder
	prober              *http.Client
	// NoProbes is set where engines register themselves: their heartbeats report their state, and a probe would
	// occupy one of an engine's slots.
	NoProbes bool
	dial     Dialer // for probes
	// watcher is called with each published state; nil: there is no watcher.
	watcher atomic.Pointer[func(*control.State)]
}

// envelopeSender sends envelopes to other nodes. Send never blocks and may drop an envelope.
type envelopeSender interface{ Send(envelope wire.Envelope) }

// Watch registers notify, which is called with the current state and with each state published later. It runs in the
// runner's loop and must not block.
func (r *Runner) Watch(notify func(*control.State)) {
	r.watcher.Store(&notify)
	r.post(func() []commands.Command { notify(r.State()); return nil })
}

// NewRunner returns a runner for node; Run starts it.
func NewRunner(env kernel.Env, node *control.Node, store *storage.Store, connections *Connections, dispatcher *relay.Dispatcher, compiler *fleetconfig.Compiler, platform string) *Runner {
	r := &Runner{
		env: env, node: node, sender: connections, dispatcher: dispatcher, platform: platform,
		queue: make(chan event, 1024), requests: make(chan event, 1024), diskCommands: make(chan commands.Command, 256), snapshots: make(chan control.SaveSnapshot, 1), endWrites: make(chan control.SaveEnds, 1),
		openSubmissions: map[string]*openSubmission{},
		registrations:   map[uint64]chan control.Registered{}, reads: map[uint64]chan *cluster.Document{},
		// Random, so that a reply to an earlier incarnation matches no caller. The wall clock is not suitable, since it
		// may have been set back.
		nextToken: rand.Uint64() >> 1, tableBuilder: TableBuilder{Compiler: compiler}, dial: plainDialer(),
		prober: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DialContext: plainDialer(), MaxIdleConnsPerHost: 1}},
	}
	r.store.Store(store)
	r.lateness.env, r.lateness.tickInterval = env, node.TickInterval()
	r.state.Store(node.State(nil))
	return r
}

// reservedQueueSlots is the number of slots in diskCommands that requests of other nodes for past configurations leave
// free for the core's own writes.
const reservedQueueSlots = 8

// State returns the last published state. It must not be modified.
func (r *Runner) State() *control.State { return r.state.Load() }

// PeerStatus returns the identity of this node and the last revision that it knows, for an operator who rebuilds a
// core.
func (r *Runner) PeerStatus() storage.PeerStatus {
	state := r.State()
	status := storage.PeerStatus{Address: r.env.Self.Address, Member: state.Member, ClusterID: state.ClusterID}
	if state.Document != nil {
		status.Revision = state.Document.Revision
	}
	return status
}

// Deliver posts a message from another node.
func (r *Runner) Deliver(envelope wire.Envelope) {
	if submit := envelope.Message.Submit; submit != nil && len(submit.Config) > 0 {
		// Validated here, outside the loop, so that the leader finds the cached result. An error is only logged,
		// since only the node replies to the submission.
		if err := r.node.Validate(submit, r.State().Document); err != nil {
			r.env.Log.V(2).Info("invalid configuration received from another node", "error", err.Error())
		}
	}
	arrivedAt := r.env.Clock.Now()
	r.post(func() []commands.Command {
		now := r.env.Clock.Now()
		r.node.MessageWaited(now - arrivedAt)
		return r.node.Deliver(now, envelope)
	})
}

// Unreadable reports to the node that a message from another node could not be decoded.
func (r *Runner) Unreadable(from string, err error) {
	r.env.Log.V(1).Info("message from another node can't be decoded", "from", from, "error", err.Error())
	r.post(func() []commands.Command { return r.node.Unreadable(r.env.Clock.Now(), from, err) })
}

// post queues an event for a message from another node or for a result of this node's own work. It blocks while the queue
// is full.
func (r *Runner) post(event event) {
	postedAt := r.env.Clock.Now()
	r.postTo(r.queue, func() []commands.Command {
		now := r.env.Clock.Now()
		r.lateness.observe(now, now-postedAt)
		return event()
	})
}

// postRequest queues an event for a request of an engine, an operator or a caller. Related requests, such as a read and its
// cancelation, keep their order.
func (r *Runner) postRequest(event event) { r.postTo(r.requests, event) }

// postTo queues an event; it is dropped if the environment ends first.
func (r *Runner) postTo(queue chan event, event event) {
	select {
	case queue <- event:
	case <-r.env.Done():
	}
}

// IsInContact reports whether a leader has answered one of this node's recent lease requests. Changes committed since then
// may still be unknown here.
func (r *Runner) IsInContact() bool {
	grantedAt := kernel.Micros(r.grantedAt.Load())
	return grantedAt > 0 && r.env.Clock.Now()-grantedAt < r.node.ContactSpan()
}

// DirectoryAge returns for how long this node may have missed the ends of engines. It counts from the clock's zero while
// the directory has never been fresh.
func (r *Runner) DirectoryAge() kernel.Micros {
	return r.env.Clock.Now() - kernel.Micros(r.directoryFreshAt.Load())
}

// MayTrustEngines reports whether requests may still be sent to the engines listed here: none of them can have ended for
// longer than the deployment allows. See docs/control-safety/drains.md.
func (r *Runner) MayTrustEngines() bool {
	until := kernel.Micros(r.enginesTrustedUntil.Load())
	return until == 0 || r.env.Clock.Now() < until
}

// IsFresher reports whether the document in force here is known to have been the newest one less than maxAge ago.
func (r *Runner) IsFresher(maxAge kernel.Micros) bool {
	freshAt := kernel.Micros(r.freshAt.Load())
	return freshAt > 0 && r.env.Clock.Now()-freshAt < maxAge
}

// execute executes a command of the node. It never waits for a disk or the network.
func (r *Runner) execute(command commands.Command) {
	switch command := command.(type) {
	case control.Outgoing:
		r.sender.Send(command.Envelope)
	case commands.Save, commands.SaveHistory:
		// The core has at most one of each pending, so this never blocks.
		r.diskCommands <- command
	case commands.LoadConfig:
		// Another node can ask for history again, so the command is dropped rather than block the loop on a slow disk.
		if len(r.diskCommands) < cap(r.diskCommands)-reservedQueueSlots {
			r.diskCommands <- command
		}
	case control.SaveSnapshot:
		// The node has at most one pending, so this never blocks.
		r.snapshots <- command
	case control.SaveEnds:
		// The node has at most one pending, so this never blocks.
		r.endWrites <- command
	case control.HealthChanged:
		r.env.Log.Info("core health changed", "whole", command.Health.IsHealthy, "spare_losses", command.Health.FailureTolerance, "says", command.Health.String())
	case commands.CompileConfig:
		go func() {
			_, err := r.tableBuilder.Compiler.Read(command.Document.Config)
			if err != nil {
				r.env.Log.Error(err, "committed configuration can't be compiled on this node")
			}
			r.post(func() []commands.Command { return r.node.ConfigCompiled(r.env.Clock.Now(), command.Document, err) })
		}()
	case commands.Probe:
		go func() {
			// One failed probe is enough, since a router has already failed to reach the engine.
			if !r.canReach(command.Engine.Address) {
				r.post(func() []commands.Command {
					return r.node.Probed(r.env.Clock.Now(), command.Engine.ID, command.Engine.Start, true)
				})
			}
		}()
	case control.Registered:
		if waiter := removeWaiter(r, r.registrations, command.Token); waiter != nil {
			waiter <- command
		}
	case control.ReadResult:
		if waiter := removeWaiter(r, r.reads, command.Token); waiter != nil {
			waiter <- command.Document
		}
	case control.Reply:
		open := removeWaiter(r, r.openSubmissions, command.SubmitResponse.ID)
		if open == nil {
			return
		}
		for _, waiter := range open.waiters {
			waiter <- command.SubmitResponse
		}
	}
}

// removeWaiter removes the waiter of a key from its map and returns it; the zero value if nobody waits any more.
func removeWaiter[K comparable, W any](r *Runner, waiting map[K]W, key K) W {
	r.lock.Lock()
	defer r.lock.Unlock()
	waiter := waiting[key]
	delete(waiting, key)
	return waiter
}

// runDiskCommands executes disk commands in a goroutine of its own, so that a stalled disk blocks nothing else. It returns
// when the environment ends.
func (r *Runner) runDiskCommands(store *storage.Store) {
	for {
		select {
		case <-r.env.Done():
			return
		case work := <-r.diskCommands:
			r.runDiskCommand(store, work)
		}
	}
}

// runWrites executes writes of one kind in a goroutine of its own, and posts the result of each to the node. It returns
// when the environment ends.
func runWrites[W any](r *Runner, writes <-chan W, write func(W) error, failureMessage string, report func(now kernel.Micros, err error) []commands.Command) {
	for {
		select {
		case <-r.env.Done():
			return
		case next := <-writes:
			err := write(next)
			if err != nil {
				r.env.Log.Error(err, failureMessage)
			}
			r.post(func() []commands.Command { return report(r.env.Clock.Now(), err) })
		}
	}
}

// runSnapshots writes snapshots.
func (r *Runner) runSnapshots(store *storage.Store) {
	write := func(work control.SaveSnapshot) error { return store.SaveSnapshot(work.Snapshot) }
	runWrites(r, r.snapshots, write, "snapshot can't be written; it is skipped", r.node.SnapshotSaved)
}

// runEndWrites stores the ends of engines.
func (r *Runner) runEndWrites(store *storage.Store) {
	write := func(work control.SaveEnds) error { return store.SaveEnds(work.Ends) }
	runWrites(r, r.endWrites, write, "ends of engines can't be stored", r.node.EndsSaved)
}

// runDiskCommand executes one disk command and posts its result to the node.
func (r *Runner) runDiskCommand(store *storage.Store, work any) {
	switch work := work.(type) {
	case commands.Save:
		err := store.Save(work)
		if err != nil {
			r.env.Log.Error(err, "state can't be written to disk")
		}
		r.post(func() []commands.Command { return r.node.Saved(r.env.Clock.Now(), work.Token, err) })
	case commands.LoadConfig:
		document, err := store.ConfigAt(work.Config)
		if err != nil {
			r.env.Log.V(1).Info("requested past configuration can't be read", "error", err.Error())
		}
		r.post(func() []commands.Command {
			return r.node.ConfigLoaded(r.env.Clock.Now(), work.To, work.Config, document)
		})
	case commands.SaveHistory:
		outcome := store.SaveHistory(work.Documents)
		if outcome.Err != nil {
			r.env.Log.Error(outcome.Err, "past configuration can't be stored")
		}
		r.post(func() []commands.Command { return r.node.HistoryStored(r.env.Clock.Now(), outcome) })
	}
}
