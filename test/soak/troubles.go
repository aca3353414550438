package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/server"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
	"dunlinloom/test/localfleet"
)

// planned names planned work, unplanned all other troubles.
var (
	planned   = slices.Sorted(maps.Keys(plannedWork))
	unplanned = slices.Concat(slices.Sorted(maps.Keys(troubles)), planned)
)

// trouble carries out one step.
type trouble func(f *fleet, s step, random *rand.Rand) error

var plannedWork = map[string]trouble{
	"stop": stopNode, "reload": reloadSettings, "engine-leave": leaveEngine, "engine-roll": rollEngines, "orders": orderStorm,
}

var troubles = map[string]trouble{
	"kill":           strike(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power":          strike(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"wipe":           wipeNode,
	"replace":        replaceNode,
	"freeze":         freezeNode,
	"cut":            cutNode(true, true),
	"cut-in":         cutNode(true, false),
	"cut-out":        cutNode(false, true),
	"split":          splitCore,
	"lossy":          loseMessages,
	"disk-slow":      failDisk(server.DiskFault{SlowUS: 150_000}),
	"disk-stall":     failDisk(server.DiskFault{IsStalled: true}),
	"disk-full":      failDisk(server.DiskFault{IsFull: true}),
	"kill-core":      killCore,
	"kill-all":       endEverything(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power-all":      endEverything(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"leave-power":    losePowerAtAnEnd,
	"burst":          burst,
	"engine-crash":   crashEngine,
	"engine-reuse":   reuseAddress,
	"engine-dark":    ailEngine("dark", true, emulator.Troubles{Dark: true}),
	"engine-mute":    ailEngine("mute", true, emulator.Troubles{}),
	"engine-slow":    ailEngine("slow", false, emulator.Troubles{Slow: 6}),
	"engine-grey":    ailEngine("grey", false, emulator.Troubles{GreyShare: 0.5}),
	"engine-lost":    ailEngine("lost", false, emulator.Troubles{LoseShare: 0.3}),
	"engine-cut":     ailEngine("cut", false, emulator.Troubles{CutShare: 0.4}),
	"engine-junk":    ailEngine("junk", false, emulator.Troubles{JunkShare: 0.3}),
	"engine-twice":   ailEngine("twice", false, emulator.Troubles{TwiceShare: 0.4, LateShare: 0.3}),
	"engine-no-name": ailEngine("nameless", false, emulator.Troubles{TwiceShare: 0.3, LateShare: 0.3, IsNameless: true}),
	"engine-full":    ailEngine("full", false, emulator.Troubles{FullShare: 0.6}),
	"engine-open":    ailEngine("unframed", false, emulator.Troubles{UnframedShare: 0.5}),
	"engine-early":   ailEngine("early", false, emulator.Troubles{EarlyShare: 0.5}),
	"engine-idle":    ailEngine("idle-drop", false, emulator.Troubles{DropIdle: 300 * ms}),
}

// carryOut does the steps of a plan, each at its moment, and waits until the last has ended.
func (f *fleet) carryOut(drawn plan) {
	f.settings.Say("plan of %d steps, closing with %s", len(drawn.steps), drawn.closing)
	begun := f.clock.Now()
	var steps sync.WaitGroup
	for _, s := range drawn.steps {
		if !pause(f.context, max(begun+s.at-f.clock.Now(), 0)) {
			break
		}
		steps.Go(func() {
			f.settings.Say("%s", s)
			act := troubles[s.kind]
			if act == nil {
				act = plannedWork[s.kind]
			}
			if err := act(f, s, rand.New(rand.NewPCG(f.settings.Seed, uint64(1000+s.index)))); err != nil {
				f.problem("%s: %v", s, err)
			}
		})
	}
	pause(f.context, max(begun+f.settings.Span-f.clock.Now(), 0))
	steps.Wait()
}

// unplannedAt brackets an unplanned trouble for the judge.
func (f *fleet) unplannedAt(s step, engine, router string) (over func()) {
	why := fmt.Sprint(s.kind, "-", s.index)
	f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: why, Engine: engine, Router: router})
	return func() {
		f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: why, Engine: engine, Router: router})
	}
}

