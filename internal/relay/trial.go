package relay

// PolicyOverrides replaces rules of the policy, so that the simulator can measure other ones. Daemons leave it
// empty. Its functions are called under the dispatcher's lock.
type PolicyOverrides struct {
	// SkipsCurrentPrompt leaves the prompt that an engine is working on out of its load a second time.
	SkipsCurrentPrompt bool
	// Choose replaces the choice among candidates; turn counts the choices of this router.
	Choose func(candidates []Candidate, preferred int, turn uint64) int
	// IsCandidate tells whether an engine may be a candidate.
	IsCandidate func(engine Engine) bool
	// Load replaces the load of an engine; own and foreign are in tokens.
	Load func(own int64, engine Engine, foreign float64) float64
	// UnseenLoadShare replaces unseenLoadShare.
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
