package simulator

import (
	"fmt"

	"dunlinloom/checker"
	"dunlinloom/control"
	"dunlinloom/kernel"
)

// Plan says what one simulated run is to be like.
type Plan struct {
	Seed       uint64
	Deployment string // qurum or cronometro
	Span       kernel.Micros
	Rate       float64
	Trace      func(at kernel.Micros, line string)
}

// Outcome is what a run ended with.
type Outcome struct {
	Plan    Plan
	Review  checker.Review
	Inside  []string // violations that only a look inside shows
	Orders  [3]int   // yes, no, unsure
	Crossed map[string]int
	Within  int
	Final   string // the fault that ended the day
	// Tally counts what protections did, Struck which faults struck.
	Tally, Struck    map[string]int
	Callers, Content int // callers, and those that were served in the end
	Repaired         bool
	// Events is everything that was seen; equal seeds give equal events.
	Events []checker.Event
}

// IsClean tells that nothing was broken.
func (o Outcome) IsClean() bool {
	return len(o.Review.Violations) == 0 && len(o.Inside) == 0 && o.Repaired
}

// Lines tells of every violation.
func (o Outcome) Lines() []string {
	lines := []string{}
	for _, violation := range o.Review.Violations {
		lines = append(lines, fmt.Sprintf("%.3f s: %s: %s", float64(violation.At-beginning)/1e6, violation.Rule, violation.Detail))
	}
	lines = append(lines, o.Inside...)
	if !o.Repaired {
		lines = append(lines, "after the repair no order was acknowledged")
	}
	return lines
}

// WorldOf lays out a deployment by its name.
func WorldOf(seed uint64, deployment string) *World {
	if deployment == "cronometro" {
		return NewWorld(seed, 3, 12, 3, 18)
	}
	return NewWorld(seed, 4, 11, 4, 18)
}

// a fault does something to the world and undoes it by itself.
type fault struct {
	name   string
	weight int
	strike func(w *World)
}

func (w *World) any() *machine { return w.machines[w.random.IntN(len(w.machines))] }

func (w *World) core() []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		if m.isCore && !m.isGone {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) anyCore() *machine {
	core := w.core()
	return core[w.random.IntN(len(core))]
}

func (w *World) leader() *machine {
	for _, m := range w.core() {
		if m.isUp && m.node.State(nil).IsLeader {
			return m
		}
	}
	return w.anyCore()
}

func (w *World) anyEngine() *engine { return w.engines[w.random.IntN(len(w.engines))] }

func (w *World) others(than []*machine) []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		isIn := false
		for _, one := range than {
			isIn = isIn || one == m
		}
		if !isIn {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) inZone(zone string) []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		if m.identity.Zone == zone {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) anyZone() string { return w.zones[w.random.IntN(len(w.zones))] }

func bounce(m *machine, after kernel.Micros) {
	m.halt()
	m.restart(after)
}

