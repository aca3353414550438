package soak

import (
	"context"
	"math/rand/v2"
	"net/http"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Closing faults, each right after an order was acknowledged.
const (
	closePowerAll  = "power lost everywhere"
	closeKillAll   = "every process killed"
	closeWipe      = "one disk lost"
	closeWipePower = "one disk lost, power lost on all other machines"
)

var closings = []string{closePowerAll, closeKillAll, closeWipe, closeWipePower}

// Spans after a closing fault.
const (
	downSpan    = 2 * kernel.Second
	checkedSpan = 4 * kernel.Second // of requests, once the fleet has to have recovered
)

// playClosing strikes at the end, right after an acknowledgement, and goes on with traffic until the
// fleet has to have recovered.
func (f *fleet) playClosing(ctx context.Context, operator *operator) {
	drawn := draw(f.settings.Seed, f.settings.Span)
	if err := f.faults.Clear(); err != nil {
		f.problem("lift the faults: %v", err)
	}
	random := rand.New(rand.NewPCG(f.settings.Seed, 3))
	if f.canLoseDiskSoon(drawn.closing) {
		pause(ctx, diskSpan)
	}
	f.acknowledgeOne(ctx, operator)
	f.settings.Logf("closing: %s", drawn.closing)
	over := f.recordFault(step{faultName: "closing"}, "", "")
	if err := f.faultAll(drawn.closing, random); err != nil {
		f.problem("closing fault: %v", err)
	}
	over()
	pause(ctx, recoverSpan)
	from := f.clock.Now()
	pause(ctx, checkedSpan)
	f.checkRecovery(from)
}

// canLoseDiskSoon tells whether a closing fault has to wait, since a disk was lost just before.
func (f *fleet) canLoseDiskSoon(closing string) bool {
	if closing != closeWipe && closing != closeWipePower {
		return false
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.lastDiskLossAt > 0 && f.clock.Now()-f.lastDiskLossAt < diskSpan
}

// acknowledgeOne has one more order acknowledged.
func (f *fleet) acknowledgeOne(ctx context.Context, operator *operator) {
	until := f.clock.Now() + openingSpan
	for f.clock.Now() < until {
		limit, cancel := context.WithTimeout(ctx, openingSpan.Duration())
		base, isKnown := operator.current(limit)
		isDone := isKnown && operator.retryUntilAnswered(limit, operator.newOrder(base, operator.nextVersion(), operator.vary(), false)) == operationAccepted
		cancel()
		if isDone {
			return
		}
	}
	f.problem("no order was acknowledged within %d s before the closing fault", openingSpan/kernel.Second)
}

func (f *fleet) faultAll(closing string, random *rand.Rand) error {
	nodes := f.members()
	disks := []*node{}
	for _, n := range nodes {
		if n.hasDisk {
			disks = append(disks, n)
		}
	}
	victim := disks[random.IntN(len(disks))]
	struck, end := nodes, f.killNode
	switch closing {
	case closePowerAll:
		end = f.powerOff
	case closeWipe, closeWipePower:
		if closing == closeWipe {
			struck = []*node{victim}
		}
		end = func(n *node) error {
			if err := f.powerOff(n); err != nil || n != victim {
				return err
			}
			return f.wipe(n)
		}
	}
	return f.endAll(struck, downSpan, end)
}

// recoveredPart of the requests have to be served once the fleet has recovered: a quarter.
const recoveredPart = 4

// checkRecovery counts what was served of the requests since a moment.
func (f *fleet) checkRecovery(from kernel.Micros) {
	f.lock.Lock()
	sent, served := 0, 0
	asked := map[string]bool{}
	for _, event := range f.routed {
		switch {
		case event.EventKind == checker.AttemptSentByCaller && event.At >= from:
			asked[event.ID] = true
			sent++
		case event.EventKind == checker.AttemptEnded && asked[event.ID] && event.Ending == checker.Complete && event.Status == http.StatusOK:
			served++
		}
	}
	f.lock.Unlock()
	if served*recoveredPart < sent || sent == 0 {
		f.problem("%d of %d requests were served from %d s after the closing fault on", served, sent, recoverSpan/kernel.Second)
	}
}
