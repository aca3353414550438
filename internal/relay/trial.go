package relay

// PolicyOverrides replaces rules of the policy, so that the simulator can compare alternatives. In production it is
// empty, which leaves all rules in force. Its functions are called with the dispatcher's lock held, so they must not
// call the dispatcher.
type PolicyOverrides struct {
	// SkipsCurrentPrompt counts the prompt that an engine is processing only once in the engine's load,
	// instead of twice.
	SkipsCurrentPrompt bool
	// Choose replaces the choice among candidates. It returns the index of a candidate; turn is the number
	// of choices that this router has made, including this one.
	Choose func(candidates []Candidate, preferred int, turn uint64) int
	// IsCandidate reports whether an engine may be chosen. It is asked in addition to the usual rules of eligibility.
	IsCandidate func(engine Engine) bool
	// Load replaces the load of an engine. own is the number of this router's outstanding tokens there, and foreign the
	// estimate for the other routers.
	Load func(own int64, engine Engine, foreign float64) float64
	// UnseenLoadShare replaces the constant unseenLoadShare; nil leaves it in force.
	UnseenLoadShare *float64
}

func (d *Dispatcher) unseenLoadShare() float64 {
	if d.Overrides.UnseenLoadShare != nil {
		return *d.Overrides.UnseenLoadShare
	}
	return unseenLoadShare
}

func (d *Dispatcher) isExcludedByOverride(engine Engine) bool {
	return d.Overrides.IsCandidate != nil && !d.Overrides.IsCandidate(engine)
}