// faults that may strike at any time of a day.
var faults = []fault{
	{"kill a node", 4, func(w *World) { bounce(w.any(), w.between(200*ms, 6*sec)) }},
	{"kill the leader", 3, func(w *World) { bounce(w.leader(), w.between(200*ms, 6*sec)) }},
	{"freeze a node", 4, func(w *World) { w.any().freeze(w.between(200*ms, 8*sec)) }},
	{"freeze the leader", 3, func(w *World) { w.leader().freeze(w.between(500*ms, 10*sec)) }},
	{"stop a node politely", 2, func(w *World) { w.leave(w.any()) }},
	{"stop the leader politely", 2, func(w *World) { w.leave(w.leader()) }},
	{"split the core", 2, func(w *World) {
		core := w.core()
		cut := 1 + w.random.IntN(max(len(core)-1, 1))
		w.cut(core[:cut], core[cut:], false, w.between(sec, 8*sec))
	}},
	{"one way out of the leader is cut", 2, func(w *World) {
		leader := w.leader()
		w.cut([]*machine{leader}, w.others([]*machine{leader}), true, w.between(sec, 6*sec))
	}},
	{"one way to the leader is cut", 2, func(w *World) {
		leader := w.leader()
		w.cut(w.others([]*machine{leader}), []*machine{leader}, true, w.between(sec, 6*sec))
	}},
	{"the core is cut off", 2, func(w *World) {
		core := w.core()
		w.cut(core, w.others(core), false, w.between(sec, 8*sec))
	}},
	{"a machine is cut off", 3, func(w *World) {
		one := []*machine{w.any()}
		w.cut(one, w.others(one), false, w.between(sec, 8*sec))
	}},
	{"a zone is cut off", 2, func(w *World) {
		zone := w.inZone(w.anyZone())
		w.cut(zone, w.others(zone), false, w.between(sec, 8*sec))
	}},
	{"a zone is lost", 1, func(w *World) {
		for _, m := range w.inZone(w.anyZone()) {
			bounce(m, w.between(2*sec, 8*sec))
		}
	}},
	{"the network loses and doubles", 2, func(w *World) {
		w.lossShare, w.dupShare, w.slow = 0.1+0.2*w.random.Float64(), 0.1, 50*ms
		w.in(w.between(sec, 6*sec), func() { w.lossShare, w.dupShare, w.slow = 0, 0, 0 })
	}},
	{"a disk is slow", 2, func(w *World) {
		d := w.anyCore().disk
		d.slowness = w.between(50*ms, 900*ms)
		w.in(w.between(2*sec, 10*sec), func() { d.slowness = 0 })
	}},
	{"the leader's disk stalls", 2, func(w *World) {
		d := w.leader().disk
		d.isStall = true
		w.in(w.between(sec, 8*sec), func() { d.isStall = false })
	}},
	{"a disk is full", 2, func(w *World) {
		d := w.anyCore().disk
		d.isFull = true
		w.in(w.between(sec, 8*sec), func() { d.isFull = false })
	}},
	{"a disk is lost", 1, func(w *World) {
		m := w.anyCore()
		w.loseDisk(m)
		m.restart(w.between(500*ms, 5*sec))
	}},
	{"a core machine is replaced by an empty one elsewhere", 1, func(w *World) {
		if len(w.machines) < 20 && w.canLoseDisk() {
			w.replace(w.anyCore())
		}
	}},
	{"all of the core is killed", 1, func(w *World) {
		for _, m := range w.core() {
			bounce(m, w.between(sec, 4*sec))
		}
	}},
	{"the whole fleet is killed", 1, func(w *World) {
		for _, m := range w.machines {
			bounce(m, w.between(sec, 3*sec))
		}
	}},
	{"an engine crashes", 4, func(w *World) {
		e := w.anyEngine()
		e.halt()
		w.in(w.between(500*ms, 8*sec), e.boot)
	}},
	{"engines decline everything for a while", 1, func(w *World) {
		some := w.engines[w.random.IntN(len(w.engines)):]
		for _, e := range some {
			e.isDeclining = true
		}
		w.in(w.between(sec, 4*sec), func() {
			for _, e := range some {
				e.isDeclining = false
			}
		})
	}},
	{"an engine goes dark", 2, func(w *World) {
		e := w.anyEngine()
		e.goDark(w.between(sec, 8*sec))
	}},
	{"an engine leaves", 4, func(w *World) { w.retireEngine(w.anyEngine()) }},
	{"an engine is marked leaving at one node", 3, func(w *World) { w.mark(w.any(), w.anyEngine()) }},
	{"engines are rolled", 1, func(w *World) {
		for i, e := range w.engines[:6] {
			w.in(kernel.Micros(i)*1500*ms, func() { w.retireEngine(e) })
		}
	}},
	{"a spec", 6, func(w *World) { w.operator.putConfig(nil) }},
	{"two specs at once", 3, func(w *World) {
		base := uint64(1)
		for revision := range w.operator.acked {
			base = max(base, revision)
		}
		w.operator.putConfig(&base)
		w.operator.putConfig(&base)
	}},
	{"a storm of specs", 1, func(w *World) {
		for range 12 {
			w.operator.putConfig(nil)
		}
	}},
	{"a zone is emptied", 3, func(w *World) { w.operator.empty(w.anyZone(), w.between(6*sec, 12*sec)) }},
	{"the platform's list lags", 1, func(w *World) {
		w.listLag = w.between(5*sec, 15*sec)
		w.in(10*sec, func() { w.listLag = 2 * sec })
	}},
	{"the power goes between sync and answer", 3, func(w *World) { w.anyCore().powerTrap = 1 + w.random.IntN(3) }},
	{"the power goes between the leader's sync and answer", 2, func(w *World) { w.leader().powerTrap = 1 + w.random.IntN(2) }},
	{"the accepting node dies just after a yes", 2, func(w *World) {
		w.afterYes = func(m *machine) { bounce(m, w.between(200*ms, 4*sec)) }
		w.operator.putConfig(nil)
	}},
	{"the leader loses its disk just after a yes", 1, func(w *World) {
		w.afterYes = func(*machine) {
			m := w.leader()
			w.loseDisk(m)
			m.restart(w.between(500*ms, 5*sec))
		}
		w.operator.putConfig(nil)
	}},
	{"a voter loses its power just after a yes", 2, func(w *World) {
		w.afterYes = func(*machine) { bounce(w.anyCore(), w.between(100*ms, 4*sec)) }
		w.operator.putConfig(nil)
	}},
	{"the platform loses patience with a stop", 1, func(w *World) {
		m := w.any()
		w.leave(m)
		epoch := m.epoch
		w.in(5*sec, func() {
			if m.epoch == epoch && m.isLeaving && !w.isCalm {
				bounce(m, sec)
			}
		})
	}},
	{"an engine is gone for good", 1, func(w *World) {
		e := w.anyEngine()
		e.halt()
		e.isUnlisted = true
		w.relist()
		w.in(15*sec, e.boot)
	}},
	{"all engines are rolled", 1, func(w *World) {
		for i, e := range w.engines {
			w.in(kernel.Micros(i)*800*ms, func() {
				if !w.isCalm {
					w.retireEngine(e)
				}
			})
		}
	}},
	{"a crowd", 2, func(w *World) { w.Traffic(60, 4*sec, 0) }},
	{"a crowd on one prefix", 2, func(w *World) { w.Traffic(60, 4*sec, 0.9) }},
}

