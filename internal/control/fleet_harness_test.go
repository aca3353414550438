package control

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// fleet simulates a number of nodes in virtual time: messages are delayed and may be dropped, writes to disk
// take time, and processes are killed and restarted.
type fleet struct {
	c               *qt.C
	random          *rand.Rand
	now             kernel.Micros
	lastOrder       int
	due             dueEvents
	nodes           []*fleetNode
	adapt           func(*NodeSettings)
	replies         map[string]cluster.SubmitResponse
	repliedAt       map[string]kernel.Micros // times of the replies, by submission id
	registerReplies map[uint64]Registered
	reads           map[uint64]*cluster.Document
	sentMessages    map[string]int // number of sent messages by kind
	lastStart       uint64
	// bootstrapped is the set of the cluster ids of all documents that were ever synced to a disk.
	bootstrapped map[string]bool
	// linkRate is the number of bytes that a node sends per second; zero: unlimited. linkFreeAt is the time
	// at which its link will have sent everything that is queued.
	linkRate   int64
	linkFreeAt map[string]kernel.Micros
	// seedsOverride returns the seeds in the settings of a starting process; nil: always the first three nodes.
	seedsOverride func() []string
	// faultPercent is the percentage of messages that are lost, and equally of those that are duplicated and
	// of those that are delayed by up to 300 ms.
	faultPercent int64
	// executor may execute a command in place of the fleet, for instance over a slow link or in a real store,
	// and reports whether it did; nil: none.
	executor func(n *fleetNode, command commands.Command) (isTaken bool)
	// processor may hold an event back until the node's processor has time for it; nil: events run at once.
	processor func(n *fleetNode, event func() []commands.Command)
}

type dueEvent struct {
	at    kernel.Micros
	order int
	run   func()
}

// dueEvents is a heap of events, ordered by due time and then by the order in which they were scheduled.
type dueEvents []dueEvent

func (e dueEvents) Len() int { return len(e) }

func (e dueEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e dueEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}

func (e *dueEvents) Push(event any) {
	due, isDueEvent := event.(dueEvent)
	if !isDueEvent {
		panic(fmt.Sprintf("dueEvents holds dueEvent values, not %T", event))
	}
	*e = append(*e, due)
}

