package soak

import (
	"context"

	"dunlinloom/internal/kernel"
)

// toleratedLosses is how many machines of the core may be lost at once.
const toleratedLosses = 1

// checkReserve checks, once all steps have ended, that the core bears the loss that is tolerated, and says so itself: every
// disk has been sound and every machine back for syncSpan then.
func (f *fleet) checkReserve(ctx context.Context) {
	if err := f.faults.Clear(); err != nil {
		f.problem("clear the injected faults: %v", err)
	}
	until := f.clock.Now() + syncSpan
	for !f.hasReserve(ctx) {
		if f.clock.Now() >= until {
			f.problem("no leader says within %d s that the core bears the loss of %d machine", syncSpan/kernel.Second, toleratedLosses)
			return
		}
		pause(ctx, 100*ms)
	}
}

// hasReserve reports whether a node leads and states enough reserve.
func (f *fleet) hasReserve(ctx context.Context) bool {
	for _, n := range f.members() {
		metrics, err := f.metricsOf(ctx, n)
		if err == nil && metrics["dunlinloom_leads"] == 1 && metrics["dunlinloom_core_spare_losses"] >= toleratedLosses {
			return true
		}
	}
	return false
}
