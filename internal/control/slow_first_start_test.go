package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// Bound on the first order of a fleet whose disks are slow: so many syncs, and the time in which machines get in contact.
// A first order takes six writes one after the other (promise, acceptance, first document, vote, the leader's own document,
// the order), each perhaps behind another write.
const (
	firstOrderSyncs   = 12
	firstOrderContact = contactBound
	meanSave          = 4 * ms // of fleetNode.save on a disk that is not slowed
	slowStartSeeds    = 12
	maxFirstOrderWait = 60 * kernel.Second // after which a run counts as never founded
)

// startOnSlowDisks starts a fleet in which each sync takes about syncTime, and returns how long it takes until an order is
// acknowledged. If isSeedFrozen is set, a random seed is frozen 200 ms after the start of the last machine.
func startOnSlowDisks(c *qt.C, seed uint64, syncTime kernel.Micros, isSeedFrozen bool) kernel.Micros {
	f := newFleet(c, seed, 3, 5, firstHaveFolders(3))
	for _, n := range f.nodes {
		n.diskSlowdown = max(syncTime/meanSave, 1)
	}
	f.bootAll(bootSpan)
	begun := f.now
	f.advance(bootSpan)
	operators := f.nodes[3:]
	if isSeedFrozen {
		f.schedule(200*ms, func() { f.nodes[f.random.IntN(3)].freeze(kernel.Second * 3600) })
	}
	f.acknowledge("first", 0, configOf(1, "first"), maxFirstOrderWait, operators...)
	return f.now - begun
}

// Guards against a first start that slow disks keep from being founded, because the proposers outbid each other.
func TestSlowDisksDelayTheFirstOrderByAFewSyncs(t *testing.T) {
	t.Parallel()
	for _, syncTime := range []kernel.Micros{ms, 50 * ms, 200 * ms, 500 * ms, kernel.Second} {
		for _, isSeedFrozen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d ms, a seed frozen: %v", syncTime/ms, isSeedFrozen), func(t *testing.T) {
				t.Parallel()
				spans := []kernel.Micros{}
				for seed := range uint64(slowStartSeeds) {
					spans = append(spans, startOnSlowDisks(qt.New(t), seed, syncTime, isSeedFrozen))
				}
				slices.Sort(spans)
				t.Logf("first order after %d ms in the median, %d ms at the latest", spans[len(spans)/2]/ms, spans[len(spans)-1]/ms)
				qt.New(t).Check(spans[len(spans)-1] <= firstOrderContact+firstOrderSyncs*syncTime, qt.IsTrue)
			})
		}
	}
}
