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
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
	"dunlinloom/test/localfleet"
)

// planned lists the names of planned actions, and allActions the names of both faults and planned actions.
var (
	planned    = slices.Sorted(maps.Keys(plannedWork))
	allActions = slices.Concat(slices.Sorted(maps.Keys(faultFuncs)), planned)
)

// faultFunc executes one step.
type faultFunc func(f *fleet, s step, random *rand.Rand) error

var plannedWork = map[string]faultFunc{
	"stop": stopNode, "reload": reloadSettings, "engine-leave": drainEngine, "engine-roll": rollEngines, "orders": orderStorm,
}

var faultFuncs = map[string]faultFunc{
	"kill":           restartAfter(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power":          restartAfter(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"wipe":           wipeNode,
	"wipe-power":     wipeAndPowerOff,
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
	"start-refused":  startOnFailingDisk(server.DiskFault{IsRefused: true}, false),
	"start-stalled":  startOnFailingDisk(server.DiskFault{IsStalled: true}, false),
	"start-slow":     startOnFailingDisk(server.DiskFault{SlowUS: 400_000}, false),
	"start-full":     startOnFailingDisk(server.DiskFault{IsFull: true}, false),
	"empty-refused":  startOnFailingDisk(server.DiskFault{IsRefused: true}, true),
	"empty-stalled":  startOnFailingDisk(server.DiskFault{IsStalled: true}, true),
	"empty-full":     startOnFailingDisk(server.DiskFault{IsFull: true}, true),
	"signals":        signalSeries,
	"kill-core":      killCore,
	"kill-all":       restartAll(func(f *fleet, n *node) error { return f.killNode(n) }),
	"power-all":      restartAll(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"leave-power":    stopAtDeparture(func(f *fleet, n *node) error { return f.powerOff(n) }),
	"leave-kill":     stopAtDeparture(func(f *fleet, n *node) error { return f.killNode(n) }),
	"burst":          burst,
	"tenant-hot":     overloadTenant,
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

// runPlan starts the steps of a plan, each at its time, and waits until all have ended.
func (f *fleet) runPlan(drawn plan) {
	f.settings.Logf("running a plan of %d steps with the closing fault: %s", len(drawn.steps), drawn.closing)
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

// SkippedError is the reason why a step was not carried out. The run continues, and its report lists the step as
// skipped.
type SkippedError struct{ Why string }

func (err SkippedError) Error() string { return err.Why }

var (
	errNodeBusy   = SkippedError{"another step is using the node"}
	errDiskNeeded = SkippedError{"another disk was lost too recently"}
	errNoEngine   = SkippedError{"no service has a healthy engine to spare"}
)

func (f *fleet) skip(s step, why SkippedError) {
	f.settings.Logf("%s: not carried out, %s", s, why)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.skipped[s.index] = why.Why
}

// recordFault records the start of a fault, and returns a function that records its end.
func (f *fleet) recordFault(s step, engine, router string) (endFault func()) {
	why := fmt.Sprint(s.faultName, "-", s.index)
	f.recordEvent(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: why, Engine: engine, Router: router})
	return func() {
		f.recordEvent(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: why, Engine: engine, Router: router})
	}
}

// pick returns a random node with its lock held, or nil if another step holds the lock.
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

// faultTarget selects the nodes to which a fault may apply.
type faultTarget int

const (
	anyNodeTarget  faultTarget = iota
	diskTarget                 // a node with a disk
	diskLossTarget             // a node with a disk, which is lost
)

// injectFault applies a fault to a random node. It holds the node's lock and records the start and the end of the
// fault. It returns a SkippedError if another step holds the node or if a disk may not be lost yet.
func (f *fleet) injectFault(s step, random *rand.Rand, target faultTarget, act func(n *node) error) error {
	n := f.pick(random, target != anyNodeTarget)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	if target == diskLossTarget && !f.canLoseDisk() {
		return errDiskNeeded
	}
	defer f.recordFault(s, "", n.name)()
	f.loseContact(n)
	defer f.restoreContact(n)
	return act(n)
}

// restartAfter returns a step that ends a node's process with the given function and restarts it after the step's
// span.
func restartAfter(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		return f.injectFault(s, random, anyNodeTarget, func(n *node) error {
			if err := end(f, n); err != nil {
				return err
			}
			pause(f.context, s.span)
			return f.startNode(n)
		})
	}
}

// diskSpan is the minimum time between two losses of a disk, because a lost disk has to be replaced before the next
// one is lost.
const diskSpan = 25 * kernel.Second

// canLoseDisk reports whether a disk may be lost now. If so, it records the loss.
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

// wipeNode restarts a node with an empty disk.
func wipeNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, diskLossTarget, func(n *node) error {
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

// replaceNode removes a node permanently, and starts an empty one at another address in its place.
func replaceNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, diskLossTarget, func(n *node) error {
		if err := f.killNode(n); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.startNode(f.replace(n, random))
	})
}