func (e *dueEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

type fleetNode struct {
	f            *fleet
	identity     kernel.Identity
	hasFolder    bool
	isUp         bool
	isFrozen     bool
	pausedEvents []func()
	epoch        int
	node         *Node
	cut          map[string]bool // addresses that it can neither reach nor be reached from
	cutOut       map[string]bool // addresses that it can't reach, but can be reached from
	// lag is how long each message waits in the node's queue before it is handled; its timers run on time.
	lag kernel.Micros
	// tickPause is the least interval between two runs of its timers; zero: they run every TickInterval.
	tickPause kernel.Micros
	// The content and the state of the disk.
	member        cluster.MemberID
	hardState     cluster.HardState
	document      *cluster.Document
	acceptorState *cluster.AcceptorState
	snapshot      []byte
	ends          []byte
	history       map[uint64]*cluster.Document // configuration history, by revision
	isFull        bool                         // writes fail
	endWrites     int                          // number of writes of ends that were executed
	opensAfter    kernel.Micros                // how long after each start the folder can be opened; zero: at once
	diskSlowdown  kernel.Micros                // factor by which writes take longer than usual; zero: 1
	bootstrap     bool
}

const ms = kernel.Millisecond

type diskFullError struct{}

func (diskFullError) Error() string { return "the disk is full" }

// writeError returns the error of a write to a full disk.
func writeError() error {
	return kernel.DiskError{Op: "write", Name: "it", Cause: diskFullError{}}
}

// platformSettings applies the settings of a deployment whose routers keep serving without the core.
func platformSettings(settings *NodeSettings) {
	settings.Voters, settings.ServeExtension, settings.AckRule = 3, cluster.ServeWithoutLimit, Disseminated
	settings.SubmitTimeout, settings.IsAbortDisabled, settings.BootstrapRule = 900*ms, true, BootstrapByAnnounce
	settings.Timing = cluster.SparseTiming()
	settings.Timing.EngineHeartbeatTimeout = 4200 * ms
	settings.ApplyTimeout, settings.ContactTimeout = applyBound, contactBound
	settings.VersionOf = func(config []byte) (uint64, error) {
		var read struct {
			Ver uint64 `json:"ver"`
		}
		err := json.Unmarshal(config, &read)
		return read.Ver, err
	}
	settings.PatchConfig = func(current, change []byte) ([]byte, error) {
		return []byte(strings.Replace(string(change), "+", string(current)+" ", 1)), nil
	}
	settings.CheckConfig = func(config []byte) error {
		if strings.Contains(string(config), "bad") {
			return configErrorf("it is bad")
		}
		return nil
	}
}

// newFleet creates nodes and starts none of them. Zones are assigned round robin, and hasFolder reports by
// index which nodes have a folder.
func newFleet(c *qt.C, seed uint64, zones, nodes int, hasFolder func(int) bool) *fleet {
	f := &fleet{
		c: c, random: rand.New(rand.NewPCG(seed, 7)), now: 100 * kernel.Second, adapt: platformSettings, replies: map[string]cluster.SubmitResponse{},
		repliedAt: map[string]kernel.Micros{}, registerReplies: map[uint64]Registered{}, reads: map[uint64]*cluster.Document{}, sentMessages: map[string]int{}, lastStart: 1000,
		bootstrapped: map[string]bool{}, linkFreeAt: map[string]kernel.Micros{},
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{
			f: f, hasFolder: hasFolder(i), bootstrap: true, cut: map[string]bool{},
			identity: kernel.Identity{Fleet: "f", Address: fmt.Sprintf("10.0.0.%02d:1", i+1), Public: fmt.Sprintf("10.0.0.%02d:2", i+1), Zone: fmt.Sprintf("z%d", i%zones+1)},
		})
	}
	return f
}

// newStableFleet is newFleet with every node started within half a second and the core stable, see awaitStable.
func newStableFleet(c *qt.C, seed uint64, zones, nodes int, hasFolder func(int) bool) *fleet {
	f := newFleet(c, seed, zones, nodes, hasFolder)
	f.bootAll(500 * ms)
	f.awaitStable(6 * kernel.Second)
	return f
}

func (f *fleet) seeds() []string {
	if f.seedsOverride != nil {
		return f.seedsOverride()
	}
	found := []string{}
	for _, n := range f.nodes[:min(3, len(f.nodes))] {
		found = append(found, n.identity.Address)
	}
	return found
}

func (f *fleet) schedule(span kernel.Micros, run func()) {
	f.lastOrder++
	heap.Push(&f.due, dueEvent{f.now + span, f.lastOrder, run})
}

func (f *fleet) advance(span kernel.Micros) {
	for end := f.now + span; ; {
		if len(f.due) == 0 || f.due[0].at > end {
			f.now = end
			return
		}
		next := f.due[0]
		heap.Pop(&f.due)
		f.now = max(f.now, next.at)
		next.run()
	}
}

// await advances the clock until a condition is met, and returns how long that took.
func (f *fleet) await(what string, timeout kernel.Micros, isMet func() bool) kernel.Micros {
	f.c.Helper()
	for begun := f.now; ; f.advance(10 * ms) {
		if isMet() {
			return f.now - begun
		}
		if f.now-begun > timeout {
			f.c.Fatalf("%s: not within %d us", what, timeout)
		}
	}
}

// bootAll starts every node at a random time within a span.
func (f *fleet) bootAll(span kernel.Micros) {
	for _, n := range f.nodes {
		f.schedule(kernel.Micros(f.random.Int64N(int64(span)+1)), n.boot)
	}
}

