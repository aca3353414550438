package simulator

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/checker"
	"dunlinloom/control"
	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/relay"
	"dunlinloom/server"
)

const (
	ms  = kernel.Millisecond
	sec = kernel.Second
	// beginning of virtual time; not zero, so that no code leans on it.
	beginning = 1000 * sec
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

// machine is one of our nodes with its clock and its disk.
type machine struct {
	world    *World
	name     string
	identity kernel.Identity
	isRouter bool
	isCore   bool // runs a controller
	seeds    []string
	disk     *disk

	// The own clock: an offset and a rate of its own.
	offset kernel.Micros
	rate   float64

	isUp     bool
	isFrozen bool
	isGone   bool // never comes back
	epoch    int
	held     []func() // what waits for a frozen machine
	// powerTrap counts down with each synced write; at its last the power goes.
	powerTrap int
	leads     bool
	// compiled are the configurations that this process has compiled; compileSlow is added to each.
	compiled    map[string]bool
	compileSlow kernel.Micros
	isLeaving   bool
	node        *control.Node
	store       *control.Store
	dispatcher  *relay.Dispatcher
	hand        server.TableBuilder
	journal     *kernel.Journal
	calls       map[string]*call
	saving      *control.Save
	looked      *control.Document // checked already
	top         uint64            // the highest revision that this process has applied
	replies     map[string]func(control.SubmitReply)
	// deliver takes what the network brings; tests of the network put their own here.
	deliver func(control.Envelope)
}

// World is one simulated fleet with its surroundings.
type World struct {
	Seed     uint64
	now      kernel.Micros
	timers   timers
	order    uint64
	random   *rand.Rand
	machines []*machine
	byPeer   map[string]*machine
	engines  []*engine
	seeds    []string
	zones    []string
	events   []checker.Event
	// The network: blocked ways, and what else it does wrong.
	blocked     map[[2]string]int
	lossShare   float64
	dupShare    float64
	slow        kernel.Micros
	listing     []pastListing
	revision    uint64
	listLag     kernel.Micros
	truths      map[uint64]string // revision to the digest of what was committed under it
	wrongs      []string          // violations that only a look inside shows
	callCount   int
	configCount int
	operator    *operator
	startTick   uint64
	Trace       func(at kernel.Micros, line string)
	Crossed     map[string]int // bytes between zones by kind of message
	Within      int
	retired     relay.Counts
	// isBiased strikes at the moments that protections are for; isCalm ends all faults.
	isBiased, isCalm bool
	// Tally counts how often each protection did its work, Struck the faults.
	Tally, Struck map[string]int
	afterYes      func(accepting *machine)
	callers       callers
	lastStruck    string
	lastStruckAt  kernel.Micros
	lastLed       kernel.Micros
	isTight       bool // elections that collide
	options       Options
	figures       figures
	compiler      fleetconfig.Compiler
}

// Knobs shape the load and what the engines can do.
type Options struct {
	Prefixes, PrefixLen int
	TailLow, TailHigh   int // prompt tokens after the prefix
	OutLow, OutHigh     int
	Prefill, Decode     kernel.Micros // a prompt token that is not cached, a token of output
	Cache               int           // prefixes that an engine's cache holds
	Kinds               []callKind    // what callers ask for; none: one kind, dealt at random
	Pools               int           // engines are dealt to so many; each configuration leaves one out
	Slots               int
	ReportLag           kernel.Micros
	TTFTLimit           kernel.Micros
	Policy              map[string]any // of the configuration
	Trial               func(m *machine) relay.Trial
	AdmissionWait       kernel.Micros
	ColdSlow            int // how much slower an engine is while it is cold
	DataBytes           bool
	Orders              orders
}

func defaultOptions() Options {
	return Options{
		Prefixes: 24, PrefixLen: 80, TailHigh: 300, OutLow: 5, OutHigh: 125, Prefill: 60, Decode: 4 * ms,
		Cache: 64, Slots: 8, ReportLag: 500 * ms, ColdSlow: 1,
	}
}

// figures gather what the measurements are about.
type figures struct {
	ttft         []kernel.Micros
	hits, misses int // prefix tokens that were cached, and that were not
	work         map[string]int64
	coldPeak     int
	lateRejects  []kernel.Micros
	crossed      int64 // bytes of requests and answers between zones
	within       int64
	errors       []float64 // of the load a router reckoned with, by the true one
}

type pastListing struct {
	at      kernel.Micros
	listing control.Listing
}

// NewWorld lays out a deployment: disk machines first, one a zone.
func NewWorld(seed uint64, zones, nodes, disks, engines int) *World {
	options := defaultOptions()
	options.Kinds, options.Pools = dayKinds, 6
	return newWorld(seed, zones, nodes, disks, engines, options)
}

func newWorld(seed uint64, zones, nodes, disks, engines int, options Options) *World {
	w := &World{
		Seed: seed, now: beginning, random: rand.New(rand.NewPCG(seed, 0x7a9)),
		byPeer: map[string]*machine{}, blocked: map[[2]string]int{}, truths: map[uint64]string{},
		listLag: 2 * sec, startTick: 1, Crossed: map[string]int{},
		options: options, figures: figures{work: map[string]int64{}},
		Tally: map[string]int{}, Struck: map[string]int{},
	}
	for i := range zones {
		w.zones = append(w.zones, fmt.Sprintf("z%d", i+1))
	}
	for i := range nodes {
		w.addMachine(w.zones[i%zones], i < disks)
	}
	for _, m := range w.machines[:3] {
		w.seeds = append(w.seeds, m.identity.Address)
	}
	for _, m := range w.machines {
		m.seeds = w.seeds
	}
	for i := range engines {
		w.engines = append(w.engines, &engine{
			world: w, id: fmt.Sprintf("e%02d", i), zone: w.zones[i%zones], pool: w.pool(i), start: 1, isUp: true, bornAt: beginning - 100*sec,
			runs: map[string]*call{}, cache: map[uint32]uint64{},
		})
	}
	w.operator = &operator{world: w, acked: map[uint64]string{}, open: map[string]bool{}}
	w.relist()
	for _, m := range w.machines {
		m.boot()
	}
	for _, e := range w.engines {
		e.report()
	}
	return w
}

func (w *World) addMachine(zone string, hasDisk bool) *machine {
	index := len(w.machines)
	m := &machine{
		world: w, name: fmt.Sprintf("m%02d", index), isRouter: true, isCore: hasDisk,
		identity: kernel.Identity{Fleet: "sim", Address: fmt.Sprintf("10.0.0.%d:7000", index+1), Public: fmt.Sprintf("10.0.0.%d:8000", index+1), Zone: zone},
		offset:   kernel.Micros(w.random.Int64N(int64(1000 * sec))), rate: 1 + (w.random.Float64()-0.5)*0.004,
	}
	if hasDisk {
		m.disk = newDisk()
	}
	w.machines = append(w.machines, m)
	w.byPeer[m.identity.Address] = m
	m.seeds = w.seeds
	return m
}

// pool names an engine's pool.
func (w *World) pool(index int) string {
	if w.options.Pools == 0 {
		return "main"
	}
	return fmt.Sprintf("p%d", index%w.options.Pools)
}

func (w *World) trace(line string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now-beginning, fmt.Sprintf(line, args...))
	}
}