// pick draws a node; nil where somebody starts or stops it just now.
func (f *fleet) pick(random *rand.Rand, wantsDisk bool) *node {
	nodes := f.members()
	if wantsDisk {
		nodes = slices.DeleteFunc(nodes, func(n *node) bool { return !n.hasDisk })
	}
	n := nodes[random.IntN(len(nodes))]
	if !n.busy.TryLock() {
		return nil
	}
	return n
}

// whom says which nodes a trouble may strike.
type whom int

const (
	anyone      whom = iota
	losingADisk      // one that has a disk, and loses it
)

// disturb has an unplanned trouble strike a node; whatever it is, the node is held meanwhile, and its
// beginning and end are noted for the judge. Nothing happens where somebody else holds the node, or a
// disk may not be lost yet.
func (f *fleet) disturb(s step, random *rand.Rand, chosen whom, act func(n *node) error) error {
	n := f.pick(random, chosen != anyone)
	if n == nil {
		return nil
	}
	defer n.busy.Unlock()
	if chosen == losingADisk && !f.mayLoseADisk() {
		return nil
	}
	defer f.unplannedAt(s, "", n.name)()
	f.loseTouch(n)
	defer f.regainTouch(n)
	return act(n)
}

// strike ends a node's process in some way and starts it again after the span.
func strike(end func(*fleet, *node) error) trouble {
	return func(f *fleet, s step, random *rand.Rand) error {
		return f.disturb(s, random, anyone, func(n *node) error {
			if err := end(f, n); err != nil {
				return err
			}
			pause(f.context, s.span)
			return f.startNode(n)
		})
	}
}

// diskSpan is the least time between two losses of a disk: one has to be replaced before the next goes.
const diskSpan = 25 * kernel.Second

// mayLoseADisk tells whether a disk may be lost now, and counts it as lost.
func (f *fleet) mayLoseADisk() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.clock.Now()
	if f.lostDisk > 0 && now-f.lostDisk < diskSpan {
		return false
	}
	f.lostDisk = now
	return true
}

// wipeNode has a node come back with an empty disk.
func wipeNode(f *fleet, s step, random *rand.Rand) error {
	return f.disturb(s, random, losingADisk, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		if err := f.wipe(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(n)
	})
}

// replaceNode takes a machine away for good; an empty one comes at another address.
func replaceNode(f *fleet, s step, random *rand.Rand) error {
	return f.disturb(s, random, losingADisk, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(f.takePlaceOf(n, random))
	})
}

// takePlaceOf puts an empty machine at a new address in the place of a node.
func (f *fleet) takePlaceOf(n *node, random *rand.Rand) *node {
	f.lock.Lock()
	f.replaced++
	number := f.replaced
	f.lock.Unlock()
	fresh := f.newNode(fmt.Sprintf("%s-again%d", strings.Split(n.name, "-")[0], number), f.nodeIP(50+number), n.zone, true)
	fresh.seeds = f.seedsOf(random)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.nodes[slices.Index(f.nodes, n)] = fresh
	return fresh
}

// seedsOf draws three nodes as the operator's list may name them.
func (f *fleet) seedsOf(random *rand.Rand) []string {
	seeds := []string{}
	nodes := f.members()
	for _, i := range random.Perm(len(nodes))[:diskCount] {
		seeds = append(seeds, nodes[i].address(portControl))
	}
	return seeds
}

// stopNode is a planned stop, with a kill after the grace, and a start soon after.
func stopNode(f *fleet, _ step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return nil
	}
	defer n.busy.Unlock()
	f.note(checker.RoutedEvent{What: checker.RouterLeaving, Router: n.name})
	f.loseTouch(n)
	defer f.regainTouch(n)
	n.setWanted(false)
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(f.context, graceSpan.Duration())
	defer cancel()
	select {
	case <-n.process.Ended():
	case <-grace.Done():
		f.problem("%s had not ended when its grace was over", n.name)
	}
	if err := f.killNode(n); err != nil {
		return err
	}
	pause(f.context, 300*ms)
	return f.startNode(n)
}