func (n *fleetNode) boot() {
	f := n.f
	f.lastStart++
	n.epoch++
	n.isUp, n.isFrozen, n.pausedEvents = true, false, nil
	settings := NodeSettings{
		Identity: n.identity, IsRouter: true, IsController: n.hasFolder, HasFolder: n.hasFolder,
		Seeds: f.seeds(), Start: f.lastStart, RandomSeed: f.random.Uint64(), Timing: cluster.DefaultTiming(), Journal: kernel.NewJournal(256), IsBootstrap: n.bootstrap,
	}
	switch {
	case n.hasFolder && n.opensAfter > 0:
		settings.HasFolder, settings.IsController, settings.IsFolderPending = false, false, true
		seeds := f.seeds()
		n.scheduleInEpoch(n.epoch, n.opensAfter, func() { n.attachFolder(seeds) })
	case n.hasFolder:
		settings.FolderState = n.openFolder(f.seeds())
	}
	f.adapt(&settings)
	settings.Invariants = invariant.NewMonitor(func(violation invariant.ViolationError) { f.c.Error(violation) })
	n.node = NewNode(settings, f.now)
	n.tick(n.epoch)
}

// openFolder returns what the node's disk holds. As the store does, it writes the identity of a new member, and the
// acceptor state of a first start.
func (n *fleetNode) openFolder(seeds []string) FolderState {
	if n.member == "" {
		n.member = cluster.MemberID(fmt.Sprintf("m-%d", n.f.lastStart))
		if n.opensAfter > 0 {
			n.member += cluster.MemberID(fmt.Sprintf("-%d", n.f.now))
		}
	}
	if n.acceptorState == nil && n.bootstrap && n.document == nil {
		n.acceptorState = &cluster.AcceptorState{Acceptor: n.member, Seeds: seeds}
	}
	state := FolderState{
		Member: n.member, HardState: n.hardState, Document: n.document, AcceptorState: n.acceptorState,
		StoredConfigs: slices.Sorted(maps.Keys(n.history)),
	}
	if n.snapshot != nil {
		state.Snapshot = &storage.Snapshot{}
		n.f.c.Assert(json.Unmarshal(n.snapshot, state.Snapshot), qt.IsNil)
	}
	if n.ends != nil {
		state.Ends = &storage.EngineEnds{}
		n.f.c.Assert(json.Unmarshal(n.ends, state.Ends), qt.IsNil)
	}
	return state
}

// attachFolder opens the folder of a running node whose disk was in trouble at its start.
func (n *fleetNode) attachFolder(seeds []string) {
	n.do(func() []commands.Command {
		out, err := n.node.AttachFolder(n.f.now, n.openFolder(seeds), 0)
		n.f.c.Assert(err, qt.IsNil)
		return out
	})
}

func (n *fleetNode) tick(epoch int) {
	if n.epoch != epoch || !n.isUp {
		return
	}
	n.doNow(func() []commands.Command { return n.node.Tick(n.f.now) })
	n.f.schedule(max(n.node.TickInterval(), n.tickPause), func() { n.tick(epoch) })
}

func (n *fleetNode) do(event func() []commands.Command) {
	if n.f.processor != nil {
		n.f.processor(n, event)
		return
	}
	n.doNow(event)
}

// doNow runs an event that does not wait for the processor, such as a timer.
func (n *fleetNode) doNow(event func() []commands.Command) {
	if n.isFrozen {
		n.pausedEvents = append(n.pausedEvents, func() { n.execute(event()) })
		return
	}
	n.execute(event())
}

func (n *fleetNode) freeze(span kernel.Micros) {
	n.isFrozen = true
	epoch := n.epoch
	n.f.schedule(span, func() {
		if n.epoch != epoch {
			return
		}
		n.isFrozen = false
		paused := n.pausedEvents
		n.pausedEvents = nil
		for _, event := range paused {
			event()
		}
	})
}

func (n *fleetNode) kill() {
	n.isUp = false
	n.epoch++
}

// wipe kills a node and erases its disk.
func (n *fleetNode) wipe() {
	n.kill()
	n.member, n.hardState, n.document, n.acceptorState, n.snapshot, n.ends, n.history, n.bootstrap = "", cluster.HardState{}, nil, nil, nil, nil, nil, false
}

func (f *fleet) byAddress(address string) *fleetNode {
	for _, n := range f.nodes {
		if n.identity.Address == address {
			return n
		}
	}
	return nil
}