func (w *World) wrong(line string, args ...any) {
	w.wrongs = append(w.wrongs, fmt.Sprintf("%.3f s: ", float64(w.now-beginning)/1e6)+fmt.Sprintf(line, args...))
}

func (w *World) take(event checker.Event) {
	event.At = w.now
	w.events = append(w.events, event)
}

// in rings after a span of true time.
func (w *World) in(span kernel.Micros, ring func()) {
	w.order++
	heap.Push(&w.timers, timer{w.now + max(span, 0), w.order, ring})
}

// Run lets virtual time pass.
func (w *World) Run(span kernel.Micros) {
	end := w.now + span
	for len(w.timers) > 0 && w.timers[0].at <= end {
		next := heap.Pop(&w.timers).(timer)
		w.now = next.at
		next.ring()
	}
	w.now = end
}

func (w *World) between(low, high kernel.Micros) kernel.Micros {
	return low + kernel.Micros(w.random.Int64N(int64(high-low)+1))
}

// ---- machines ----

func (m *machine) clock() kernel.Micros {
	return m.offset + kernel.Micros(float64(m.world.now)*m.rate)
}

func (m *machine) boot() {
	w := m.world
	m.epoch++
	m.isUp, m.isFrozen, m.held, m.saving, m.top = true, false, nil, nil, 0
	m.powerTrap, m.isLeaving = 0, false
	m.compiled = map[string]bool{}
	m.calls, m.replies = map[string]*call{}, map[string]func(control.SubmitReply){}
	m.hand = server.TableBuilder{Compiler: &w.compiler}
	m.journal = kernel.NewJournal(4096)
	m.journal.Watch = func(entry kernel.Entry) { w.watch(m, entry) }
	w.startTick++
	settings := control.NodeSettings{
		Identity: m.identity, IsRouter: m.isRouter, IsController: m.isCore, HasFolder: m.disk != nil,
		Seeds: m.seeds, Start: w.startTick, RandomSeed: w.random.Uint64(), Timing: control.DefaultTiming(), Journal: m.journal,
		CheckConfig: w.compiler.Check,
		IsCompiled:  func(config []byte) bool { return m.compiled[string(config)] },
		Member:      control.MemberID("none-" + m.name),
	}
	if w.isTight {
		settings.Timing.ElectionHigh = settings.Timing.ElectionLow + 30*ms
	}
	m.store = nil
	if m.disk != nil {
		m.disk.stepsTo = -1
		var err error
		if m.store, settings.Ballot, settings.Document, err = control.OpenStore(m.disk, "sim", func() string { return fmt.Sprintf("member-%016x", w.random.Uint64()) }); err != nil {
			// A start on a full disk fails, as the daemon's would; the supervisor tries again.
			m.isUp = false
			w.trace("%s can't start: %v", m.name, err)
			epoch := m.epoch
			w.in(sec, func() {
				if m.epoch == epoch && !m.isGone {
					m.boot()
				}
			})
			return
		}
		settings.Member, settings.Kept, settings.Promised = m.store.Member(), m.store.ConfigRevisions(), m.store.Promised()
	}
	m.dispatcher = relay.NewDispatcher(m.identity.Address, m.identity.Zone, func(now kernel.Micros, subject, decision, why string) {
		m.journal.Note(now, "relay", subject, decision, why)
	})
	if w.options.Trial != nil {
		m.dispatcher.Trial = w.options.Trial(m)
	}
	m.node = control.NewNode(settings, m.clock())
	m.deliver = func(envelope control.Envelope) { m.carry(m.node.Deliver(m.clock(), envelope)) }
	m.tick(m.epoch)
	m.poll(m.epoch)
	m.probe(m.epoch, map[string]int{})
	w.trace("%s up", m.name)
}