// finals end a day; everything comes back at the moment of repair.
var finals = []fault{
	{"nothing", 1, func(*World) {}},
	{"all of the core is killed", 2, func(w *World) {
		for _, m := range w.core() {
			m.halt()
		}
	}},
	{"the whole fleet is killed", 2, func(w *World) {
		for _, m := range w.machines {
			m.halt()
		}
	}},
	{"a zone is lost", 2, func(w *World) {
		for _, m := range w.inZone(w.anyZone()) {
			m.halt()
		}
	}},
	{"the core is split", 2, func(w *World) {
		core := w.core()
		w.cut(core[:2], core[2:], false, 6*sec)
	}},
	{"a disk is lost for good", 2, func(w *World) {
		if w.canLoseDisk() {
			w.loseDisk(w.anyCore())
		}
	}},
	{"the leader freezes", 2, func(w *World) { w.leader().freeze(6 * sec) }},
}

// newest is the newest document that any live node has applied.
func (w *World) newest() *control.Document {
	var newest *control.Document
	for _, m := range w.machines {
		if !m.isUp || m.isFrozen {
			continue
		}
		if document := m.node.State(nil).Document; document != nil && (newest == nil || newest.Revision < document.Revision) {
			newest = document
		}
	}
	return newest
}

// canLoseDisk tells that the core can bear the loss of one more disk: the brief promises
// no more than one at a time, and in the middle of a change there are four voters.
func (w *World) canLoseDisk() bool {
	living, all := w.voters()
	return living >= voterCountWanted && living-1 > all/2
}

// voters counts the voters that are up and have their folder, by the newest document.
func (w *World) voters() (living, all int) {
	var newest *control.Document
	for _, m := range w.machines {
		if m.isUp && m.node != nil {
			if document := m.node.State(nil).Document; document != nil && (newest == nil || document.Revision > newest.Revision) {
				newest = document
			}
		}
	}
	if newest != nil {
		all = len(newest.Voters)
		for _, voter := range newest.Voters {
			if m := w.byPeer[voter.Address]; m != nil && m.isUp && m.store != nil && m.store.Member() == voter.ID {
				living++
			}
		}
	}
	return living, all
}

// loseDisk takes a disk together with its machine, when the rest of the core can
// bear it: the brief promises no more than one lost disk at a time.
func (w *World) loseDisk(m *machine) {
	if !w.canLoseDisk() || !m.isUp {
		return
	}
	w.trace("%s loses its disk", m.name)
	m.halt()
	m.disk.files = map[string][]byte{}
}

