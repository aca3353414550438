package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/control"
	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/relay"
)

// Runner is the shell round a node's owners: it alone touches them, carries out
// their commands and publishes a picture of their state.
type Runner struct {
	env         kernel.Env
	node        *control.Node
	store       *control.Store // nil without a data folder
	connections *Connections
	dispatcher  *relay.Dispatcher // nil without a router
	platform    string

	queue chan func() []any
	// What goes to the disk, in order: Save, Fetch or Keep.
	saves chan any
	// Snapshots go to the disk beside those: nothing waits for one.
	snapshots chan control.SaveSnapshot
	state     atomic.Pointer[control.State]
	// isShown: the loop has published once; the state before that led to no routing table.
	isShown bool

	lock sync.Mutex // guards what waits for a command alone
	open map[string]*openSubmission
	// By the token of the call.
	registers map[uint64]chan control.Registered
	reads     map[uint64]chan *control.Document
	nextToken uint64

	// longest is the longest that one event has held the owners up, in microseconds.
	longest atomic.Int64
	// grantedAt is control.Node.GrantedAt after the last event.
	grantedAt atomic.Int64
	hand      TableBuilder
	prober    *http.Client
	// NoProbes is set where engines register themselves: their words tell how they are,
	// and a look at one would cost it a place.
	NoProbes bool
	dial     Dialer // for looks
	// watch is shown each picture as it is published; nil: nobody watches.
	watch atomic.Pointer[func(*control.State)]
}

// Watch has a function shown the present picture and each that follows. It is called by
// the owners' loop and must not wait for anything.
func (r *Runner) Watch(show func(*control.State)) {
	r.watch.Store(&show)
	r.post(func() []any { show(r.State()); return nil })
}

// NewRunner makes a shell; Run starts it.
func NewRunner(env kernel.Env, node *control.Node, store *control.Store, connections *Connections, dispatcher *relay.Dispatcher, compiler *fleetconfig.Compiler, platform string) *Runner {
	r := &Runner{
		env: env, node: node, store: store, connections: connections, dispatcher: dispatcher, platform: platform,
		queue: make(chan func() []any, 1024), saves: make(chan any, 256), snapshots: make(chan control.SaveSnapshot, 1),
		open:      map[string]*openSubmission{},
		registers: map[uint64]chan control.Registered{}, reads: map[uint64]chan *control.Document{},
		// At random, so that an answer to an earlier life is nobody's here; the time of day
		// may have jumped back since that.
		nextToken: rand.Uint64() >> 1, hand: TableBuilder{Compiler: compiler}, dial: plainDialer(),
		prober: &http.Client{Timeout: probeSpan, Transport: &http.Transport{DialContext: plainDialer(), MaxIdleConnsPerHost: 1}},
	}
	r.state.Store(node.State(nil))
	return r
}

// reservedSaves are the places that others' asks for the past leave to the core's own writes.
const reservedSaves = 8

// State is the newest picture.
func (r *Runner) State() *control.State { return r.state.Load() }

// Witness tells who this node is, for an operator who would rebuild a core.
func (r *Runner) Witness(member control.MemberID) control.Witness {
	state := r.State()
	witness := control.Witness{Address: r.env.Self.Address, Member: member, Founding: state.Founding}
	if state.Document != nil {
		witness.Revision = state.Document.Revision
	}
	return witness
}

// Deliver brings a message from another node.
func (r *Runner) Deliver(envelope control.Envelope) {
	if submit := envelope.Message.Submit; submit != nil && len(submit.Config) > 0 {
		// Read here, beside the owners, so that the leader has its verdict at hand. What
		// it is makes no difference yet: the order is answered by the owners alone.
		if err := r.node.Rehearse(submit, r.State().Document); err != nil {
			r.env.Log.V(2).Info("a spec with faults came from another node", "error", err.Error())
		}
	}
	r.post(func() []any { return r.node.Deliver(r.env.Clock.Now(), envelope) })
}

// Unreadable takes the news of a message that could not be read.
func (r *Runner) Unreadable(from string, err error) {
	r.env.Log.V(1).Info("a message can't be read", "from", from, "error", err.Error())
	r.post(func() []any { return r.node.Unreadable(r.env.Clock.Now(), from, err) })
}

func (r *Runner) post(event func() []any) {
	select {
	case r.queue <- event:
	case <-r.env.Done():
	}
}

