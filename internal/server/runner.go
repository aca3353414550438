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

// Runner is the shell round a node's owners: it alone touches them, carries out
// their commands and publishes a view of their state.
type Runner struct {
	env        kernel.Env
	node       *control.Node
	store      *storage.Store    // nil without a data folder
	sender     envelopeSender    // of what goes to other nodes
	dispatcher *relay.Dispatcher // nil without a router
	platform   string

	// queue holds messages of other nodes and what this node's own work led to; requests holds what engines, operators
	// and callers ask for. The loop takes from both in turn, so that a flood of requests leaves the core its share.
	queue, requests chan event
	nextSource      eventSource // the loop's own
	// What goes to the disk, in order: commands.Save, LoadConfig or SaveHistory.
	diskCommands chan commands.Command
	// Snapshots go to the disk beside those: nothing waits for one.
	snapshots chan control.SaveSnapshot
	state     atomic.Pointer[control.State]
	// isPublished: the loop has published once; the state before that led to no routing table.
	isPublished bool

	lock            sync.Mutex // guards what waits for a command alone
	openSubmissions map[string]*openSubmission
	// By the token of the call.
	registrations map[uint64]chan control.Registered
	reads         map[uint64]chan *cluster.Document
	nextToken     uint64

	// longestTurn is the longest that one turn of the loop has held the owners up, in microseconds.
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
	// NoProbes is set where engines register themselves: their heartbeats report their state,
	// and a probe of one would take one of its slots.
	NoProbes bool
	dial     Dialer // for probes
	// watcher is shown each view as it is published; nil: nobody watches.
	watcher atomic.Pointer[func(*control.State)]
}

// envelopeSender takes envelopes for other nodes. It never waits, and may lose one.
type envelopeSender interface{ Send(envelope wire.Envelope) }

// Watch has a function shown the present view and each that follows. It is called by
// the owners' loop and must not wait for anything.
func (r *Runner) Watch(show func(*control.State)) {
	r.watcher.Store(&show)
	r.post(func() []commands.Command { show(r.State()); return nil })
}

// NewRunner makes a shell; Run starts it.
func NewRunner(env kernel.Env, node *control.Node, store *storage.Store, connections *Connections, dispatcher *relay.Dispatcher, compiler *fleetconfig.Compiler, platform string) *Runner {
	r := &Runner{
		env: env, node: node, store: store, sender: connections, dispatcher: dispatcher, platform: platform,
		queue: make(chan event, 1024), requests: make(chan event, 1024), diskCommands: make(chan commands.Command, 256), snapshots: make(chan control.SaveSnapshot, 1),
		openSubmissions: map[string]*openSubmission{},
		registrations:   map[uint64]chan control.Registered{}, reads: map[uint64]chan *cluster.Document{},
		// At random, so that an answer to an earlier incarnation is nobody's here; the time of day
		// may have jumped back since that.
		nextToken: rand.Uint64() >> 1, tableBuilder: TableBuilder{Compiler: compiler}, dial: plainDialer(),
		prober: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DialContext: plainDialer(), MaxIdleConnsPerHost: 1}},
	}
	r.lateness.env, r.lateness.tickInterval = env, node.TickInterval()
	r.state.Store(node.State(nil))
	return r
}

// reservedQueueSlots are the slots that other nodes' requests for past configurations leave to the core's own writes.
const reservedQueueSlots = 8

// State is the newest view.
func (r *Runner) State() *control.State { return r.state.Load() }

// Witness identifies this node, for an operator who would rebuild a core.
func (r *Runner) Witness(member cluster.MemberID) storage.Witness {
	state := r.State()
	witness := storage.Witness{Address: r.env.Self.Address, Member: member, ClusterID: state.ClusterID}
	if state.Document != nil {
		witness.Revision = state.Document.Revision
	}
	return witness
}

// Deliver brings a message from another node.
func (r *Runner) Deliver(envelope wire.Envelope) {
	if submit := envelope.Message.Submit; submit != nil && len(submit.Config) > 0 {
		// Read here, beside the owners, so that the leader has its verdict at hand. What
		// it is makes no difference yet: the order is answered by the owners alone.
		if err := r.node.Validate(submit, r.State().Document); err != nil {
			r.env.Log.V(2).Info("a configuration with faults came from another node", "error", err.Error())
		}
	}
	arrivedAt := r.env.Clock.Now()
	r.post(func() []commands.Command {
		now := r.env.Clock.Now()
		r.node.MessageWaited(now - arrivedAt)
		return r.node.Deliver(now, envelope)
	})
}

// Unreadable takes the news of a message that could not be read.
func (r *Runner) Unreadable(from string, err error) {
	r.env.Log.V(1).Info("a message can't be read", "from", from, "error", err.Error())
	r.post(func() []commands.Command { return r.node.Unreadable(r.env.Clock.Now(), from, err) })
}

// post posts a message of another node, or what this node's own work led to.
func (r *Runner) post(event event) {
	postedAt := r.env.Clock.Now()
	r.postTo(r.queue, func() []commands.Command {
		now := r.env.Clock.Now()
		r.lateness.observe(now, now-postedAt)
		return event()
	})
}

