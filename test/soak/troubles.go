package soak

import (
	"context"
	"errors"
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
	unplanned = slices.Concat(slices.Sorted(maps.Keys(faultFuncs)), planned)
)

// faultFunc carries out one step.
type faultFunc func(f *fleet, s step, random *rand.Rand) error

var plannedWork = map[string]faultFunc{
	"stop": stopNode, "reload": reloadSettings, "engine-leave": drainEngine, "engine-roll": rollEngines, "orders": orderStorm,
}

var faultFuncs = map[string]faultFunc{
	"kill":           restartAfter(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power":          restartAfter(func(f *fleet, n *node) error { return f.powerOff(n) }),
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
	"kill-all":       restartAll(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power-all":      restartAll(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"leave-power":    losePowerAtShutdown,
	"burst":          burst,
	"tenant-hot":     heatTenant,
	"tenant-revoke":  revokeKey,
	"engine-crash":   crashEngine,
	"engine-reuse":   reuseAddress,
	"engine-dark":    makeEngineFaulty("dark", true, emulator.ModelFaults{IsUnresponsive: true}),
	"engine-mute":    makeEngineFaulty("mute", true, emulator.ModelFaults{}),
	"engine-slow":    makeEngineFaulty("slow", false, emulator.ModelFaults{SlowFactor: 6}),
	"engine-grey":    makeEngineFaulty("grey", false, emulator.ModelFaults{ErrorShare: 0.5}),
	"engine-lost":    makeEngineFaulty("lost", false, emulator.ModelFaults{LostAnswerShare: 0.3}),
	"engine-cut":     makeEngineFaulty("cut", false, emulator.ModelFaults{TruncatedShare: 0.4}),
	"engine-junk":    makeEngineFaulty("junk", false, emulator.ModelFaults{MalformedShare: 0.3}),
	"engine-twice":   makeEngineFaulty("twice", false, emulator.ModelFaults{DuplicateShare: 0.4, LateDuplicateShare: 0.3}),
	"engine-no-name": makeEngineFaulty("nameless", false, emulator.ModelFaults{DuplicateShare: 0.3, LateDuplicateShare: 0.3, AreDuplicatesAnonymous: true}),
	"engine-full":    makeEngineFaulty("full", false, emulator.ModelFaults{OverloadShare: 0.6}),
	"engine-open":    makeEngineFaulty("unframed", false, emulator.ModelFaults{UnframedShare: 0.5}),
	"engine-early":   makeEngineFaulty("early", false, emulator.ModelFaults{EarlyRejectShare: 0.5}),
	"engine-idle":    makeEngineFaulty("idle-drop", false, emulator.ModelFaults{IdleDropTimeout: 300 * ms}),
}

// runPlan does the steps of a plan, each at its moment, and waits until the last has ended.
func (f *fleet) runPlan(drawn plan) {
	f.settings.Logf("plan of %d steps, closing with %s", len(drawn.steps), drawn.closing)
	begun := f.clock.Now()
	var steps sync.WaitGroup
	for _, s := range drawn.steps {
		if !pause(f.context, max(begun+s.at-f.clock.Now(), 0)) {
			break
		}
		steps.Go(func() {
			f.settings.Logf("%s", s)
			act := faultFuncs[s.faultName]
			if act == nil {
				act = plannedWork[s.faultName]
			}
			err := act(f, s, rand.New(rand.NewPCG(f.settings.Seed, uint64(1000+s.index))))
			var skipped SkippedError
			switch {
			case errors.As(err, &skipped):
				f.skip(s, skipped)
			case err != nil:
				f.problem("%s: %v", s, err)
			}
		})
	}
	pause(f.context, max(begun+f.settings.Span-f.clock.Now(), 0))
	steps.Wait()
}

// SkippedError says why a step found nothing that it could strike. The run goes on, and its report says so.
type SkippedError struct{ Why string }

func (err SkippedError) Error() string { return err.Why }

var (
	errNodeBusy   = SkippedError{"another step holds the node"}
	errDiskNeeded = SkippedError{"a disk was lost just before"}
	errNoEngine   = SkippedError{"no engine is well that can be spared"}
)

func (f *fleet) skip(s step, why SkippedError) {
	f.settings.Logf("%s: not carried out, %s", s, why)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.skipped[s.index] = why.Why
}

// recordFault brackets an unplanned trouble for the judge.
func (f *fleet) recordFault(s step, engine, router string) (over func()) {
	why := fmt.Sprint(s.faultName, "-", s.index)
	f.recordEvent(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: why, Engine: engine, Router: router})
	return func() {
		f.recordEvent(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: why, Engine: engine, Router: router})
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
	if !f.isMember(n) {
		n.busy.Unlock()
		return nil
	}
	return n
}

// faultTarget says which nodes a trouble may strike.
type faultTarget int

const (
	anyone      faultTarget = iota
	losingADisk             // one that has a disk, and loses it
)

// injectFault has an unplanned trouble strike a node; whatever it is, the node is held meanwhile, and its
// beginning and end are noted for the judge. Nothing happens where somebody else holds the node, or a
// disk may not be lost yet.
func (f *fleet) injectFault(s step, random *rand.Rand, chosen faultTarget, act func(n *node) error) error {
	n := f.pick(random, chosen != anyone)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	if chosen == losingADisk && !f.canLoseDisk() {
		return errDiskNeeded
	}
	defer f.recordFault(s, "", n.name)()
	f.loseContact(n)
	defer f.restoreContact(n)
	return act(n)
}

// restartAfter ends a node's process in some way and starts it again after the span.
func restartAfter(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		return f.injectFault(s, random, anyone, func(n *node) error {
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

// canLoseDisk tells whether a disk may be lost now, and counts it as lost.
func (f *fleet) canLoseDisk() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.clock.Now()
	if f.lastDiskLossAt > 0 && now-f.lastDiskLossAt < diskSpan {
		return false
	}
	f.lastDiskLossAt = now
	return true
}

// wipeNode has a node come back with an empty disk.
func wipeNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, losingADisk, func(n *node) error {
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
	return f.injectFault(s, random, losingADisk, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(f.replace(n, random))
	})
}

// replace puts an empty machine at a new address in the place of a node.
func (f *fleet) replace(n *node, random *rand.Rand) *node {
	f.lock.Lock()
	f.replaced++
	number := f.replaced
	f.lock.Unlock()
	fresh := f.newNode(fmt.Sprintf("%s-again%d", strings.Split(n.name, "-")[0], number), f.nodeIP(50+number), n.zone, true)
	fresh.seeds = f.seedsOf(random)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.nodes[slices.Index(f.nodes, n)] = fresh
	f.retired = append(f.retired, n)
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
		return errNodeBusy
	}
	defer n.busy.Unlock()
	f.recordEvent(checker.RoutedEvent{EventKind: checker.RouterStopping, Router: n.name})
	f.loseContact(n)
	defer f.restoreContact(n)
	n.setWanted(false)
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(f.context, gracePeriod.Duration())
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
		return errNodeBusy
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
	return f.injectFault(s, random, anyone, func(n *node) error {
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
func cutNode(isIn, isOut bool) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		n := f.anyOf(random)
		defer f.recordFault(s, "", n.name)()
		f.loseContact(n)
		defer f.restoreContact(n)
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
	defer f.recordFault(s, "", "")()
	f.loseContact(core[0])
	defer f.restoreContact(core[0])
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
	defer f.recordFault(s, "", "")()
	f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactLost})
	defer f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactRestored})
	if err := f.faults.SetLinks(server.LinkFault{Loss: 0.2, Double: 0.1, DelayUS: 50_000}); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.SetLinks(server.LinkFault{})
}