// sendDelay queues a message of this size on the node's link, and returns how long it takes until the message is sent.
func (n *fleetNode) sendDelay(bytes int) kernel.Micros {
	f := n.f
	if f.linkRate == 0 {
		return 0
	}
	address := n.identity.Address
	f.linkFreeAt[address] = max(f.linkFreeAt[address], f.now) + kernel.Micros(int64(bytes)*int64(kernel.Second)/f.linkRate)
	return f.linkFreeAt[address] - f.now
}

// addHistory adds a configuration to the node's history, unless that revision is in it.
func (n *fleetNode) addHistory(document *cluster.Document) {
	if n.history == nil {
		n.history = map[uint64]*cluster.Document{}
	}
	if _, isThere := n.history[document.ConfigRevision]; !isThere {
		n.history[document.ConfigRevision] = document
	}
}

// execute executes the commands of an event in order. A command that takes time has no effect if the process that
// issued it ends before the command is complete.
func (n *fleetNode) execute(outputs []commands.Command) {
	f, epoch := n.f, n.epoch
	for _, command := range outputs {
		if f.executor != nil && f.executor(n, command) {
			continue
		}
		switch command := command.(type) {
		case Outgoing:
			n.send(command.Envelope)
		case commands.Save:
			n.save(epoch, command)
		case commands.LoadConfig:
			n.loadConfig(epoch, command)
		case commands.SaveHistory:
			n.saveHistory(epoch, command)
		case SaveSnapshot:
			n.saveSnapshot(epoch, command)
		case SaveEnds:
			n.saveEnds(epoch, command)
		case Reply:
			f.replies[command.SubmitResponse.ID] = command.SubmitResponse
			f.repliedAt[command.SubmitResponse.ID] = f.now
		case Registered:
			f.registerReplies[command.Token] = command
		case ReadResult:
			f.reads[command.Token] = command.Document
		}
	}
}

// scheduleInEpoch runs a function after a span, unless the process of that epoch has ended by then.
func (n *fleetNode) scheduleInEpoch(epoch int, span kernel.Micros, run func()) {
	n.f.schedule(span, func() {
		if n.epoch == epoch {
			run()
		}
	})
}

// send puts a message on the node's link, unless a cut drops it.
func (n *fleetNode) send(envelope wire.Envelope) {
	f := n.f
	f.sentMessages[envelope.Message.Kind()]++
	// The message is encoded as on the wire, so that no two nodes share memory.
	content, err := json.Marshal(envelope)
	f.c.Assert(err, qt.IsNil)
	to := f.byAddress(envelope.To)
	if to == nil || n.cut[to.identity.Address] || to.cut[n.identity.Address] || n.cutOut[to.identity.Address] {
		return
	}
	f.deliver(to, content, n.sendDelay(len(content)))
}

// save writes and syncs the hard state, acceptor state and document that the command has.
func (n *fleetNode) save(epoch int, command commands.Save) {
	f := n.f
	n.scheduleInEpoch(epoch, max(n.diskSlowdown, 1)*(2*ms+kernel.Micros(f.random.Int64N(int64(4*ms)))), func() {
		if n.isFull {
			n.do(func() []commands.Command { return n.node.Saved(f.now, command.Token, writeError()) })
			return
		}
		if command.HardState != nil {
			n.hardState = *command.HardState
		}
		if command.AcceptorState != nil {
			n.acceptorState = command.AcceptorState
		}
		if command.Document != nil {
			n.document = command.Document
			n.addHistory(command.Document)
			f.bootstrapped[command.Document.ClusterID] = true
		}
		n.do(func() []commands.Command { return n.node.Saved(f.now, command.Token, nil) })
	})
}

// loadConfig reads a configuration from the history as it is when the command is issued.
func (n *fleetNode) loadConfig(epoch int, command commands.LoadConfig) {
	saved := n.history[command.Config.Revision]
	n.scheduleInEpoch(epoch, 2*ms, func() {
		n.do(func() []commands.Command { return n.node.ConfigLoaded(n.f.now, command.To, command.Config, saved) })
	})
}