// replace returns an empty node at a new address that takes the place of a node. The caller starts it.
func (f *fleet) replace(n *node, random *rand.Rand) *node {
	f.lock.Lock()
	f.replaced++
	number := f.replaced
	f.lock.Unlock()
	fresh := f.newNode(fmt.Sprintf("%s-again%d", strings.Split(n.name, "-")[0], number), f.nodeIP(replacementOffset+number), n.zone, true)
	fresh.seeds = f.seedsOf(random)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.nodes[slices.Index(f.nodes, n)] = fresh
	f.retired = append(f.retired, n)
	return fresh
}

// seedsOf returns the control addresses of seedCount random nodes as seeds.
func (f *fleet) seedsOf(random *rand.Rand) []string {
	seeds := []string{}
	nodes := f.members()
	for _, i := range random.Perm(len(nodes))[:seedCount] {
		seeds = append(seeds, nodes[i].address(portControl))
	}
	return seeds
}

// stopNode stops a node gracefully, kills it if it exceeds the grace period, and restarts it shortly afterwards.
func stopNode(f *fleet, _ step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	f.recordEvent(checker.RoutedEvent{EventKind: checker.RouterStopping, Router: n.name})
	f.loseContact(n)
	defer f.restoreContact(n)
	if err := f.terminate(n); err != nil {
		return err
	}
	pause(f.context, 300*ms)
	return f.startNode(n)
}

// terminate asks a node's process to stop, and kills it once the grace period is over. It records a problem if that was
// necessary.
func (f *fleet) terminate(n *node) error {
	n.setWanted(false)
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(f.context, gracePeriod.Duration())
	defer cancel()
	select {
	case <-n.process.Ended():
	case <-grace.Done():
		f.problem("%s did not exit within the grace period", n.name)
	}
	return f.killNode(n)
}

// reloadSettings changes the seeds in a node's settings file. Half of the steps also send SIGHUP.
func reloadSettings(f *fleet, s step, random *rand.Rand) error {
	n := f.pick(random, false)
	if n == nil {
		return errNodeBusy
	}
	defer n.busy.Unlock()
	if err := f.changeSeeds(n, random); err != nil {
		return err
	}
	if s.index%2 == 0 {
		return nil
	}
	return n.process.Signal(syscall.SIGHUP)
}

// changeSeeds writes other seeds to a node's settings file.
func (f *fleet) changeSeeds(n *node, random *rand.Rand) error {
	seeds := f.seedsOf(random)
	n.lock.Lock()
	n.seeds = seeds
	n.lock.Unlock()
	return f.writeSettings(n)
}

// freezeNode suspends a node's process for the step's span.
func freezeNode(f *fleet, s step, random *rand.Rand) error {
	return f.injectFault(s, random, anyNodeTarget, func(n *node) error {
		if err := n.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(f.context, s.span)
		return n.process.Signal(syscall.SIGCONT)
	})
}