// replace puts an empty machine at a new address in the place of one.
func (w *World) replace(m *machine) {
	m.halt()
	m.isGone = true
	fresh := w.addMachine(m.identity.Zone, true)
	// Who sets a machine up later names processes that are there by then.
	fresh.seeds = nil
	for _, other := range w.machines {
		if other.isUp && len(fresh.seeds) < 3 {
			fresh.seeds = append(fresh.seeds, other.identity.Address)
		}
	}
	w.trace("%s is replaced by %s", m.name, fresh.name)
	w.in(w.between(500*ms, 3*sec), func() {
		if !fresh.isUp {
			fresh.boot()
		}
	})
}

// leave stops a node politely: it hands its duties on, and answers what it has.
func (w *World) leave(m *machine) {
	if !m.isUp || m.isFrozen {
		return
	}
	w.trace("%s is asked to stop", m.name)
	epoch := m.epoch
	m.isLeaving = true
	m.carry(m.node.Leave(m.clock()))
	w.take(checker.Event{What: checker.NodeStopping, Node: m.name})
	m.later(sec, m.dispatcher.Shut)
	var look func(tries int)
	look = func(tries int) {
		if m.epoch != epoch {
			return
		}
		if len(m.calls) > 0 && tries < 600 {
			w.in(50*ms, func() { look(tries + 1) })
			return
		}
		w.take(checker.Event{What: checker.NodeStopped, Node: m.name})
		bounce(m, w.between(500*ms, 3*sec))
	}
	w.in(1500*ms, func() { look(0) })
}

// goDark has an engine take requests and say nothing for a while.
func (e *engine) goDark(span kernel.Micros) {
	w := e.world
	e.isDark = true
	w.take(checker.Event{What: checker.EngineFailed, Engine: e.id})
	w.in(span, e.lighten)
}

func (e *engine) lighten() {
	if e.isDark {
		e.isDark = false
		e.world.take(checker.Event{What: checker.EngineMended, Engine: e.id})
	}
}

func (w *World) retireEngine(e *engine) {
	if !e.isUp || e.isLeaving {
		return
	}
	start := e.start
	w.trace("engine %s is leaving", e.id)
	e.isLeaving, e.isLeavingListed = true, true
	w.relist()
	e.retire(start, 6*sec)
}

// retire ends a leaving engine once its streams are done, or its platform's patience is.
func (e *engine) retire(start uint64, after kernel.Micros) {
	w := e.world
	begun := w.now
	var look func()
	look = func() {
		if e.start != start || !e.isUp {
			return
		}
		if len(e.runs) > 0 && (w.isCalm || w.now-begun < 12*sec) {
			w.in(200*ms, look)
			return
		}
		e.halt()
		w.in(w.between(500*ms, 3*sec), e.boot)
	}
	w.in(after, look)
}

// mark tells one node, once and by no other way, that an engine is leaving. Where
// that node is cut off or dies at once, nobody else can have learned of it.
func (w *World) mark(m *machine, e *engine) {
	if !m.isUp || m.isFrozen || !e.isUp || e.isLeaving || w.isCutOff(m) {
		return
	}
	start, at := e.start, w.now
	for _, known := range m.node.State(nil).Engines {
		if known.ID != e.id || known.Start != start {
			continue
		}
		w.trace("engine %s is marked leaving at %s", e.id, m.name)
		now := m.clock()
		known.IsLeaving, known.Age, known.Up, known.Back = true, now-known.AsOf, now-known.StartedAt, now-known.BackAt
		m.carry(m.node.Hear(now, []control.EngineRecord{known}))
		// It counts as learned once the operator has the reply; until then the one
		// node that was told may have died with it.
		mark := control.Submit{ID: fmt.Sprintf("leaving-%s-%d", e.id, start), Order: control.MarkEngine, Engine: e.id, Start: start}
		m.replies[mark.ID] = func(reply control.SubmitReply) {
			if reply.Outcome == control.Yes {
				w.trace("the mark of engine %s is kept", e.id)
				w.events = append(w.events, checker.Event{At: at, What: checker.EngineLeaving, Engine: e.id, Start: start, IsKept: true})
			}
		}
		m.carry(m.node.Submit(now, &mark))
		e.retire(start, 8*sec)
	}
}

