package capacity

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"dunlinloom/control"
	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/relay"
	"dunlinloom/server"
)

// The parts of a node's processor time.
const (
	Events  = "events"  // the owners' own work on messages and ticks
	Encode  = "encode"  // messages to bytes
	Decode  = "decode"  // and back
	Publish = "publish" // the picture for the data plane after each event
	Disk    = "disk"    // encoding and sums of what is saved; no device
	Compile = "compile" // configurations, beside the owners
)

// What a deployment with room for two lost machines sets, and the engines' pace there.
const (
	deploymentVoters = 5
	deploymentBeat   = 1200 * ms
	// Two words may be lost on the way; the third says that there is nobody.
	deploymentBeatGone = deploymentBeat * 7 / 2
	deploymentTry      = 900 * ms
)

// Guessed: how long a message and a synced write take.
const (
	withinZone   = 400 * kernel.Micros(1)
	withinRegion = 1500 * kernel.Micros(1)
	betweenFirst = 20 * ms // to the next region, one way
	betweenMore  = 12 * ms // for each region further round
	writeTakes   = 3 * ms
	compileBytes = 5 // of a configuration in a microsecond, as measured by the table of papers
)

type timer struct {
	at    kernel.Micros
	order uint64
	ring  func()
}

type timers []timer

func (a timers) Len() int { return len(a) }
func (a timers) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a timers) Swap(i, j int)  { a[i], a[j] = a[j], a[i] }
func (a *timers) Push(next any) { *a = append(*a, next.(timer)) }
func (a *timers) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// traffic counts messages of one kind.
type traffic struct{ messages, bytes int64 }

// bill is what a node has cost while bills were written.
type bill struct {
	sent, got map[string]traffic
	nanos     map[string]int64
}

func newBill() bill {
	return bill{map[string]traffic{}, map[string]traffic{}, map[string]int64{}}
}

// hollow is a node without a process.
type hollow struct {
	fleet    *Fleet
	identity kernel.Identity
	region   int
	control  bool
	folder   *memory // nil for routers
	node     *control.Node
	store    *control.Store
	epoch    int
	isUp     bool
	compiled map[string]bool
	bill     bill
	applied  []application
	replies  map[string]func(control.SubmitReply)
	// Of those whose publishing is measured.
	isShown    bool
	state      *control.State
	hand       server.TableBuilder
	dispatcher *relay.Dispatcher
}

type application struct {
	at       kernel.Micros
	revision uint64
}

// Fleet is a hollow fleet on virtual time.
type Fleet struct {
	sizes     Sizes
	now       kernel.Micros
	timers    timers
	order     uint64
	random    *rand.Rand
	nodes     []*hollow
	byAddress map[string]*hollow
	zones     []string
	seeds     []string
	starts    uint64
	compiler  fleetconfig.Compiler
	compileNS map[string]int64
	isBilled  bool
	cutRegion int // -1: none
	reports   uint64
	orders    uint64
	deadline  int64 // of the wall, in nanoseconds
	step      string
	failed    error
}

// threadNanos is this thread's processor time: what others do on the machine is not in it.
func threadNanos() int64 {
	var stamp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &stamp); err != nil {
		panic(kernel.ClockError{Cause: err})
	}
	return stamp.Nano()
}

func wallNanos() int64 { return int64(kernel.BootClock{}.Now()) * 1000 }

// NewFleet lays out a hollow fleet; nothing runs yet.
func NewFleet(sizes Sizes, seed uint64) (*Fleet, error) {
	sizes = sizes.Fill()
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("lay out a hollow fleet: %w", err)
	}
	f := &Fleet{
		sizes: sizes, now: 1000 * sec, random: rand.New(rand.NewPCG(seed, 0x93ee)), byAddress: map[string]*hollow{},
		compileNS: map[string]int64{}, cutRegion: -1, deadline: wallNanos() + int64(sizes.Wall)*1000,
	}
	for i := range sizes.Zones {
		f.zones = append(f.zones, fmt.Sprintf("region-%d-zone-%02d", i%sizes.Regions, i))
	}
	for i := range sizes.Nodes {
		zone := i % sizes.Zones
		h := &hollow{
			fleet: f, region: zone % sizes.Regions, control: i < sizes.Control, replies: map[string]func(control.SubmitReply){},
			identity: kernel.Identity{
				Fleet: "capacity", Address: fmt.Sprintf("10.%d.%d.%d:7000", zone, i/250, i%250+1),
				Public: fmt.Sprintf("10.%d.%d.%d:8000", zone, i/250, i%250+1), Zone: f.zones[zone],
			},
		}
		if h.control {
			h.folder = &memory{files: map[string][]byte{}}
		}
		f.nodes = append(f.nodes, h)
		f.byAddress[h.identity.Address] = h
	}
	for _, h := range f.nodes[:3] {
		f.seeds = append(f.seeds, h.identity.Address)
	}
	return f, nil
}