// saveHistory writes older configurations; a full disk rejects the first of them.
func (n *fleetNode) saveHistory(epoch int, command commands.SaveHistory) {
	f := n.f
	n.scheduleInEpoch(epoch, max(n.diskSlowdown, 1)*kernel.Micros(3+len(command.Documents))*ms, func() {
		if n.isFull {
			n.do(func() []commands.Command {
				return n.node.HistoryStored(f.now, commands.SaveHistoryResult{Rejected: command.Documents[0].ConfigRevision, Err: writeError()})
			})
			return
		}
		outcome := commands.SaveHistoryResult{}
		for _, document := range command.Documents {
			n.addHistory(document)
			outcome.Saved = append(outcome.Saved, document.ConfigRevision)
		}
		n.do(func() []commands.Command { return n.node.HistoryStored(f.now, outcome) })
	})
}

// saveSnapshot writes the snapshot as it is when the command is issued.
func (n *fleetNode) saveSnapshot(epoch int, command SaveSnapshot) {
	f := n.f
	content, err := json.Marshal(command.Snapshot)
	f.c.Assert(err, qt.IsNil)
	n.scheduleInEpoch(epoch, max(n.diskSlowdown, 1)*(2*ms+kernel.Micros(f.random.Int64N(int64(4*ms)))), func() {
		if n.isFull {
			n.do(func() []commands.Command { return n.node.SnapshotSaved(f.now, writeError()) })
			return
		}
		n.snapshot = content
		n.do(func() []commands.Command { return n.node.SnapshotSaved(f.now, nil) })
	})
}

// saveEnds writes and syncs the ends of engines as they are when the command is issued.
func (n *fleetNode) saveEnds(epoch int, command SaveEnds) {
	f := n.f
	content, err := json.Marshal(command.Ends)
	f.c.Assert(err, qt.IsNil)
	n.scheduleInEpoch(epoch, max(n.diskSlowdown, 1)*(2*ms+kernel.Micros(f.random.Int64N(int64(4*ms)))), func() {
		n.endWrites++
		if n.isFull {
			n.do(func() []commands.Command { return n.node.EndsSaved(f.now, writeError()) })
			return
		}
		n.ends = content
		n.do(func() []commands.Command { return n.node.EndsSaved(f.now, nil) })
	})
}

// deliver schedules the arrival of a message, 1 to 5 ms after it was sent. According to faultPercent, the message may
// be lost, duplicated or delayed further.
func (f *fleet) deliver(to *fleetNode, content []byte, sending kernel.Micros) {
	span, copies := sending+ms+kernel.Micros(f.random.Int64N(int64(4*ms))), 1
	if f.faultPercent > 0 {
		switch draw := f.random.Int64N(100); {
		case draw < f.faultPercent:
			return
		case draw < 2*f.faultPercent:
			copies = 2
		case draw < 3*f.faultPercent:
			span += kernel.Micros(f.random.Int64N(int64(300 * ms)))
		}
	}
	for range copies {
		f.schedule(span+to.lag, func() {
			if !to.isUp {
				return
			}
			var envelope wire.Envelope
			f.c.Assert(json.Unmarshal(content, &envelope), qt.IsNil)
			to.do(func() []commands.Command { return to.node.Deliver(f.now, envelope) })
		})
	}
}

func (n *fleetNode) state() *State { return n.node.State(nil) }

func (f *fleet) leader() *fleetNode {
	for _, n := range f.nodes {
		if n.isUp && !n.isFrozen && n.node.core != nil && n.node.core.role == leader && n.node.core.hasCommittedInTerm {
			return n
		}
	}
	return nil
}

// awaitStable waits until the leader has committed its document, and every running node is registered, has a zone
// coordinator and has applied that document's revision.
func (f *fleet) awaitStable(timeout kernel.Micros) kernel.Micros {
	f.c.Helper()
	return f.await("a stable core", timeout, func() bool {
		lead := f.leader()
		if lead == nil || lead.node.core.committed.Position() != lead.node.core.doc.Position() {
			return false
		}
		document := lead.node.core.committed
		for _, n := range f.nodes {
			if n.isUp && (!slices.Contains(document.Routers, n.identity.Address) || document.Coordinators[n.identity.Zone] == "" ||
				n.node.lease.Revision() != document.Revision) {
				return false
			}
		}
		return true
	})
}