func (w *World) isCutOff(m *machine) bool {
	for way, count := range w.blocked {
		if count > 0 && way[0] == m.identity.Address {
			return true
		}
	}
	return w.lossShare > 0
}

func draw(w *World, from []fault) fault {
	total := 0
	for _, fault := range from {
		total += fault.weight
	}
	at := w.random.IntN(total)
	for _, fault := range from {
		if at < fault.weight {
			return fault
		}
		at -= fault.weight
	}
	return from[0]
}

// Open lets a fleet found itself and takes its first configuration.
func (w *World) Open() bool {
	w.operator.putConfig(nil)
	for range 200 {
		w.Run(100 * ms)
		if w.operator.Yes > 0 && w.ready() == len(w.machines) {
			return true
		}
	}
	return false
}

// ready counts the routers that would serve now.
func (w *World) ready() int {
	count := 0
	for _, m := range w.machines {
		if m.isUp && m.serves() {
			count++
		}
	}
	return count
}

// Play runs a whole day of faults under a seed.
func Play(plan Plan) Outcome {
	w := WorldOf(plan.Seed, plan.Deployment)
	w.Trace = plan.Trace
	outcome := Outcome{Plan: plan}
	if !w.Open() {
		w.wrong("the fleet did not found itself in 20 s")
	}
	w.isBiased = true
	w.Traffic(plan.Rate, kernel.Micros(1<<60), 0.1)
	for end := w.now + plan.Span; w.now < end; {
		w.Run(w.between(300*ms, 4*sec))
		w.strike(draw(w, faults))
	}
	last := draw(w, finals)
	outcome.Final = last.name
	w.strike(last)
	w.Run(6 * sec)
	w.settle(&outcome)
	return outcome
}

// settle repairs everything, sees whether orders go through again and judges the run.
func (w *World) settle(outcome *Outcome) {
	w.repair()
	w.Run(checker.BriefBounds().Broken + 500*ms)
	w.probeAll()
	yes := w.operator.Yes
	w.operator.putConfig(nil)
	w.Run(13 * sec)
	outcome.Repaired = w.operator.Yes > yes
	w.operator.readBack()
	w.totals()
	outcome.Tally, outcome.Struck = w.Tally, w.Struck
	outcome.Callers, outcome.Content = w.callers.begun, w.callers.served
	outcome.Review = checker.Judge(w.events, checker.BriefBounds())
	outcome.Inside, outcome.Events = w.wrongs, w.events
	outcome.Orders = [3]int{w.operator.Yes, w.operator.No, w.operator.Unsure}
	outcome.Crossed, outcome.Within = w.Crossed, w.Within
}

// repair brings everything back that can come back.
func (w *World) repair() {
	w.trace("REPAIR")
	w.isCalm, w.afterYes = true, nil
	w.lossShare, w.dupShare, w.slow, w.listLag = 0, 0, 0, 2*sec
	w.blocked = map[[2]string]int{}
	for _, m := range w.machines {
		m.powerTrap = 0
		if m.disk != nil {
			m.disk.isFull, m.disk.isStall, m.disk.slowness = false, false, 0
		}
		if m.isLeaving && m.isUp {
			m.halt() // a stop under way would only be one more machine that is away
		}
		if !m.isUp && !m.isGone {
			m.boot()
		}
		if m.isFrozen {
			m.isFrozen = false
			held := m.held
			m.held = nil
			for _, event := range held {
				event()
			}
		}
	}
	for _, e := range w.engines {
		e.lighten()
		e.isDeclining = false
		e.boot()
	}
	w.take(w.repaired())
}

// repaired says that every machine is back, and what has to work from then on.
func (w *World) repaired() checker.Event {
	repaired := checker.Event{What: checker.Repaired}
	for _, m := range w.machines {
		if !m.isGone {
			repaired.Roster = append(repaired.Roster, m.name)
		}
	}
	for _, kind := range w.options.Kinds {
		repaired.Kinds = append(repaired.Kinds, kind.name)
	}
	return repaired
}

func (w *World) totals() {
	counts := w.retired
	for _, m := range w.machines {
		if m.isUp {
			now := m.dispatcher.Counts()
			counts.FirstRounds += now.FirstRounds
			counts.Retries += now.Retries
		}
	}
	w.take(checker.Event{What: checker.Totals, First: counts.FirstRounds, Retries: counts.Retries})
}