// in rings after a span of virtual time.
func (f *Fleet) in(span kernel.Micros, ring func()) {
	f.order++
	heap.Push(&f.timers, timer{f.now + span, f.order, ring})
}

// run lets virtual time pass, as long as the wall allows.
func (f *Fleet) run(span kernel.Micros) error {
	end := f.now + span
	for count := 0; len(f.timers) > 0 && f.timers[0].at <= end; count++ {
		if count%64 == 0 && wallNanos() > f.deadline {
			return OutOfTime{f.step, f.sizes.Wall}
		}
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		next.ring()
		if f.failed != nil {
			return f.failed
		}
	}
	f.now = end
	return nil
}

// until runs on until a test holds, looking so often.
func (f *Fleet) until(step string, look, span kernel.Micros, isMet func() string) error {
	f.step = step
	for end := f.now + span; ; {
		why := isMet()
		if why == "" {
			return nil
		}
		if f.now >= end {
			return Unsettled{step, span, why}
		}
		if err := f.run(look); err != nil {
			return err
		}
	}
}

func (f *Fleet) jitter(span kernel.Micros) kernel.Micros {
	return kernel.Micros(f.random.Int64N(int64(span)))
}

// way is how long a message takes from one node to another.
func (f *Fleet) way(from, to *hollow) kernel.Micros {
	if from.identity.Zone == to.identity.Zone {
		return withinZone + f.jitter(withinZone)
	}
	if from.region == to.region {
		return withinRegion + f.jitter(withinRegion)
	}
	apart := (from.region - to.region + f.sizes.Regions) % f.sizes.Regions
	apart = min(apart, f.sizes.Regions-apart)
	return betweenFirst + kernel.Micros(apart-1)*betweenMore + f.jitter(2*ms)
}

// ---- one node ----

// time puts the processor time of some work on a node's bill.
func (h *hollow) time(part string, work func()) {
	if !h.fleet.isBilled {
		work()
		return
	}
	begun := threadNanos()
	work()
	h.bill.nanos[part] += threadNanos() - begun
}

func (h *hollow) boot() {
	f := h.fleet
	h.epoch++
	f.starts++
	h.isUp, h.compiled, h.state, h.hand = true, map[string]bool{}, nil, server.TableBuilder{Compiler: &f.compiler}
	journal := kernel.NewJournal(1)
	journal.Watch = func(entry kernel.Entry) {
		if entry.Subject == "spec" && entry.Decision == "apply" {
			h.applied = append(h.applied, application{f.now, entry.Era})
		}
	}
	settings := control.NodeSettings{
		Identity: h.identity, IsRouter: !h.control, IsController: h.control, HasFolder: h.control, Seeds: f.seeds,
		Start: f.starts, RandomSeed: f.random.Uint64(), Timing: control.DefaultTiming(), Journal: journal,
		CheckConfig: f.compiler.Check, IsCompiled: func(config []byte) bool { return h.compiled[string(config)] },
		Member: control.MemberID("none-" + h.identity.Address),
	}
	if f.sizes.Rules == Deployment {
		settings.Timing = control.SparseTiming()
		settings.Timing.BeatGone = deploymentBeatGone
		settings.Voters, settings.ServeOn, settings.AckRule = deploymentVoters, control.ServeOnAlways, control.Spread
		settings.NoFence, settings.SubmitTry = true, deploymentTry
		settings.Founding, settings.Bootstrap = control.FoundersAnnounce, h.epoch == 1
	}
	if h.control {
		var err error
		h.store, settings.Ballot, settings.Document, err = control.OpenStore(h.folder, "capacity", func() string { return fmt.Sprintf("member-%016x", f.random.Uint64()) })
		if err != nil {
			f.failed = fmt.Errorf("boot %s: %w", h.identity.Address, err)
			return
		}
		settings.Member, settings.Kept, settings.Promised = h.store.Member(), h.store.ConfigRevisions(), h.store.Promised()
	}
	h.node = control.NewNode(settings, f.now)
	epoch, tick := h.epoch, h.node.TickSpan()
	var again func()
	again = func() {
		if h.epoch == epoch && h.isUp {
			h.event(func() []any { return h.node.Tick(f.now) })
			f.in(tick+f.jitter(ms), again)
		}
	}
	f.in(f.jitter(tick), again)
}

