package soak

import (
	"context"
	"math/rand/v2"
	"net/http"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Closing faults. Each is injected right after an operation was acknowledged.
const (
	closePowerAll  = "power lost everywhere"
	closeKillAll   = "every process killed"
	closeWipe      = "disks lost"
	closeWipePower = "disks lost, power lost on all other machines"
)

var closings = []string{closePowerAll, closeKillAll, closeWipe, closeWipePower}

// Time spans of a closing fault.
const (
	downSpan    = 2 * kernel.Second
	checkedSpan = 4 * kernel.Second // how long requests are checked after the recovery time has passed
)

// runClosing injects the closing fault right after an operation was acknowledged, and checks that requests are served
// again once the recovery time has passed.
func (f *fleet) runClosing(ctx context.Context, operator *operator) {
	drawn := f.settings.drawPlan()
	if err := f.faults.Clear(); err != nil {
		f.problem("clear the injected faults: %v", err)
	}
	random := rand.New(rand.NewPCG(f.settings.Seed, 3))
	if f.mustDelayDiskLoss(drawn.closing) {
		pause(ctx, diskSpan)
	}
	f.acknowledgeOne(ctx, operator)
	f.settings.Logf("injecting the closing fault: %s", drawn.closing)
	endFault := f.recordFault(step{faultName: "closing"}, "", "")
	if err := f.injectClosingFault(drawn.closing, random); err != nil {
		f.problem("inject the closing fault: %v", err)
	}
	endFault()
	pause(ctx, recoverSpan)
	from := f.clock.Now()
	pause(ctx, checkedSpan)
	f.checkRecovery(from)
}

// mustDelayDiskLoss reports whether a closing fault has to wait because another disk was lost less than diskSpan ago.
func (f *fleet) mustDelayDiskLoss(closing string) bool {
	if closing != closeWipe && closing != closeWipePower {
		return false
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.lastDiskLossAt > 0 && f.clock.Now()-f.lastDiskLossAt < diskSpan
}

// acknowledgeOne sends operations until one is acknowledged. It records a problem if none is within openingSpan.
func (f *fleet) acknowledgeOne(ctx context.Context, operator *operator) {
	until := f.clock.Now() + openingSpan
	for f.clock.Now() < until {
		limit, cancel := context.WithTimeout(ctx, openingSpan.Duration())
		base, isKnown := operator.current(limit)
		isDone := isKnown && operator.retryUntilAnswered(limit, operator.newOperation(base, operator.nextVersion(), operator.varyRoutes(), false)) == operationAccepted
		cancel()
		if isDone {
			return
		}
	}
	f.problem("no operation was acknowledged within %d s before the closing fault", openingSpan/kernel.Second)
}

func (f *fleet) injectClosingFault(closing string, random *rand.Rand) error {
	targets, end := f.members(), f.killNode
	switch closing {
	case closePowerAll:
		end = f.powerOff
	case closeWipe, closeWipePower:
		victims := f.pickDisks(f.context, random)
		if closing == closeWipe {
			targets = victims
		}
		end = f.losePowerAndDisks(victims)
	}
	return f.endAll(targets, downSpan, end)
}

// minServedOneIn is the inverse of the share of requests that has to be served after the recovery: a quarter.
const minServedOneIn = 4

// checkRecovery checks the share of requests sent since a point in time that were served.
func (f *fleet) checkRecovery(from kernel.Micros) {
	f.lock.Lock()
	sent, served := 0, 0
	sentIDs := map[string]bool{}
	for _, event := range f.routed {
		switch {
		case event.EventKind == checker.AttemptSentByCaller && event.At >= from:
			sentIDs[event.ID] = true
			sent++
		case event.EventKind == checker.AttemptEnded && sentIDs[event.ID] && event.Ending == checker.Complete && event.Status == http.StatusOK:
			served++
		}
	}
	f.lock.Unlock()
	if served*minServedOneIn < sent || sent == 0 {
		f.problem("only %d of %d requests were served later than %d s after the closing fault", served, sent, recoverSpan/kernel.Second)
	}
}
