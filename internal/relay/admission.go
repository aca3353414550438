package relay

import (
	"fmt"
	"math"
	"net/http"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

const (
	timePerTokenHalfLife = 5 * kernel.Second // an estimate that old counts half
	timePerTokenWeight   = 0.2               // of the newest observation
)

// admit checks the policy's choice against the binding's limit on the time to the first token. Only if
// the choice would be late is the least loaded engine checked too, and chosen instead: a
// rejection there costs a caller, the miss of a cached prefix only time.
func (d *Dispatcher) admit(now kernel.Micros, call *Call, binding *fleetconfig.Binding, eligible eligibleEngines, choice Choice) (Choice, *Rejection) {
	estimate := d.estimateTTFT(now, call, eligible, choice.Index)
	if binding.TTFTLimit <= 0 || estimate <= binding.TTFTLimit {
		return choice, nil
	}
	least := leastLoaded(eligible.candidates, d.routingTable.Config.Policy.NearTie*choice.Mean, d.salt)
	leastEstimate := estimate
	if least >= 0 {
		leastEstimate = d.estimateTTFT(now, call, eligible, least)
	}
	engineID := eligible.engines[choice.Index].ID
	if leastEstimate > binding.TTFTLimit {
		detail := fmt.Sprintf("the first token is foreseen in %d us on %s, above the limit of %d us", leastEstimate, engineID, binding.TTFTLimit)
		return choice, newRejection(reasonLate, detail, http.StatusServiceUnavailable, NotRun, max(leastEstimate-binding.TTFTLimit, defaultRetryAfter))
	}
	choice.Reason = fmt.Sprintf("admission: %d us foreseen on %s", estimate, engineID)
	choice.Index, choice.IsDivert = least, true
	d.counts.AdmissionDiverts++
	return choice, nil
}

// estimateTTFT estimates the time to the first token on an eligible engine; zero if nothing was learned.
func (d *Dispatcher) estimateTTFT(now kernel.Micros, call *Call, eligible eligibleEngines, index int) kernel.Micros {
	state := d.state(eligible.engines[index].ID)
	if state.timePerToken == 0 {
		return 0
	}
	// An old estimate loses weight, or an engine that was slow once would never be tried again.
	decayed := state.timePerToken * math.Pow(0.5, float64(now-state.timePerTokenAt)/float64(timePerTokenHalfLife))
	return kernel.Micros(decayed * (eligible.candidates[index].Load + float64(call.Request.PromptTokens)))
}

// learnTimePerToken takes how long the first token of an attempt took.
func (s *engineState) learnTimePerToken(now kernel.Micros, attempt *Attempt) {
	seen := float64(now-attempt.openedAt) / max(attempt.load, 1)
	if s.timePerToken == 0 {
		s.timePerToken = seen
	} else {
		s.timePerToken += timePerTokenWeight * (seen - s.timePerToken)
	}
	s.timePerTokenAt = now
}
