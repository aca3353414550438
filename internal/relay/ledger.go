package relay

import (
	"math"

	"dunlinloom/internal/kernel"
)

// ledger is this router's own load on one engine, in tokens. It has the recent history of that load too,
// so that the own part can be subtracted from an engine's report about an earlier time.
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
	sampleInterval  = 50 * kernel.Millisecond // the age of a report is not known more precisely
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

// ownAt returns the own load at an earlier time, or zero if no sample is that old.
func (l *ledger) ownAt(moment kernel.Micros) int64 {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].at <= moment {
			return l.samples[i].own
		}
	}
	return 0
}

// remainingShare estimates the share of a load that is still outstanding after age. It is the smaller of a
// linear decay to zero at decay and an exponential decay with the mean attempt time. If attemptTime is
// zero, no attempt has ended yet and only the linear decay applies.
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

// remainingForeign estimates what is still outstanding of the load of other routers in an engine's report:
// the reported load minus this router's own load at that time, decayed by the age of the report.
func (l *ledger) remainingForeign(now, asOf kernel.Micros, reported int64, decay kernel.Micros, attemptTime float64) float64 {
	others := reported - l.ownAt(asOf)
	if others <= 0 {
		return 0
	}
	return float64(others) * remainingShare(now-asOf, decay, attemptTime)
}

// ownSince estimates the part of the own load that was placed after a time.
func (l *ledger) ownSince(now, asOf kernel.Micros, decay kernel.Micros, attemptTime float64) float64 {
	return max(float64(l.own)-float64(l.ownAt(asOf))*remainingShare(now-asOf, decay, attemptTime), 0)
}

// unseenLoadShare is the assumed load that each other router has placed since a report, as a share of what
// this router has placed since then.
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