// Run turns events into commands until the environment ends.
func (r *Runner) Run() {
	var workers sync.WaitGroup
	defer workers.Wait()
	if r.store != nil {
		workers.Go(r.runSaves)
		workers.Go(r.runSnapshots)
	}
	if r.platform != "" {
		workers.Go(r.pollPlatform)
	}
	if !r.NoProbes {
		workers.Go(r.probeEngines)
	}
	ticker := time.NewTicker(r.node.TickSpan().Duration())
	defer ticker.Stop()
	// The first turn comes at once: the fleet is to hear that this node is there.
	go r.post(func() []any { return r.node.Tick(r.env.Clock.Now()) })
	for {
		var out []any
		var begun kernel.Micros
		select {
		case <-r.env.Done():
			return
		case event := <-r.queue:
			begun = r.env.Clock.Now()
			out = event()
		case <-ticker.C:
			begun = r.env.Clock.Now()
			out = r.node.Tick(begun)
		}
		for _, command := range out {
			r.carryOut(command)
		}
		r.publish()
		r.grantedAt.Store(int64(r.node.GrantedAt()))
		r.longest.Store(max(r.longest.Load(), int64(r.env.Clock.Now()-begun)))
	}
}

// Longest is the longest that one event has held the owners up so far.
func (r *Runner) Longest() kernel.Micros { return kernel.Micros(r.longest.Load()) }

// IsInTouch tells whether a leader has answered one of this node's recent asks. What was committed
// since may still be unknown here.
func (r *Runner) IsInTouch() bool {
	grantedAt := kernel.Micros(r.grantedAt.Load())
	return grantedAt > 0 && r.env.Clock.Now()-grantedAt < r.node.TouchSpan()
}

func (r *Runner) carryOut(command any) {
	switch command := command.(type) {
	case control.Outgoing:
		r.connections.Send(command.Envelope)
	case control.Save, control.Keep:
		// The core has one of each out at a time, so this never waits.
		r.saves <- command
	case control.Fetch:
		// History can be asked for again; it must not hold up the owners on a slow disk.
		if len(r.saves) < cap(r.saves)-reservedSaves {
			r.saves <- command
		}
	case control.SaveSnapshot:
		// The node has one out at a time, so this never waits.
		r.snapshots <- command
	case control.HealthChanged:
		r.env.Log.Info("the core's health", "whole", command.Health.IsWhole, "spare_losses", command.Health.SpareLosses, "says", command.Health.String())
	case control.Prepare:
		go func() {
			_, err := r.hand.Compiler.Read(command.Document.Config)
			if err != nil {
				r.env.Log.Error(err, "a committed spec can't be read here")
			}
			r.post(func() []any { return r.node.Prepared(r.env.Clock.Now(), command.Document, err) })
		}()
	case control.Probe:
		go func() {
			// One look is enough here: a router has failed to get through already.
			if !r.canReach(command.Engine.Address) {
				r.post(func() []any { return r.node.Probed(r.env.Clock.Now(), command.Engine.ID, command.Engine.Start, true) })
			}
		}()
	case control.Registered:
		r.lock.Lock()
		waiter := r.registers[command.Token]
		delete(r.registers, command.Token)
		r.lock.Unlock()
		if waiter != nil {
			waiter <- command
		}
	case control.Newest:
		r.lock.Lock()
		waiter := r.reads[command.Token]
		delete(r.reads, command.Token)
		r.lock.Unlock()
		if waiter != nil {
			waiter <- command.Document
		}
	case control.Reply:
		r.lock.Lock()
		open := r.open[command.SubmitReply.ID]
		delete(r.open, command.SubmitReply.ID)
		r.lock.Unlock()
		if open == nil {
			return
		}
		for _, waiter := range open.waiters {
			waiter <- command.SubmitReply
		}
	}
}

// runSaves syncs to disk beside the owners, so that a stalled disk stalls nothing else.
func (r *Runner) runSaves() {
	for {
		select {
		case <-r.env.Done():
			return
		case work := <-r.saves:
			r.workDisk(work)
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
			r.post(func() []any { return r.node.SnapshotSaved(r.env.Clock.Now(), err) })
		}
	}
}