// reloadSettings names other seeds in a node's settings, with a signal or without.
func reloadSettings(f *fleet, s step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return nil
	}
	defer n.busy.Unlock()
	seeds := f.seedsOf(random)
	n.lock.Lock()
	n.seeds = seeds
	n.lock.Unlock()
	if err := f.writeSettings(n); err != nil {
		return err
	}
	if s.index%2 == 0 {
		return nil
	}
	return n.process.Signal(syscall.SIGHUP)
}

// freezeNode has a node stand still.
func freezeNode(f *fleet, s step, random *rand.Rand) error {
	return f.disturb(s, random, anyone, func(n *node) error {
		if err := n.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(f.context, s.span)
		return n.process.Signal(syscall.SIGCONT)
	})
}

// cutFor cuts ways for the span of a step.
func (f *fleet) cutFor(s step, ways []localfleet.Way) error {
	if err := f.faults.Cut(ways); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.Join(ways)
}

// cutNode cuts a node off from all others, in one direction or both.
func cutNode(isIn, isOut bool) trouble {
	return func(f *fleet, s step, random *rand.Rand) error {
		n := f.anyOf(random)
		defer f.unplannedAt(s, "", n.name)()
		f.loseTouch(n)
		defer f.regainTouch(n)
		ways := []localfleet.Way{}
		for _, other := range f.members() {
			if other == n {
				continue
			}
			if isOut {
				ways = append(ways, localfleet.Way{From: n.address(portPeers), To: other.address(portPeers)})
			}
			if isIn {
				ways = append(ways, localfleet.Way{From: other.address(portPeers), To: n.address(portPeers)})
			}
		}
		return f.cutFor(s, ways)
	}
}

func (f *fleet) anyOf(random *rand.Rand) *node {
	nodes := f.members()
	return nodes[random.IntN(len(nodes))]
}

// splitCore cuts the nodes with a disk into two parts; all others reach both.
func splitCore(f *fleet, s step, random *rand.Rand) error {
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	random.Shuffle(len(core), func(a, b int) { core[a], core[b] = core[b], core[a] })
	defer f.unplannedAt(s, "", "")()
	f.loseTouch(core[0])
	defer f.regainTouch(core[0])
	ways := []localfleet.Way{}
	for _, one := range core[:1] {
		for _, other := range core[1:] {
			ways = append(ways, localfleet.Way{From: one.address(portPeers), To: other.address(portPeers)}, localfleet.Way{From: other.address(portPeers), To: one.address(portPeers)})
		}
	}
	return f.cutFor(s, ways)
}

// loseMessages has all messages between nodes be lost, doubled and late at times.
func loseMessages(f *fleet, s step, _ *rand.Rand) error {
	defer f.unplannedAt(s, "", "")()
	f.note(checker.RoutedEvent{What: checker.TouchLost})
	defer f.note(checker.RoutedEvent{What: checker.TouchBack})
	if err := f.faults.SetLinks(server.LinkFault{Loss: 0.2, Double: 0.1, DelayUS: 50_000}); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.SetLinks(server.LinkFault{})
}

func failDisk(fault server.DiskFault) trouble {
	return func(f *fleet, s step, random *rand.Rand) error {
		core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
		n := core[random.IntN(len(core))]
		defer f.unplannedAt(s, "", n.name)()
		f.loseTouch(n)
		defer f.regainTouch(n)
		peer := n.address(portPeers)
		if err := f.faults.SetDisk(peer, fault); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.faults.SetDisk(peer, server.DiskFault{})
	}
}

