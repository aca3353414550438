package soak

import (
	"context"

	"dunlinloom/internal/kernel"
)

// disksForTwoLosses is the number of nodes with a disk from which on two of them may be lost at once.
const disksForTwoLosses = 7

// toleratedLosses is how many nodes with a disk may be lost at once.
func (s Settings) toleratedLosses() int {
	if s.Disks >= disksForTwoLosses {
		return 2
	}
	return 1
}

// checkReserve checks, once all steps have ended, that the core bears the loss that is tolerated, and says so itself: every
// disk has been sound and every machine back for syncSpan then.
func (f *fleet) checkReserve(ctx context.Context) {
	if err := f.faults.Clear(); err != nil {
		f.problem("clear the injected faults: %v", err)
	}
	until := f.clock.Now() + syncSpan
	for !f.hasReserve(ctx) {
		if f.clock.Now() >= until {
			f.problem("no leader says within %d s that the core bears the loss of %d machines", syncSpan/kernel.Second, f.settings.toleratedLosses())
			return
		}
		pause(ctx, 100*ms)
	}
}

// hasReserve reports whether a node leads and states enough reserve.
func (f *fleet) hasReserve(ctx context.Context) bool {
	for _, n := range f.members() {
		metrics, err := f.metricsOf(ctx, n)
		if err == nil && metrics["dunlinloom_leads"] == 1 && metrics["dunlinloom_core_spare_losses"] >= float64(f.settings.toleratedLosses()) {
			return true
		}
	}
	return false
}
