package soak

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
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
	"leave-power":    stopAtDeparture(stopSeveralTimes(func(f *fleet, n *node) error { return f.powerOff(n) })),
	"leave-kill":     stopAtDeparture(stopSeveralTimes(func(f *fleet, n *node) error { return f.killNode(n) })),
	"leave-wipe":     stopAtDeparture(loseDisksOnce),
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