func (r *Runner) workDisk(work any) {
	switch work := work.(type) {
	case control.Save:
		err := r.store.Save(work)
		if err != nil {
			r.env.Log.Error(err, "a write failed")
		}
		r.post(func() []any { return r.node.Saved(r.env.Clock.Now(), work.Token, err) })
	case control.Fetch:
		document, err := r.store.ConfigAt(work.Mark)
		if err != nil {
			r.env.Log.V(1).Info("a spec of the past is not held here", "error", err.Error())
		}
		r.post(func() []any { return r.node.Fetched(r.env.Clock.Now(), work.To, work.Mark, document) })
	case control.Keep:
		if err := r.store.Keep(work.Document); err != nil {
			r.env.Log.Error(err, "a spec of the past could not be kept")
			r.post(func() []any { return r.node.NotKept(r.env.Clock.Now(), work.Document.ConfigRevision, err) })
			return
		}
		r.post(func() []any { return r.node.Kept(r.env.Clock.Now(), work.Document.ConfigRevision) })
	}
}

func (r *Runner) publish() {
	earlier := r.state.Load()
	state := r.node.State(earlier)
	if state == earlier && r.isShown {
		return
	}
	r.isShown = true
	r.state.Store(state)
	if show := r.watch.Load(); show != nil {
		(*show)(state)
	}
	routingTable, err := r.hand.RoutingTable(state)
	if err != nil {
		// The leader checked it; only a node of another build can get here. Serving
		// by a configuration that is no longer in force would be worse than not serving.
		r.env.Log.Error(err, "a committed spec can't be read here")
	}
	if routingTable != nil && r.dispatcher != nil {
		r.dispatcher.Show(routingTable)
	}
}

// TableBuilder turns states of the control plane into routing tables for the data plane.
type TableBuilder struct {
	Compiler       *fleetconfig.Compiler
	config         *fleetconfig.Config
	configRevision uint64
	shown          routingTableMark
}

type routingTableMark struct {
	revision, engineRev uint64
	until               kernel.Micros
	why                 string
}

// RoutingTable gives the next routing table, or nil when nothing changed that routing depends on.
func (h *TableBuilder) RoutingTable(state *control.State) (*relay.RoutingTable, error) {
	mark := routingTableMark{0, state.EngineRev, state.Until, state.Why}
	var failed error
	if state.Document != nil {
		mark.revision = state.Document.Revision
		// A large configuration is compiled once, not at every change of something else.
		if state.Document.ConfigRevision != h.configRevision {
			h.configRevision = state.Document.ConfigRevision
			h.config, failed = h.Compiler.Read(state.Document.Config)
		}
	}
	if mark == h.shown {
		return nil, failed
	}
	h.shown = mark
	routingTable := &relay.RoutingTable{Config: h.config, Drained: map[string]bool{}, Until: state.Until, Lapse: state.Why}
	if state.Document != nil {
		routingTable.Revision, routingTable.Routers = state.Document.Revision, state.Document.Register
		for zone := range state.Document.Drained {
			routingTable.Drained[zone] = true
		}
	}
	routingTable.Engines = MergeEngines(h.config, state.Engines)
	if state.Document != nil {
		for i, engine := range routingTable.Engines {
			mark, isMarked := state.Document.Leaving[engine.ID]
			routingTable.Engines[i].IsLeaving = engine.IsLeaving || isMarked && engine.Start <= mark.Start
		}
	}
	return routingTable, failed
}