func (h *hollow) halt() {
	h.isUp, h.node, h.state, h.isShown, h.dispatcher = false, nil, nil, false, nil
	h.epoch++
}

// later does an event on this very process after a span.
func (h *hollow) later(span kernel.Micros, event func()) {
	epoch := h.epoch
	h.fleet.in(span, func() {
		if h.epoch == epoch && h.isUp {
			event()
		}
	})
}

// event lets the owners work, carries out what they say and publishes, as the shell does.
func (h *hollow) event(work func() []any) {
	var commands []any
	h.time(Events, func() { commands = work() })
	for _, command := range commands {
		h.carryOut(command)
	}
	if h.isShown {
		h.time(Publish, h.publish)
	}
}

func (h *hollow) publish() {
	h.state = h.node.State(h.state)
	routingTable, err := h.hand.RoutingTable(h.state)
	if err != nil {
		h.fleet.failed = fmt.Errorf("publish at %s: %w", h.identity.Address, err)
	}
	if routingTable != nil && h.dispatcher != nil {
		h.dispatcher.Show(routingTable)
	}
}

func (h *hollow) carryOut(command any) {
	f := h.fleet
	switch command := command.(type) {
	case control.Outgoing:
		h.post(command.Envelope)
	case control.Save:
		var err error
		h.time(Disk, func() { err = h.store.Save(command) })
		h.later(writeTakes, func() {
			h.event(func() []any { return h.node.Saved(f.now, command.Token, err) })
		})
	case control.Prepare:
		config := string(command.Document.Config)
		if _, isKnown := f.compileNS[config]; !isKnown {
			begun := threadNanos()
			if _, err := fleetconfig.Read(command.Document.Config); err != nil {
				f.failed = fmt.Errorf("compile at %s: %w", h.identity.Address, err)
			}
			f.compileNS[config] = threadNanos() - begun
		}
		// Every real process compiles for itself; here one does, and all are charged alike.
		if f.isBilled {
			h.bill.nanos[Compile] += f.compileNS[config]
		}
		// Virtual time may not hang on this machine's speed, or no seed would play twice alike.
		h.later(kernel.Micros(len(config)/compileBytes), func() {
			h.compiled[config] = true
			h.event(func() []any { return h.node.Prepared(f.now, command.Document, nil) })
		})
	case control.Fetch:
		// Without a document where there is none any more.
		document, _ := h.store.ConfigAt(command.Mark)
		h.later(writeTakes, func() {
			h.event(func() []any { return h.node.Fetched(f.now, command.To, command.Mark, document) })
		})
	case control.Keep:
		revision, err := command.Document.ConfigRevision, h.store.Keep(command.Document)
		h.later(writeTakes, func() {
			h.event(func() []any {
				if err != nil {
					return h.node.NotKept(f.now, revision, err)
				}
				return h.node.Kept(f.now, revision)
			})
		})
	case control.SaveSnapshot:
		var err error
		h.time(Disk, func() { err = h.store.SaveSnapshot(command.Snapshot) })
		h.later(writeTakes, func() { h.event(func() []any { return h.node.SnapshotSaved(f.now, err) }) })
	case control.Reply:
		if take := h.replies[command.SubmitReply.ID]; take != nil {
			delete(h.replies, command.SubmitReply.ID)
			take(command.SubmitReply)
		}
	}
}