// endAll ends the processes of several nodes at once and starts them after the span.
func (f *fleet) endAll(nodes []*node, span kernel.Micros, end func(*node) error) error {
	for _, n := range nodes {
		n.busy.Lock()
		defer n.busy.Unlock()
		f.loseTouch(n)
		defer f.regainTouch(n)
	}
	failed := make([]error, len(nodes))
	var all sync.WaitGroup
	for i, n := range nodes {
		all.Go(func() { failed[i] = end(n) })
	}
	all.Wait()
	pause(f.context, span)
	for i, n := range nodes {
		if failed[i] != nil {
			return failed[i]
		}
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func killCore(f *fleet, s step, _ *rand.Rand) error {
	defer f.unplannedAt(s, "", "")()
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	return f.endAll(core, s.span/2, f.killNode)
}

// endEverything ends the processes of all nodes at once.
func endEverything(end func(*fleet, *node) error) trouble {
	return func(f *fleet, s step, _ *rand.Rand) error {
		defer f.unplannedAt(s, "", "")()
		return f.endAll(f.members(), s.span/4, func(n *node) error { return end(f, n) })
	}
}

// losePowerAtAnEnd has all nodes lose power at the moment at which an engine's end is acknowledged. The
// engine goes on serving.
func losePowerAtAnEnd(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return nil
	}
	if err := f.startEngine(e.service, f.engineAddress()); err != nil {
		return err
	}
	pause(f.context, kernel.Second)
	tell := e.remove
	if s.index%2 == 0 {
		tell = func() bool { return e.sendBeat(e.nextBeat(platform.StateDraining)) }
	}
	e.setState(platform.StateDraining)
	if !e.insist(tell) {
		e.end()
		return nil
	}
	over := f.unplannedAt(s, "", "")
	err := f.endAll(f.members(), kernel.Second, f.powerOff)
	over()
	// Until long after the nodes are in touch again.
	pause(f.context, 3*contactSpan)
	e.end()
	return err
}

// burstFactor is how many times the usual requests come in a burst.
const burstFactor = 4

func burst(f *fleet, s step, _ *rand.Rand) error {
	defer f.unplannedAt(s, "", "")()
	f.scaleLoad(burstFactor)
	pause(f.context, s.span)
	f.scaleLoad(1 / float64(burstFactor))
	return nil
}

func (f *fleet) scaleLoad(by float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.factor *= by
}

// orderStorm does nothing by itself: orders come all the time, and this is a pause in other work.
func orderStorm(f *fleet, s step, _ *rand.Rand) error {
	pause(f.context, s.span)
	return nil
}

// ailEngine has an engine be ill for the span.
func ailEngine(why string, isSilent bool, wrong emulator.Troubles) trouble {
	return func(f *fleet, s step, _ *rand.Rand) error {
		e := f.anEngine()
		if e == nil {
			return nil
		}
		s.kind = why
		defer f.unplannedAt(s, e.id, "")()
		e.setTrouble(true, isSilent)
		e.model.Set(wrong)
		pause(f.context, s.span)
		e.model.Set(emulator.Troubles{})
		e.setTrouble(false, false)
		return nil
	}
}

// crash ends an engine without a word.
func (f *fleet) crash(s step, e *engine) (over func()) {
	over = f.unplannedAt(s, e.id, "")
	f.note(checker.RoutedEvent{What: checker.EngineCrashed, Engine: e.id})
	e.end()
	return over
}

func crashEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return nil
	}
	defer f.crash(s, e)()
	pause(f.context, s.span)
	return f.startEngine(e.service, e.address)
}

// reuseSpan is the time after which an engine's address may be another's.
const reuseSpan = 2 * kernel.Second

// reuseAddress gives the address of an engine that crashed to one of another service.
func reuseAddress(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return nil
	}
	defer f.crash(s, e)()
	pause(f.context, reuseSpan)
	other := serviceText
	if e.service == serviceText {
		other = servicePlain
	}
	if err := f.startEngine(other, e.address); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.startEngine(e.service, f.engineAddress())
}

// leaveEngine has an engine leave in order once another one is there.
func leaveEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return nil
	}
	if err := f.startEngine(e.service, f.engineAddress()); err != nil {
		return err
	}
	pause(f.context, kernel.Second)
	e.leave(s.index%3 > 0)
	return nil
}

// rollEngines replaces two engines, one after the other.
func rollEngines(f *fleet, s step, random *rand.Rand) error {
	if err := leaveEngine(f, s, random); err != nil {
		return err
	}
	return leaveEngine(f, s, random)
}
