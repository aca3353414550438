package soak

import "math/rand/v2"

// Steps that change the load of callers and operators.

// burstFactor is the factor on the usual load during a burst.
const burstFactor = 4

func burst(f *fleet, s step, _ *rand.Rand) error {
	defer f.recordFault(s, "", "")()
	f.scaleLoad(burstFactor)
	pause(f.context, s.span)
	f.scaleLoad(1 / float64(burstFactor))
	return nil
}

func (f *fleet) scaleLoad(by float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.factor *= by
}

// orderStorm only waits for the step's span. The operator sends operations all the time, so this step leaves a gap
// between the others.
func orderStorm(f *fleet, s step, _ *rand.Rand) error {
	pause(f.context, s.span)
	return nil
}
