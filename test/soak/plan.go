package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/kernel"
)

// step is one trouble at its moment.
type step struct {
	at        kernel.Micros // since the start of traffic
	span      kernel.Micros
	faultName string
	index     int // of the trouble in the plan, by which it draws what it strikes
}

func (s step) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s", seconds(s.at), seconds(s.at+s.span), s.faultName)
}

func seconds(span kernel.Micros) float64 { return float64(span) / float64(kernel.Second) }

// plan is what a seed draws.
type plan struct {
	steps   []step
	closing string
}

// Spans of a plan. Planned work alone comes first, so that the rules around it are judged with nothing
// unplanned nearby; then groups of troubles that overlap.
const (
	minSpan       = 10 * kernel.Second
	calmSpan      = 2 * kernel.Second
	groupPause    = 3 * kernel.Second // mean, between the beginnings of two groups
	groupSpread   = kernel.Second     // within which the troubles of a group begin
	maxConcurrent = 3
)

// plannedPart is the part of the span with planned work alone.
const plannedPart = 0.3

// draw makes the plan of a seed.
func draw(seed uint64, span kernel.Micros) plan {
	random := rand.New(rand.NewPCG(seed, 2))
	drawn := plan{closing: closings[random.IntN(len(closings))]}
	plannedEnd := kernel.Micros(float64(span) * plannedPart)
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