// postRequest posts what an engine, an operator or a caller asks for. Those that belong together, as a read and its
// cancelation, keep their order.
func (r *Runner) postRequest(event event) { r.postTo(r.requests, event) }

func (r *Runner) postTo(queue chan event, event event) {
	select {
	case queue <- event:
	case <-r.env.Done():
	}
}

// IsInTouch tells whether a leader has answered one of this node's recent requests. What was committed
// since may still be unknown here.
func (r *Runner) IsInTouch() bool {
	grantedAt := kernel.Micros(r.grantedAt.Load())
	return grantedAt > 0 && r.env.Clock.Now()-grantedAt < r.node.ContactSpan()
}

// DirectoryAge is for how long this node may have missed ends of engines; it counts from the start of the
// clock while none is known.
func (r *Runner) DirectoryAge() kernel.Micros {
	return r.env.Clock.Now() - kernel.Micros(r.directoryFreshAt.Load())
}

// MayTrustEngines tells whether no engine that is listed here can have ended for longer than requests may
// still reach it. See docs/control-safety/drains.md.
func (r *Runner) MayTrustEngines() bool {
	until := kernel.Micros(r.enginesTrustedUntil.Load())
	return until == 0 || r.env.Clock.Now() < until
}

// IsFresher tells whether the document in force here was surely the newest one within a span.
func (r *Runner) IsFresher(maxAge kernel.Micros) bool {
	freshAt := kernel.Micros(r.freshAt.Load())
	return freshAt > 0 && r.env.Clock.Now()-freshAt < maxAge
}

func (r *Runner) execute(command commands.Command) {
	switch command := command.(type) {
	case control.Outgoing:
		r.sender.Send(command.Envelope)
	case commands.Save, commands.SaveHistory:
		// The core has one of each out at a time, so this never waits.
		r.diskCommands <- command
	case commands.LoadConfig:
		// History can be asked for again; it must not hold up the owners on a slow disk.
		if len(r.diskCommands) < cap(r.diskCommands)-reservedQueueSlots {
			r.diskCommands <- command
		}
	case control.SaveSnapshot:
		// The node has one out at a time, so this never waits.
		r.snapshots <- command
	case control.HealthChanged:
		r.env.Log.Info("the core's health", "whole", command.Health.IsHealthy, "spare_losses", command.Health.FailureTolerance, "says", command.Health.String())
	case commands.CompileConfig:
		go func() {
			_, err := r.tableBuilder.Compiler.Read(command.Document.Config)
			if err != nil {
				r.env.Log.Error(err, "a committed configuration can't be read here")
			}
			r.post(func() []commands.Command { return r.node.ConfigCompiled(r.env.Clock.Now(), command.Document, err) })
		}()
	case commands.Probe:
		go func() {
			// One look is enough here: a router has failed to get through already.
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

// removeWaiter takes what waits under a key out of its map; the zero value: nothing waits any more.
func removeWaiter[K comparable, W any](r *Runner, waiting map[K]W, key K) W {
	r.lock.Lock()
	defer r.lock.Unlock()
	waiter := waiting[key]
	delete(waiting, key)
	return waiter
}

// runDiskCommands syncs to disk beside the owners, so that a stalled disk stalls nothing else.
func (r *Runner) runDiskCommands() {
	for {
		select {
		case <-r.env.Done():
			return
		case work := <-r.diskCommands:
			r.runDiskCommand(work)
		}
	}
}

// runSnapshots writes snapshots beside all else.
func (r *Runner) runSnapshots() {
	for {
		select {
		case <-r.env.Done():
			return
		case work := <-r.snapshots:
			err := r.store.SaveSnapshot(work.Snapshot)
			if err != nil {
				r.env.Log.Error(err, "a snapshot was left out")
			}
			r.post(func() []commands.Command { return r.node.SnapshotSaved(r.env.Clock.Now(), err) })
		}
	}
}

func (r *Runner) runDiskCommand(work any) {
	switch work := work.(type) {
	case commands.Save:
		err := r.store.Save(work)
		if err != nil {
			r.env.Log.Error(err, "a write failed")
		}
		r.post(func() []commands.Command { return r.node.Saved(r.env.Clock.Now(), work.Token, err) })
	case commands.LoadConfig:
		document, err := r.store.ConfigAt(work.Config)
		if err != nil {
			r.env.Log.V(1).Info("a configuration of the past is not held here", "error", err.Error())
		}
		r.post(func() []commands.Command {
			return r.node.ConfigLoaded(r.env.Clock.Now(), work.To, work.Config, document)
		})
	case commands.SaveHistory:
		outcome := r.store.SaveHistory(work.Documents)
		if outcome.Err != nil {
			r.env.Log.Error(outcome.Err, "a configuration of the past could not be kept")
		}
		r.post(func() []commands.Command { return r.node.HistoryStored(r.env.Clock.Now(), outcome) })
	}
}