// post carries a message as bytes, so that nothing is shared and both ends pay for it.
func (h *hollow) post(envelope control.Envelope) {
	f := h.fleet
	to := f.byAddress[envelope.To]
	var content []byte
	var err error
	h.time(Encode, func() { content, err = json.Marshal(envelope) })
	if err != nil {
		f.failed = fmt.Errorf("encode at %s: %w", h.identity.Address, err)
		return
	}
	kind := envelope.Message.Kind()
	if f.isBilled {
		count(h.bill.sent, kind, len(content))
	}
	if to == nil || f.cutRegion >= 0 && (h.region == f.cutRegion) != (to.region == f.cutRegion) {
		return
	}
	f.in(f.way(h, to), func() {
		if !to.isUp {
			return
		}
		if f.isBilled {
			count(to.bill.got, kind, len(content))
		}
		var arrived control.Envelope
		to.time(Decode, func() { err = json.Unmarshal(content, &arrived) })
		if err != nil {
			f.failed = fmt.Errorf("decode at %s: %w", to.identity.Address, err)
			return
		}
		to.event(func() []any { return to.node.Deliver(f.now, arrived) })
	})
}

func count(counts map[string]traffic, kind string, bytes int) {
	seen := counts[kind]
	counts[kind] = traffic{seen.messages + 1, seen.bytes + int64(bytes)}
}

// ---- the fleet's life ----

// configuration makes an operator's document with so many routes for so many tenants.
func (f *Fleet) config(number uint64) []byte { return configOf(f.sizes, number) }

func configOf(sizes Sizes, number uint64) []byte {
	var text strings.Builder
	text.WriteString(`{"bindings":[`)
	for i := range sizes.Routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%05d","match":{"kind":"tenant-%05d","model":"model-%04d"},"shares":[{"pool":"pool-%02d","weight":%d}]}`,
			i, i%sizes.Tenants, i/sizes.Tenants, i%15, 1+(uint64(i)+number)%1000)
	}
	text.WriteString(`],"policy":{"prefixLength":64,"maxImbalance":2.0}}`)
	return []byte(text.String())
}

func (f *Fleet) router(index int) *hollow {
	return f.nodes[f.sizes.Control+index%(f.sizes.Nodes-f.sizes.Control)]
}

// submit gives an order to a node and tells its reply.
func (f *Fleet) submit(at *hollow, order control.Order, config []byte, take func(control.SubmitReply)) {
	f.orders++
	submit := &control.Submit{ID: fmt.Sprintf("order-%06d", f.orders), Order: order, Config: config}
	at.replies[submit.ID] = take
	at.event(func() []any { return at.node.Submit(f.now, submit) })
}

// open founds the fleet, puts a configuration in force, gives the homes to routers and lets the
// engines register.
func (f *Fleet) open() error {
	for _, h := range f.nodes {
		f.in(f.jitter(500*ms), h.boot)
	}
	if err := f.run(sec); err != nil {
		return err
	}
	if err := f.until("found the fleet", 200*ms, 60*sec, func() string { return f.lacks(0) }); err != nil {
		return err
	}
	accepted := false
	for range 5 {
		isOver := false
		f.submit(f.router(0), control.PutConfig, f.config(0), func(reply control.SubmitReply) {
			isOver, accepted = true, reply.Outcome == control.Yes
		})
		if err := f.until("put a spec in force", 50*ms, 20*sec, func() string {
			if !isOver {
				return "no receipt came"
			}
			return ""
		}); err != nil {
			return err
		}
		if accepted {
			break
		}
	}
	if !accepted {
		return Unsettled{"put a spec in force", 100 * sec, "no yes came"}
	}
	if err := f.moveHomes(); err != nil {
		return err
	}
	for i := range f.sizes.Engines {
		f.report(i, f.jitter(f.sizes.Report))
	}
	return f.until("know all engines", 500*ms, 60*sec, func() string { return f.lacks(f.sizes.Engines) })
}

// moveHomes lets routers keep the zones, where the first who asked was a control machine.
func (f *Fleet) moveHomes() error {
	return f.until("move the homes", sec, 60*sec, func() string {
		why := ""
		leader := f.leader()
		if leader == nil {
			return "nobody leads"
		}
		homes := leader.node.State(nil).Document.Homes
		for _, zone := range slices.Sorted(maps.Keys(homes)) {
			address := homes[zone]
			if home := f.byAddress[address]; home == nil || !home.control {
				continue
			}
			for _, h := range f.nodes {
				if h.identity.Zone == zone && !h.control && h.isUp {
					why = "control machines keep zones"
					envelope := control.Envelope{Fleet: "capacity", From: address, To: leader.identity.Address,
						Message: control.Message{Succeed: &control.Succeed{Zone: zone, To: h.identity.Address}}}
					leader.event(func() []any { return leader.node.Deliver(f.now, envelope) })
					break
				}
			}
		}
		return why
	})
}

