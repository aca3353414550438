package simulator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Runs check the share of requests served after every fault has ended, so the engines need enough slots for all
// callers. A random deployment whose callers occupied nearly every slot served only 0.71 of the last requests:
// after the engines had crashed, retries kept the slots full.
func TestDrawnDeploymentsHaveRoomForTheirCallers(t *testing.T) {
	const seeds = 2000
	for seed := range uint64(seeds) {
		deployment := DrawDeployment(seed)
		var slots int
		for _, service := range deployment.Services {
			if service.Name == "text" {
				slots = service.Slots
			}
		}
		usedSlots := 0.0
		for i := range deployment.Kinds {
			kind := &deployment.Kinds[i]
			if kind.Route.Splits[0].Service == "text" {
				usedSlots += kind.Rate * deployment.slotTime(kind, slots)
			}
		}
		slotCount := float64(slots * deployment.Engines["text"])
		qt.Check(t, usedSlots <= slotCount*(longSlotShare+shortSlotShare)*1.0001, qt.IsTrue, qt.Commentf("seed %d: %.1f of %.0f slots", seed, usedSlots, slotCount))
	}
}

// Runs the deployment that served only 0.71 of the last requests, with the same faults and without
// faults. Without faults every request has to be served.
func TestFewSlotsServeWithoutFaults(t *testing.T) {
	const fewSlots = 10 // the seed of 4 engines with 4 slots each
	for _, faults := range [][]string{nil, {"all-crash", "idle-drop"}} {
		for run := range 4 {
			t.Run(fmt.Sprint(faults, run), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				outcome := runInBubble(t, RoutedPlan{Seed: fewSlots, Deployment: DrawDeployment(fewSlots), Span: routedSpan, Faults: faults})
				checkRouted(c, outcome, faults...)
				if len(faults) == 0 {
					c.Check(outcome.Report.Served, qt.Equals, outcome.Report.Attempts)
				}
			})
		}
	}
}
