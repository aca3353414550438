package relay

import (
	"math"

	"dunlinloom/internal/kernel"
)

// ledger is what this node itself has placed on one engine, with enough of its
// past to tell how much of a late report was ours.
type ledger struct {
	own     int64
	streams int
	samples []ledgerSample
}

type ledgerSample struct {
	at  kernel.Micros
	own int64
}

const (
	sampleInterval  = 50 * kernel.Millisecond
	sampleRetention = 30 * kernel.Second
)

func (l *ledger) add(now kernel.Micros, tokens int64) {
	l.own += tokens
	// Marks closer than a step are folded: a report's age is no finer than that.
	if last := len(l.samples) - 1; last >= 0 && now-l.samples[last].at < sampleInterval {
		l.samples[last].own = l.own
		return
	}
	l.samples = append(l.samples, ledgerSample{now, l.own})
	cut := 0
	for cut < len(l.samples)-1 && now-l.samples[cut+1].at > sampleRetention {
		cut++
	}
	if cut > 64 {
		l.samples = append([]ledgerSample(nil), l.samples[cut:]...)
	}
}

// at gives the own load at an earlier moment.
func (l *ledger) at(moment kernel.Micros) int64 {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].at <= moment {
			return l.samples[i].own
		}
	}
	return 0
}

// survival is the part of some work that is still there after a while: it is
// worked off like ours, so it fades at the pace at which rounds end here, and to
// nothing by the end of the fade.
func survival(age, fade kernel.Micros, drain float64) float64 {
	if age >= fade {
		return 0
	}
	left := 1 - float64(max(age, 0))/float64(fade)
	if drain > 0 {
		left = min(left, math.Exp(-float64(max(age, 0))/drain))
	}
	return left
}

// foreign is what is left of the load that other nodes had placed by a late
// report: all of it less what was ours then.
func (l *ledger) foreign(now, asOf kernel.Micros, reported int64, fade kernel.Micros, drain float64) float64 {
	rest := reported - l.at(asOf)
	if rest <= 0 {
		return 0
	}
	return float64(rest) * survival(now-asOf, fade, drain)
}

// since is what of our own load has come after a moment.
func (l *ledger) since(now, asOf kernel.Micros, fade kernel.Micros, drain float64) float64 {
	return max(float64(l.own)-float64(l.at(asOf))*survival(now-asOf, fade, drain), 0)
}

// budget lets retries be only a small ratio of this node's own first rounds. Each
// node keeps to it alone, so the fleet as a whole does too. What is saved bounds the
// whole; the two windows bound what a quiet hour can pay for in a bad minute.
type budget struct {
	saved   float64
	ratio   float64
	seconds [60]budgetSecond
}

type budgetSecond struct {
	number          int64
	firsts, retries int
}

const (
	budgetCap   = 10
	budgetBurst = 2 // the ratio may be exceeded so far within ten seconds
)

func (b *budget) second(now kernel.Micros) *budgetSecond {
	number := int64(now / kernel.Second)
	slot := &b.seconds[number%int64(len(b.seconds))]
	if slot.number != number {
		*slot = budgetSecond{number: number}
	}
	return slot
}

func (b *budget) earn(now kernel.Micros) {
	b.saved = min(b.saved+b.ratio, budgetCap)
	b.second(now).firsts++
}

// spend takes one retry, if there is one to be had.
func (b *budget) spend(now kernel.Micros) bool {
	// One a window is always left: a node with few requests could otherwise never retry.
	isWithin := func(span int64, ratio float64) bool {
		firsts, retries := 0, 0
		for _, slot := range b.seconds {
			if slot.number > int64(now/kernel.Second)-span {
				firsts, retries = firsts+slot.firsts, retries+slot.retries
			}
		}
		return float64(retries+1) <= max(1, ratio*float64(firsts))
	}
	if b.saved < 1 || !isWithin(10, budgetBurst*b.ratio) || !isWithin(60, b.ratio) {
		return false
	}
	b.saved--
	b.second(now).retries++
	return true
}