func failDisk(fault server.DiskFault) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
		n := core[random.IntN(len(core))]
		defer f.recordFault(s, "", n.name)()
		f.loseContact(n)
		defer f.restoreContact(n)
		peer := n.address(portPeers)
		if err := f.faults.SetDisk(peer, fault); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.faults.SetDisk(peer, server.DiskFault{})
	}
}

// endAll ends the processes of several nodes at once and starts them after the span.
func (f *fleet) endAll(listed []*node, span kernel.Micros, end func(*node) error) error {
	nodes := []*node{}
	for _, n := range listed {
		n.busy.Lock()
		defer n.busy.Unlock()
		if !f.isMember(n) {
			continue // its machine was taken away while this waited, and must not come back
		}
		nodes = append(nodes, n)
		f.loseContact(n)
		defer f.restoreContact(n)
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
	defer f.recordFault(s, "", "")()
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	return f.endAll(core, s.span/2, f.killNode)
}

// restartAll ends the processes of all nodes at once.
func restartAll(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		defer f.recordFault(s, "", "")()
		return f.endAll(f.members(), s.span/4, func(n *node) error { return end(f, n) })
	}
}

// losePowerAtShutdown has all nodes lose power at the moment at which an engine's end is acknowledged. The
// engine goes on serving.
func losePowerAtShutdown(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return errNoEngine
	}
	if err := f.startEngine(e.service, f.engineAddress()); err != nil {
		return err
	}
	pause(f.context, kernel.Second)
	tell := e.remove
	if s.index%2 == 0 {
		tell = func() bool { return e.sendHeartbeat(e.nextHeartbeat(platform.StateDraining)) }
	}
	e.setState(platform.StateDraining)
	if !e.retryUntilAcknowledged(tell) {
		e.end()
		return SkippedError{"the engine's end was not acknowledged"}
	}
	over := f.recordFault(s, "", "")
	err := f.endAll(f.members(), kernel.Second, f.powerOff)
	over()
	// Until long after the nodes are in touch again.
	pause(f.context, 3*contactTimeout)
	e.end()
	return err
}

// burstFactor is how many times the usual requests come in a burst.
const burstFactor = 4

func burst(f *fleet, s step, _ *rand.Rand) error {
	defer f.recordFault(s, "", "")()
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

// makeEngineFaulty has an engine be ill for the span.
func makeEngineFaulty(why string, isSilent bool, wrong emulator.ModelFaults) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		e := f.anEngine()
		if e == nil {
			return errNoEngine
		}
		s.faultName = why
		defer f.recordFault(s, e.id, "")()
		e.setFaulty(true, isSilent)
		e.model.SetFaults(wrong)
		pause(f.context, s.span)
		e.model.SetFaults(emulator.ModelFaults{})
		e.setFaulty(false, false)
		return nil
	}
}

// crash ends an engine without a word.
func (f *fleet) crash(s step, e *engine) (over func()) {
	over = f.recordFault(s, e.id, "")
	f.recordEvent(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: e.id})
	e.end()
	return over
}

func crashEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return errNoEngine
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
		return errNoEngine
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

// drainEngine has an engine leave in order once another one is there.
func drainEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.anEngine()
	if e == nil {
		return errNoEngine
	}
	if err := f.startEngine(e.service, f.engineAddress()); err != nil {
		return err
	}
	pause(f.context, kernel.Second)
	e.drain(s.index%3 > 0)
	return nil
}

// rollEngines replaces two engines, one after the other.
func rollEngines(f *fleet, s step, random *rand.Rand) error {
	if err := drainEngine(f, s, random); err != nil {
		return err
	}
	return drainEngine(f, s, random)
}