// MergeEngines joins the engines that the configuration names with those that the control plane knows.
func MergeEngines(config *fleetconfig.Config, records []control.EngineRecord) []relay.Engine {
	engines, known := []relay.Engine{}, map[string]bool{}
	for _, record := range records {
		known[record.ID] = true
		engine := relay.Engine{
			ID: record.ID, Address: record.Address, Zone: record.Zone, Pool: record.Pool, Start: record.Start,
			IsLeaving: record.IsLeaving, IsUnlisted: record.IsUnlisted, IsDark: record.IsDark,
			HasReport: record.Seq > 0, Load: record.Load, AsOf: record.AsOf, StartedAt: record.StartedAt, IsStartKnown: true,
		}
		if record.IsUnsure() {
			engine.StartedAt = record.BackAt
		}
		if config != nil {
			named := config.Engines[record.ID]
			if named.Pool != "" {
				engine.Pool = named.Pool
			}
			if named.Zone != "" {
				engine.Zone = named.Zone
			}
			if named.Address != "" && record.ListRevision == 0 {
				engine.Address = named.Address
			}
			// An engine named by hand serves even where the platform's list lacks it.
			engine.IsUnlisted = engine.IsUnlisted && named.Address == ""
		}
		engines = append(engines, engine)
	}
	if config != nil {
		for id, named := range config.Engines {
			if !known[id] && named.Address != "" {
				engines = append(engines, relay.Engine{ID: id, Address: named.Address, Zone: named.Zone, Pool: named.Pool})
			}
		}
	}
	// One order on every node: ties in the policy are broken by it.
	slices.SortFunc(engines, func(a, b relay.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return engines
}

// Submit hands an order in and waits for its reply.
func (r *Runner) Submit(ctx context.Context, submit *control.Submit) (control.SubmitReply, error) {
	waiter, isTaken := r.await(submit)
	if !isTaken {
		return control.SubmitReply{ID: submit.ID, Outcome: control.Unproved, Reason: "id_busy",
			Detail: "another submission with this id is under way at this node; ask again once it has ended"}, nil
	}
	if state := r.State(); state.IsLeader && len(submit.Config) > 0 {
		// As in Deliver: the leader is to have its verdict at hand.
		if err := r.node.Rehearse(submit, state.Document); err != nil {
			r.env.Log.V(2).Info("a spec with faults was handed in", "error", err.Error())
		}
	}
	r.post(func() []any { return r.node.Submit(r.env.Clock.Now(), submit) })
	select {
	case reply := <-waiter:
		return reply, nil
	case <-ctx.Done():
		return control.SubmitReply{}, fmt.Errorf("wait for submission %s: %w", submit.ID, ctx.Err())
	case <-r.env.Done():
		return control.SubmitReply{ID: submit.ID, Outcome: control.Unproved, Reason: "stopping"}, nil
	}
}

// Register takes an engine's word on itself; Seq numbers its words. The word that it is
// leaving (IsLeaving) or gone (IsUnlisted) is given back only when the routers know; an
// error says that this could not be shown. beatTo is the public address for the engine's
// later words; empty: no better one is known.
func (r *Runner) Register(ctx context.Context, record control.EngineRecord) (beatTo string, err error) {
	waiter := make(chan control.Registered, 1)
	r.lock.Lock()
	r.nextToken++
	token := r.nextToken
	r.registers[token] = waiter
	r.lock.Unlock()
	defer func() {
		r.lock.Lock()
		delete(r.registers, token)
		r.lock.Unlock()
	}()
	r.post(func() []any { return r.node.Register(r.env.Clock.Now(), token, record) })
	select {
	case answer := <-waiter:
		return answer.BeatTo, answer.Err
	case <-ctx.Done():
		return "", fmt.Errorf("register engine %s: %w", record.ID, ctx.Err())
	case <-r.env.Done():
		return "", fmt.Errorf("register engine %s: %w", record.ID, Stopping{})
	}
}

// NotShown says that a document could not be shown to be the newest one in time.
type NotShown struct{ Cause error }

func (b NotShown) Error() string {
	return "no document could be shown to be the newest: " + b.Cause.Error()
}

// Unwrap gives the cause.
func (b NotShown) Unwrap() error { return b.Cause }

// Stopping says that this process ends before it could answer.
type Stopping struct{}

func (Stopping) Error() string { return "this process is stopping" }

// Newest gives a committed document that is at least as new as every one that was
// acknowledged before the call. The error is a NotShown.
func (r *Runner) Newest(ctx context.Context) (*control.Document, error) {
	waiter := make(chan *control.Document, 1)
	r.lock.Lock()
	r.nextToken++
	token := r.nextToken
	r.reads[token] = waiter
	r.lock.Unlock()
	r.post(func() []any { return r.node.Newest(r.env.Clock.Now(), token) })
	var cause error = Stopping{}
	select {
	case document := <-waiter:
		return document, nil
	case <-ctx.Done():
		cause = ctx.Err()
	case <-r.env.Done():
	}
	r.lock.Lock()
	delete(r.reads, token)
	r.lock.Unlock()
	r.post(func() []any { return r.node.EndNewest(r.env.Clock.Now(), token) })
	return nil, NotShown{cause}
}

// Hear brings engine records learned first-hand.
func (r *Runner) Hear(records []control.EngineRecord) {
	r.post(func() []any { return r.node.Hear(r.env.Clock.Now(), records) })
}

// Suspect tells the control plane of an engine that could not be reached.
func (r *Runner) Suspect(engine relay.Engine) {
	r.post(func() []any { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
}

// SuspectEngine tells the control plane of an engine, by its id alone, that could not be reached.
func (r *Runner) SuspectEngine(id string) {
	for _, engine := range r.State().Engines {
		if engine.ID == id {
			r.post(func() []any { return r.node.Suspect(r.env.Clock.Now(), engine.ID, engine.Start) })
		}
	}
}

// Restarted tells the control plane of an engine that answered under a later start.
func (r *Runner) Restarted(engine relay.Engine, start uint64) {
	r.post(func() []any { return r.node.Restarted(r.env.Clock.Now(), engine.ID, start) })
}

// Leave begins a planned stop.
func (r *Runner) Leave() {
	r.post(func() []any { return r.node.Leave(r.env.Clock.Now()) })
}

// HasDuties asks the owners whether duties are still held.
func (r *Runner) HasDuties() bool {
	reply := make(chan bool, 1)
	r.post(func() []any { reply <- r.node.HasDuties(); return nil })
	select {
	case hasDuties := <-reply:
		return hasDuties
	case <-r.env.Done():
		return false
	}
}

// Recall reads an older configuration from this node's data folder.
func (r *Runner) Recall(ask RecallAsk) (*RecallReply, error) {
	if r.store == nil {
		return nil, control.MissingRevision{Revision: ask.Mark.Revision}
	}
	document, err := r.store.ConfigAt(ask.Mark)
	if err != nil {
		return nil, err
	}
	return &RecallReply{Config: document.Config, ConfigRevision: document.ConfigRevision}, nil
}

// platformError says what was wrong with the platform's list.
type platformError struct{ why string }

func (b platformError) Error() string { return "platform list: " + b.why }

// pollPlatform fetches the list where it is this node's duty.
func (r *Runner) pollPlatform() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	client := &http.Client{Timeout: 2 * time.Second}
	isFailing := false
	for {
		// One fetch a zone is enough; a node without a home looks for itself.
		if state := r.State(); state.IsHome || state.IsHomeless {
			listing, err := fetchListing(r.env, client, r.platform)
			switch {
			case err != nil && !isFailing:
				r.env.Log.Error(err, "the platform's list can't be read")
				r.env.Note("platform", "list", "unreadable", err.Error())
			case err == nil:
				r.post(func() []any { return r.node.TakeListing(r.env.Clock.Now(), listing) })
			}
			isFailing = err != nil
		}
		select {
		case <-r.env.Done():
			return
		case <-ticker.C:
		}
	}
}

func fetchListing(ctx context.Context, client *http.Client, url string) (control.Listing, error) {
	var listing control.Listing
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return listing, fmt.Errorf("ask the platform: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return listing, fmt.Errorf("ask the platform: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return listing, platformError{response.Status}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 16<<20)).Decode(&listing); err != nil {
		return listing, fmt.Errorf("read the platform's list: %w", err)
	}
	// A list without a revision can't be told from an older one, so it is no use.
	if listing.Revision == 0 {
		return listing, platformError{"it has no revision"}
	}
	return listing, nil
}

// Probing: a home tries its zone's engines so often, and after so many silences
// in a row calls one dark.
const (
	probeEvery = 500 * time.Millisecond
	probeSpan  = 700 * time.Millisecond
	probeMiss  = 3
)

// probeEngines looks whether the engines of this zone still answer. Any answer
// will do: a status says that a process is there, whatever it thinks of the path.
func (r *Runner) probeEngines() {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	missed := map[string]int{}
	for {
		select {
		case <-r.env.Done():
			return
		case <-ticker.C:
		}
		state := r.State()
		if !state.IsHome {
			continue
		}
		var probes sync.WaitGroup
		var lock sync.Mutex
		for _, engine := range state.Engines {
			// Who registers itself is known by its beats and is not to be bothered.
			if engine.Zone != r.env.Self.Zone || engine.IsUnlisted || engine.Address == "" || engine.Word > 0 {
				continue
			}
			probes.Go(func() {
				isThere := probe(r.env, r.prober, engine.Address)
				lock.Lock()
				defer lock.Unlock()
				if isThere {
					missed[engine.ID] = 0
				} else {
					missed[engine.ID]++
				}
				if isDark := missed[engine.ID] >= probeMiss; isDark != engine.IsDark && (isDark || isThere) {
					r.post(func() []any { return r.node.Probed(r.env.Clock.Now(), engine.ID, engine.Start, isDark) })
				}
			})
		}
		probes.Wait()
	}
}

// canReach looks whether an engine is there at all.
func (r *Runner) canReach(address string) bool {
	if !r.NoProbes {
		return probe(r.env, r.prober, address)
	}
	// A request would wait for a place like any other, so that a busy engine looked like a
	// dead one; a connection comes up by itself, or doesn't.
	ctx, cancel := context.WithTimeout(r.env, reachSpan.Duration())
	defer cancel()
	made, err := r.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	made.Close()
	return true
}

// reachSpan is a hundred times what a connection within a region takes.
const reachSpan = 300 * kernel.Millisecond

func probe(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return true
}