// awaitVoters waits until the committed voters are exactly these nodes.
func (f *fleet) awaitVoters(timeout kernel.Micros, nodes ...*fleetNode) kernel.Micros {
	f.c.Helper()
	wanted := []string{}
	for _, n := range nodes {
		wanted = append(wanted, string(n.member))
	}
	slices.Sort(wanted)
	return f.await(fmt.Sprint("voters ", wanted), timeout, func() bool {
		lead := f.leader()
		if lead == nil || lead.node.core.committed.Position() != lead.node.core.doc.Position() {
			return false
		}
		found := []string{}
		for _, voter := range lead.node.core.committed.Voters {
			found = append(found, string(voter.ID))
		}
		slices.Sort(found)
		return slices.Equal(found, wanted)
	})
}

func version(of uint64) *uint64 { return &of }

func configOf(ver uint64, more string) []byte {
	return fmt.Appendf(nil, `{"ver":%d,"more":%q}`, ver, more)
}

func (n *fleetNode) submit(id string, base uint64, config []byte) {
	delete(n.f.replies, id)
	n.do(func() []commands.Command {
		return n.node.Submit(n.f.now, &cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: config, BaseVersion: version(base)})
	})
}

// acknowledge submits a configuration to the nodes in turn, as an operator does, until one acknowledges it.
func (f *fleet) acknowledge(id string, base uint64, config []byte, timeout kernel.Micros, at ...*fleetNode) kernel.Micros {
	f.c.Helper()
	begun := f.now
	for attempt := 0; f.now-begun < timeout; attempt++ {
		at[attempt%len(at)].submit(id, base, config)
		f.await("an acknowledgement", kernel.Second, func() bool { _, isThere := f.replies[id]; return isThere })
		switch reply := f.replies[id]; reply.Outcome {
		case cluster.Accepted:
			return f.now - begun
		case cluster.Rejected:
			f.c.Fatalf("%s: %+v", id, reply)
		}
		f.advance(100 * ms)
	}
	f.c.Fatalf("%s: not acknowledged within %d us", id, timeout)
	return 0
}

func (f *fleet) register(at *fleetNode, token uint64, record registry.EngineRecord) {
	at.do(func() []commands.Command { return at.node.Register(f.now, token, record) })
}

func engineAt(id, zone string, seq uint64) registry.EngineRecord {
	return registry.EngineRecord{ID: id, Address: "10.9.0.1:80", Zone: zone, Pool: "p", Slots: 4, Seq: seq}
}

// drainingEngine returns the announcement that engine e in zone z1 is draining, with the given sequence number.
func drainingEngine(seq uint64) registry.EngineRecord {
	record := engineAt("e", "z1", seq)
	record.IsDraining = true
	return record
}

func (n *fleetNode) engine(id string) registry.EngineRecord {
	found, _ := n.node.directory.Engine(id)
	return found
}

// allRecordsMatch reports whether the record of an engine meets a condition at every node that runs and is not frozen.
func (f *fleet) allRecordsMatch(id string, isMet func(registry.EngineRecord) bool) bool {
	for _, n := range f.nodes {
		if n.isUp && !n.isFrozen && !isMet(n.engine(id)) {
			return false
		}
	}
	return true
}

func firstHaveFolders(count int) func(int) bool { return func(i int) bool { return i < count } }

// inForce returns the document applied at a node, or nil if the node does not run or has applied none.
func (n *fleetNode) inForce() *cluster.Document {
	if !n.isUp || n.node == nil {
		return nil
	}
	return n.node.lease.Applied()
}

func nodesInZone(f *fleet, zone string) []*fleetNode {
	found := []*fleetNode{}
	for _, n := range f.nodes {
		if n.identity.Zone == zone {
			found = append(found, n)
		}
	}
	return found
}