func (m *machine) tick(epoch int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	// A frozen process misses its ticks; one is due when it wakes.
	if !m.isFrozen {
		m.carry(m.node.Tick(m.clock()))
	}
	m.world.in(20*ms+kernel.Micros(m.world.random.Int64N(int64(2*ms))), func() { m.tick(epoch) })
}

// do runs an event on the machine, or holds it while the machine is frozen.
func (m *machine) do(event func()) {
	switch {
	case !m.isUp:
	case m.isFrozen:
		if len(m.held) < 4000 {
			m.held = append(m.held, event)
		}
	default:
		event()
	}
}

// later does an event on this very process after a span.
func (m *machine) later(span kernel.Micros, event func()) {
	epoch := m.epoch
	m.world.in(span, func() {
		if m.epoch == epoch {
			m.do(event)
		}
	})
}

func (m *machine) freeze(span kernel.Micros) {
	if !m.isUp || m.isFrozen {
		return
	}
	m.world.trace("%s frozen for %d us", m.name, span)
	m.isFrozen = true
	epoch := m.epoch
	m.world.in(span, func() {
		if m.epoch != epoch {
			return
		}
		m.world.trace("%s wakes", m.name)
		m.isFrozen = false
		held := m.held
		m.held = nil
		for _, event := range held {
			if m.epoch == epoch && m.isUp {
				event()
			}
		}
	})
}

// halt ends the process. A write under way may have got any number of its steps done.
func (m *machine) halt() {
	if !m.isUp {
		return
	}
	w := m.world
	w.trace("%s down", m.name)
	if m.saving != nil && m.store != nil && !m.disk.isStall {
		m.disk.stepsTo = w.random.IntN(6)
		if err := m.store.Save(*m.saving); err != nil {
			w.trace("%s: %v", m.name, err)
		}
	}
	w.take(checker.Event{What: checker.NodeKilled, Node: m.name})
	counts := m.dispatcher.Counts()
	w.retired.FirstRounds += counts.FirstRounds
	w.retired.Retries += counts.Retries
	m.isUp, m.isFrozen, m.held = false, false, nil
	m.epoch++
	w.lostLead(m)
	w.forget()
	for _, tag := range slices.Sorted(maps.Keys(m.calls)) {
		m.calls[tag].routerDied()
	}
}