func (f *Fleet) leader() *hollow {
	for _, h := range f.nodes {
		if h.isUp && h.control && h.node.State(h.state).IsLeader {
			return h
		}
	}
	return nil
}

// lacks tells what some node still lacks: a lease, the newest document, nodes, engines.
func (f *Fleet) lacks(engines int) string {
	newest, states := uint64(0), map[*hollow]*control.State{}
	for _, h := range f.nodes {
		if !h.isUp || h.node == nil {
			return h.identity.Address + " is down"
		}
		state := h.node.State(nil)
		states[h] = state
		if state.Document == nil {
			return h.identity.Address + " has no document"
		}
		newest = max(newest, state.Document.Revision)
	}
	for _, h := range f.nodes {
		state := states[h]
		switch {
		case state.Document.Revision < newest:
			return h.identity.Address + " is behind"
		case !h.control && state.Until <= f.now:
			return h.identity.Address + " has no licence"
		case len(state.Document.Homes) < f.sizes.Zones:
			return "a zone has no home"
		case len(state.Document.Register) < f.sizes.Nodes-f.sizes.Control:
			return "a router is not registered"
		case len(state.Nodes) < f.sizes.Nodes:
			return fmt.Sprintf("%s knows %d nodes", h.identity.Address, len(state.Nodes))
		case len(state.Engines) < engines:
			return fmt.Sprintf("%s knows %d engines", h.identity.Address, len(state.Engines))
		}
	}
	return ""
}

// report lets a hollow engine report for ever: under strict rules its figures, each time at
// a node of its zone; under the deployment's that it is there, each time at any node.
func (f *Fleet) report(index int, after kernel.Micros) {
	zone := index % f.sizes.Zones
	at := f.nodesOf(f.zones[zone])
	if f.sizes.Rules == Deployment {
		at = f.nodes
	}
	record := control.EngineRecord{
		ID: fmt.Sprintf("engine-%04d", index), Address: fmt.Sprintf("10.%d.200.%d:9000", zone, index/f.sizes.Zones%250),
		Zone: f.zones[zone], Pool: fmt.Sprintf("pool-%02d", index%15), Start: 1,
	}
	var again func()
	again = func() {
		record.Seq++
		h := at[f.random.IntN(len(at))]
		switch {
		case !h.isUp:
		case f.sizes.Rules == Deployment:
			h.event(func() []any { return h.node.Register(f.now, 0, record) })
		default:
			record.Up += f.sizes.Report
			record.Load, record.Streams = f.random.Int64N(60000), f.random.Int64N(64)
			h.event(func() []any { return h.node.Hear(f.now, []control.EngineRecord{record}) })
		}
		f.in(f.sizes.Report, again)
	}
	f.in(after, again)
}

func (f *Fleet) nodesOf(zone string) []*hollow {
	found := []*hollow{}
	for _, h := range f.nodes {
		if h.identity.Zone == zone {
			found = append(found, h)
		}
	}
	return found
}

// roles sorts the nodes by what they do now.
func (f *Fleet) roles() map[Role][]*hollow {
	found := map[Role][]*hollow{}
	for _, h := range f.nodes {
		if !h.isUp {
			continue
		}
		state := h.node.State(nil)
		role := Router
		switch {
		case state.IsLeader:
			role = Leader
		case state.Document != nil && slices.ContainsFunc(state.Document.Voters, func(member control.Member) bool { return member.Address == h.identity.Address }):
			role = Voter
		case h.control:
			role = Standby
		case state.IsHome:
			role = Home
		}
		found[role] = append(found[role], h)
	}
	return found
}

// memory is a Folder without a disk.
type memory struct{ files map[string][]byte }

func (m *memory) Put(name string, content []byte) error {
	m.files[name] = slices.Clone(content)
	return nil
}

func (m *memory) Get(name string) ([]byte, error) {
	content, isThere := m.files[name]
	if !isThere {
		return nil, kernel.MissingFile{Name: name}
	}
	return slices.Clone(content), nil
}

func (m *memory) List(prefix string) ([]string, error) {
	names := []string{}
	for name := range m.files {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memory) Rename(from, to string) error {
	if content, isThere := m.files[from]; isThere {
		m.files[to] = content
		delete(m.files, from)
	}
	return nil
}
