package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/kernel"
)

// step is one fault or planned action with its time.
type step struct {
	at        kernel.Micros // time since the start of the plan
	span      kernel.Micros
	faultName string
	index     int // position in the plan before sorting; seeds the random choice of the step's target
}

func (s step) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s", seconds(s.at), seconds(s.at+s.span), s.faultName)
}

func seconds(span kernel.Micros) float64 { return float64(span) / float64(kernel.Second) }

// plan is the sequence of steps and the closing fault that are drawn from a seed.
type plan struct {
	steps   []step
	closing string
}

// Time spans of a plan. It begins with planned actions only, so that the rules about them are checked without a nearby
// fault. Groups of overlapping faults follow.
const (
	minSpan       = 10 * kernel.Second
	calmSpan      = 2 * kernel.Second
	groupPause    = 3 * kernel.Second // mean time between the starts of two groups
	groupSpread   = kernel.Second     // time within which the steps of a group start
	maxConcurrent = 3
)

// plannedShare is the share of the span at its start that contains only planned actions.
const plannedShare = 0.3

// draw returns the plan of a seed. After the share of planned actions alone its steps are drawn from the named ones.
func draw(seed uint64, span kernel.Micros, unplanned []string) plan {
	random := rand.New(rand.NewPCG(seed, 2))
	drawn := plan{closing: closings[random.IntN(len(closings))]}
	plannedEnd := kernel.Micros(float64(span) * plannedShare)
	for at := calmSpan; at < span; {
		names := unplanned
		if at < plannedEnd {
			names = planned
		}
		for range 2 + random.IntN(maxConcurrent-1) {
			drawn.steps = append(drawn.steps, step{
				at: at + kernel.Micros(random.Int64N(int64(groupSpread))), span: kernel.Second/2 + kernel.Micros(random.Int64N(int64(5*kernel.Second))),
				faultName: names[random.IntN(len(names))], index: len(drawn.steps),
			})
		}
		at += groupPause/2 + kernel.Micros(random.Int64N(int64(groupPause)))
	}
	slices.SortStableFunc(drawn.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return drawn
}