// lostLead keeps the moment at which a leader was last there.
func (w *World) lostLead(m *machine) {
	if m.leads {
		m.leads, w.lastLed = false, w.now
	}
}

// forget takes back that a mark was learned when every process is gone before a leader
// could write it down: docs/limits.md says so, and the engine says it again.
func (w *World) forget() {
	for _, m := range w.machines {
		if m.isUp {
			return
		}
	}
	w.events = slices.DeleteFunc(w.events, func(event checker.Event) bool {
		return event.What == checker.EngineLeaving && !event.IsKept && w.lastLed-event.At < 1500*ms
	})
}

func (m *machine) restart(after kernel.Micros) {
	epoch := m.epoch
	m.world.in(after, func() {
		if m.epoch == epoch && !m.isUp && !m.isGone {
			m.boot()
		}
	})
}

func (m *machine) carry(commands []any) {
	w := m.world
	for _, command := range commands {
		switch command := command.(type) {
		case control.Outgoing:
			w.post(m, command.Envelope)
		case control.Save:
			m.save(command)
		case control.Probe:
			m.later(w.between(ms, 3*ms), func() {
				for _, e := range w.engines {
					if e.id == command.Engine.ID && (!e.isUp || e.start != command.Engine.Start) {
						m.carry(m.node.Probed(m.clock(), command.Engine.ID, command.Engine.Start, true))
					}
				}
			})
		case control.Prepare:
			// Megabytes take half a second, on a busy machine more.
			config := command.Document.Config
			m.later(kernel.Micros(len(config)/8)+w.between(0, 30*ms)+m.compileSlow, func() {
				m.compiled[string(config)] = true
				m.carry(m.node.Prepared(m.clock(), command.Document, nil))
			})
		case control.Fetch:
			m.later(ms, func() {
				// Without a document where there is none any more.
				document, _ := m.store.ConfigAt(command.Mark)
				m.carry(m.node.Fetched(m.clock(), command.To, command.Mark, document))
			})
		case control.Keep:
			m.later(ms, func() {
				if err := m.store.Keep(command.Document); err != nil {
					m.carry(m.node.NotKept(m.clock(), command.Document.ConfigRevision, err))
					return
				}
				m.carry(m.node.Kept(m.clock(), command.Document.ConfigRevision))
			})
		case control.Reply:
			if take := m.replies[command.SubmitReply.ID]; take != nil {
				delete(m.replies, command.SubmitReply.ID)
				take(command.SubmitReply)
			}
		}
	}
	state := m.node.State(nil)
	routingTable, err := m.hand.RoutingTable(state)
	if err != nil {
		w.wrong("%s can't read a committed spec: %v", m.name, err)
	}
	if routingTable != nil {
		m.dispatcher.Show(routingTable)
	}
	if state.Document == nil {
		return
	}
	if state.Document == m.looked {
		return
	}
	m.looked = state.Document
	// Looked at from inside: one revision is one document, on every node and for ever.
	revision, digest := state.Document.Revision, digestOf(state.Document)
	if known, isKnown := w.truths[revision]; isKnown && known != digest {
		w.wrong("%s holds another generation %d than was committed", m.name, revision)
	}
	w.truths[revision] = digest
	if revision < m.top {
		w.wrong("%s slipped from generation %d to %d", m.name, m.top, revision)
	}
	m.top = max(m.top, revision)
}

func digestOf(document *control.Document) string {
	settled := *document
	settled.Term = 0 // the same content is proposed again under later terms
	content, err := json.Marshal(settled)
	if err != nil {
		panic(kernel.ServiceError{Name: "digest", Why: err.Error()})
	}
	return string(content)
}

func (m *machine) save(save control.Save) {
	m.saving = &save
	latency := m.world.between(300, 4*ms) + m.disk.slowness
	var finish func()
	finish = func() {
		if m.disk.isStall {
			m.later(50*ms, finish)
			return
		}
		err := m.store.Save(save)
		m.saving = nil
		if err == nil && m.powerTrap > 0 {
			if m.powerTrap--; m.powerTrap == 0 {
				// Synced, and nobody will ever hear of it from this process.
				m.world.Tally["power went between sync and answer"]++
				bounce(m, m.world.between(50*ms, 2*sec))
				return
			}
		}
		m.carry(m.node.Saved(m.clock(), save.Token, err))
	}
	m.later(latency, finish)
}

