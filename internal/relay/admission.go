package relay

import (
	"fmt"
	"math"
	"net/http"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

const (
	timePerTokenHalfLife = 5 * kernel.Second // age at which an estimate is halved
	timePerTokenWeight   = 0.2               // weight of the newest observation in the moving average
)

// admit checks the policy's choice against the binding's limit on the time to first token. If the
// estimate is above the limit, admit selects the least loaded engine instead, and rejects the request
// if that engine's estimate is above the limit too. A diverted request misses a cached prefix, which
// costs time only; a rejected one is not served at all.
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
		detail := fmt.Sprintf("the first token is expected after %d us on %s, above the limit of %d us", leastEstimate, engineID, binding.TTFTLimit)
		return choice, newRejection(reasonTTFTLimit, detail, http.StatusServiceUnavailable, NotRun, max(leastEstimate-binding.TTFTLimit, defaultRetryAfter))
	}
	choice.Reason = fmt.Sprintf("admission: first token expected after %d us on %s", estimate, engineID)
	choice.Index, choice.IsDivert = least, true
	d.counts.AdmissionDiverts++
	return choice, nil
}

// estimateTTFT returns the estimated time to first token on an eligible engine. It is zero if this router has received
// no first token from the engine's current process yet.
func (d *Dispatcher) estimateTTFT(now kernel.Micros, call *Call, eligible eligibleEngines, index int) kernel.Micros {
	state := d.state(eligible.engines[index].ID)
	if state.timePerToken == 0 {
		return 0
	}
	// The estimate decays with its age; otherwise an engine that was slow once would never be tried again.
	decayed := state.timePerToken * math.Pow(0.5, float64(now-state.timePerTokenAt)/float64(timePerTokenHalfLife))
	return kernel.Micros(decayed * (eligible.candidates[index].Load + float64(call.Request.PromptTokens)))
}

// learnTimePerToken updates the moving average of the time per token when the first token of an attempt arrives. The
// observed value is the time since the attempt was opened, divided by the engine's load at that moment.
func (s *engineState) learnTimePerToken(now kernel.Micros, attempt *Attempt) {
	observed := float64(now-attempt.openedAt) / max(attempt.load, 1)
	if s.timePerToken == 0 {
		s.timePerToken = observed
	} else {
		s.timePerToken += timePerTokenWeight * (observed - s.timePerToken)
	}
	s.timePerTokenAt = now
}
