package relay

import (
	"math"

	"dunlinloom/internal/kernel"
)

// ledger holds the load that this router has placed on one engine, in tokens. An engine's report contains this router's
// load at the time of the report. To subtract it, the ledger also keeps the recent history of the load.
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
	sampleInterval  = 50 * kernel.Millisecond // between samples; the age of a report is not known more precisely
	sampleRetention = 30 * kernel.Second
	// Expired samples are removed once there are more than minExpiredSamples, because each removal copies
	// the remaining ones.
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

// ownAt returns this router's load at an earlier time, or zero if no sample is that old.
func (l *ledger) ownAt(moment kernel.Micros) int64 {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].at <= moment {
			return l.samples[i].own
		}
	}
	return 0
}

// remainingShare estimates which share of a load of the given age is still outstanding. The share falls linearly, and
// is zero from the age decay on. It is also at most exp(-age/attemptTime), where attemptTime is the mean duration of an
// attempt in microseconds. If attemptTime is zero, no attempt was served yet and only the linear decay applies.
func remainingShare(age, decay kernel.Micros, attemptTime float64) float64 {
	if age >= decay {
		return 0
	}
	share := 1 - float64(max(age, 0))/float64(decay)
	if attemptTime > 0 {
		share = min(share, math.Exp(-float64(max(age, 0))/attemptTime))
	}
	return share
}

// remainingForeign estimates how much of the other routers' load in an engine's report is still outstanding. Their load
// is the reported one minus this router's load at asOf, the time of the report; see remainingShare for its decay.
func (l *ledger) remainingForeign(now, asOf kernel.Micros, reported int64, decay kernel.Micros, attemptTime float64) float64 {
	others := reported - l.ownAt(asOf)
	if others <= 0 {
		return 0
	}
	return float64(others) * remainingShare(now-asOf, decay, attemptTime)
}

// ownSince estimates which part of this router's current load was placed after asOf.
func (l *ledger) ownSince(now, asOf kernel.Micros, decay kernel.Micros, attemptTime float64) float64 {
	return max(float64(l.own)-float64(l.ownAt(asOf))*remainingShare(now-asOf, decay, attemptTime), 0)
}

// unseenLoadShare is the load that each other router is assumed to have placed on an engine since the engine's last
// report, as a share of what this router has placed there since then.
const unseenLoadShare = 0.25

// foreignTokens estimates the load of other routers on an engine: what remains of their load in the
// engine's last report, plus what they have placed since, which is estimated from this router's own load.
func (d *Dispatcher) foreignTokens(now kernel.Micros, state *engineState, engine Engine) float64 {
	decay := d.routingTable.Config.Policy.ReportDecay
	reported := state.ledger.remainingForeign(now, engine.AsOf, engine.Load, decay, d.meanAttemptTime)
	others := float64(max(len(d.routingTable.Routers)-1, 0))
	return reported + d.unseenLoadShare()*others*state.ledger.ownSince(now, engine.AsOf, decay, d.meanAttemptTime)
}

// attemptTimeWeight is the weight of the newest attempt in the moving average.
const attemptTimeWeight = 0.05

// learnAttemptTime updates the mean with the duration of a served attempt, in microseconds.
func (d *Dispatcher) learnAttemptTime(duration float64) {
	if d.meanAttemptTime == 0 {
		d.meanAttemptTime = duration
	}
	d.meanAttemptTime += attemptTimeWeight * (duration - d.meanAttemptTime)
}