// poll fetches the platform's list where it is this node's duty.
func (m *machine) poll(epoch int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	if !m.isFrozen {
		if state := m.node.State(nil); state.IsHome || state.IsHomeless {
			m.carry(m.node.TakeListing(m.clock(), m.world.listed()))
		}
	}
	m.world.in(sec, func() { m.poll(epoch) })
}

// probe tries the zone's engines, as a home does.
func (m *machine) probe(epoch int, missed map[string]int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	if state := m.node.State(nil); !m.isFrozen && state.IsHome {
		for _, known := range state.Engines {
			for _, e := range m.world.engines {
				if e.id != known.ID || known.Zone != m.identity.Zone || known.IsUnlisted {
					continue
				}
				isThere := e.isUp && !e.isDark
				if isThere {
					missed[e.id] = 0
				} else {
					missed[e.id]++
				}
				if isDark := missed[e.id] >= 3; isDark != known.IsDark && (isDark || isThere) {
					m.carry(m.node.Probed(m.clock(), known.ID, known.Start, isDark))
				}
			}
		}
	}
	m.world.in(500*ms, func() { m.probe(epoch, missed) })
}

// ---- network ----

func (w *World) block(from, to string) { w.blocked[[2]string{from, to}]++ }
func (w *World) unblock(from, to string) {
	way := [2]string{from, to}
	w.blocked[way] = max(w.blocked[way]-1, 0)
}

// cut blocks all ways between two groups, or only those from the first to the second.
func (w *World) cut(one, other []*machine, isOneWay bool, span kernel.Micros) {
	edit := func(change func(from, to string)) {
		for _, a := range one {
			for _, b := range other {
				if a == b {
					continue
				}
				change(a.identity.Address, b.identity.Address)
				if !isOneWay {
					change(b.identity.Address, a.identity.Address)
				}
			}
		}
	}
	edit(w.block)
	w.in(span, func() {
		edit(w.unblock)
		w.trace("a cut heals")
	})
}

func (w *World) post(from *machine, envelope control.Envelope) {
	to := w.byPeer[envelope.To]
	// Over the wire and back, as between processes: nothing may be shared by pointer,
	// and what has no name on the wire must not arrive.
	content, err := json.Marshal(envelope)
	if err != nil {
		panic(kernel.ServiceError{Name: "wire", Why: err.Error()})
	}
	if to == nil {
		return
	}
	if to.identity.Zone != from.identity.Zone {
		w.Crossed[envelope.Message.Kind()] += len(content)
	} else {
		w.Within += len(content)
	}
	copies := 1
	if w.random.Float64() < w.dupShare {
		copies = 2
	}
	for range copies {
		if w.blocked[[2]string{envelope.From, envelope.To}] > 0 || w.random.Float64() < w.lossShare {
			continue
		}
		latency := w.between(200, 2*ms)
		if to.identity.Zone != from.identity.Zone {
			latency += w.between(500, 4*ms)
		}
		if w.slow > 0 {
			latency += w.between(0, w.slow)
		}
		w.in(latency, func() {
			to.do(func() {
				var arrived control.Envelope
				if err := json.Unmarshal(content, &arrived); err != nil {
					panic(kernel.ServiceError{Name: "wire", Why: err.Error()})
				}
				to.deliver(arrived)
			})
		})
	}
}

// ---- the platform's list ----

func (w *World) relist() {
	w.revision++
	listing := control.Listing{Revision: w.revision}
	for _, e := range w.engines {
		if !e.isUnlisted {
			state := "serving"
			if e.isLeavingListed {
				state = "leaving"
			}
			listing.Engines = append(listing.Engines, control.ListingEngine{ID: e.id, Address: "10.1.0.1:" + e.id[1:], Zone: e.zone, Pool: e.pool, Start: e.start, State: state})
		}
	}
	w.listing = append(w.listing, pastListing{w.now, listing})
}

func (w *World) listed() control.Listing {
	shown := w.listing[0].listing
	for _, past := range w.listing {
		if w.now-past.at >= w.listLag {
			shown = past.listing
		}
	}
	copied := shown
	copied.Engines = append([]control.ListingEngine(nil), shown.Engines...)
	for i := range copied.Engines {
		for _, e := range w.engines {
			if e.id == copied.Engines[i].ID && e.start == copied.Engines[i].Start {
				copied.Engines[i].Up = w.now - e.bornAt
			}
		}
	}
	return copied
}
