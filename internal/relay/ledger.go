package relay

import (
	"math"

	"dunlinloom/internal/kernel"
)

// ledger is the load that this router itself has on one engine, in tokens, with enough of
// its past to tell how much of a late report was ours.
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
	sampleInterval  = 50 * kernel.Millisecond // a report's age is no finer than that
	sampleRetention = 30 * kernel.Second
	// minExpiredSamples is how many samples have to be expired before they are cut off: each cut
	// copies the rest.
	minExpiredSamples = 64
)

func (l *ledger) add(now kernel.Micros, tokens int64) {
	l.own += tokens
	if last := len(l.samples) - 1; last >= 0 && now-l.samples[last].at < sampleInterval {
		l.samples[last].own = l.own
		return
	}
	l.samples = append(l.samples, ledgerSample{now, l.own})
	expired := 0
	for expired < len(l.samples)-1 && now-l.samples[expired+1].at > sampleRetention {
		expired++
	}
	if expired > minExpiredSamples {
		l.samples = append([]ledgerSample(nil), l.samples[expired:]...)
	}
}

// ownAt gives the own load at an earlier time.
func (l *ledger) ownAt(moment kernel.Micros) int64 {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].at <= moment {
			return l.samples[i].own
		}
	}
	return 0
}

// remainingShare is the part of some load that is still there after a time. It decays at the pace
// at which attempts end here, and to nothing after decay. Zero for attemptTime means that
// no attempt has ended yet.
func remainingShare(age, decay kernel.Micros, attemptTime float64) float64 {
	if age >= decay {
		return 0
	}
	left := 1 - float64(max(age, 0))/float64(decay)
	if attemptTime > 0 {
		left = min(left, math.Exp(-float64(max(age, 0))/attemptTime))
	}
	return left
}

// remainingForeign is what is left of the load that other routers had placed by a late
// report: all of it less what was ours then.
func (l *ledger) remainingForeign(now, asOf kernel.Micros, reported int64, decay kernel.Micros, attemptTime float64) float64 {
	others := reported - l.ownAt(asOf)
	if others <= 0 {
		return 0
	}
	return float64(others) * remainingShare(now-asOf, decay, attemptTime)
}

// ownSince is what of our own load was placed after a time.
func (l *ledger) ownSince(now, asOf kernel.Micros, decay kernel.Micros, attemptTime float64) float64 {
	return max(float64(l.own)-float64(l.ownAt(asOf))*remainingShare(now-asOf, decay, attemptTime), 0)
}

// unseenLoadShare is the part of what this router placed since a report that each other
// router is taken to have placed too.
const unseenLoadShare = 0.25

// foreignTokens estimates what other routers have on an engine: what is left of the late report, and
// what they will have placed since, which is taken from what we placed ourselves.
func (d *Dispatcher) foreignTokens(now kernel.Micros, state *engineState, engine Engine) float64 {
	decay := d.routingTable.Config.Policy.ReportDecay
	reported := state.ledger.remainingForeign(now, engine.AsOf, engine.Load, decay, d.meanAttemptTime)
	others := float64(max(len(d.routingTable.Routers)-1, 0))
	return reported + d.unseenLoadShare()*others*state.ledger.ownSince(now, engine.AsOf, decay, d.meanAttemptTime)
}

// attemptTimeWeight is the weight of the newest attempt in the mean.
const attemptTimeWeight = 0.05

// learnAttemptTime takes how long a served attempt took, in microseconds.
func (d *Dispatcher) learnAttemptTime(took float64) {
	if d.meanAttemptTime == 0 {
		d.meanAttemptTime = took
	}
	d.meanAttemptTime += attemptTimeWeight * (took - d.meanAttemptTime)
}