// cutFor cuts network links for the step's span.
func (f *fleet) cutFor(s step, links []localfleet.Link) error {
	if err := f.faults.Cut(links); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.Restore(links)
}

// cutNode returns a step that cuts a node off from all others in one or both directions.
func cutNode(isIn, isOut bool) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		n := f.anyOf(random)
		defer f.recordFault(s, "", n.name)()
		f.loseContact(n)
		defer f.restoreContact(n)
		links := []localfleet.Link{}
		for _, other := range f.members() {
			if other == n {
				continue
			}
			if isOut {
				links = append(links, localfleet.Link{From: n.address(portPeers), To: other.address(portPeers)})
			}
			if isIn {
				links = append(links, localfleet.Link{From: other.address(portPeers), To: n.address(portPeers)})
			}
		}
		return f.cutFor(s, links)
	}
}

func (f *fleet) anyOf(random *rand.Rand) *node {
	nodes := f.members()
	return nodes[random.IntN(len(nodes))]
}

// splitCore partitions one node with a disk from the other nodes with a disk. Nodes without a disk still reach all of
// them.
func splitCore(f *fleet, s step, random *rand.Rand) error {
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	random.Shuffle(len(core), func(a, b int) { core[a], core[b] = core[b], core[a] })
	defer f.recordFault(s, "", "")()
	f.loseContact(core[0])
	defer f.restoreContact(core[0])
	links := []localfleet.Link{}
	for _, one := range core[:1] {
		for _, other := range core[1:] {
			links = append(links, localfleet.Link{From: one.address(portPeers), To: other.address(portPeers)}, localfleet.Link{From: other.address(portPeers), To: one.address(portPeers)})
		}
	}
	return f.cutFor(s, links)
}

// loseMessages loses, duplicates and delays messages between nodes at random.
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

// endAll ends the processes of several nodes at the same time and restarts them after the span.
func (f *fleet) endAll(listed []*node, span kernel.Micros, end func(*node) error) error {
	nodes := []*node{}
	for _, n := range listed {
		n.busy.Lock()
		defer n.busy.Unlock()
		if !f.isMember(n) {
			continue // the node was replaced while this step waited for its lock, and must not be restarted
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

// restartAll returns a step that ends the processes of all nodes at the same time and restarts them.
func restartAll(end func(*fleet, *node) error) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		defer f.recordFault(s, "", "")()
		return f.endAll(f.members(), s.span/4, func(n *node) error { return end(f, n) })
	}
}

// burstFactor is the factor on the usual load during a burst.
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

// orderStorm only waits for the step's span. The operator sends operations all the time, so this step leaves a gap
// between the others.
func orderStorm(f *fleet, s step, _ *rand.Rand) error {
	pause(f.context, s.span)
	return nil
}

// makeEngineFaulty returns a step that injects faults into an engine for the step's span.
func makeEngineFaulty(why string, isSilent bool, wrong emulator.ModelFaults) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		e := f.pickEngine()
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

// crash ends an engine without an announcement, and returns a function that records the end of the fault.
func (f *fleet) crash(s step, e *engine) (endFault func()) {
	endFault = f.recordFault(s, e.id, "")
	f.recordEvent(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: e.id})
	e.end()
	return endFault
}

func crashEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.pickEngine()
	if e == nil {
		return errNoEngine
	}
	defer f.crash(s, e)()
	pause(f.context, s.span)
	return f.startEngine(e.service, e.address)
}

// reuseSpan is the time after which the address of an ended engine may be reused by another engine.
const reuseSpan = 2 * kernel.Second

// reuseAddress starts an engine of another service at the address of an engine that crashed.
func reuseAddress(f *fleet, s step, _ *rand.Rand) error {
	e := f.pickEngine()
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

// drainEngine starts a replacement for an engine and then drains the engine.
func drainEngine(f *fleet, s step, _ *rand.Rand) error {
	e, err := f.replaceEngine()
	if err != nil {
		return err
	}
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
