package relay

// Trial replaces rules of the policy, so that the simulator can measure other ones. Daemons leave it
// empty. Its functions are called under the dispatcher's lock.
type Trial struct {
	// HasNoCurrent leaves the prompt that an engine is working on out of its load a second time.
	HasNoCurrent bool
	// Choose replaces the choice among candidates; turn counts the choices of this router.
	Choose func(candidates []Candidate, preferred int, turn uint64) int
	// Narrow tells whether an engine may be a candidate.
	Narrow func(engine Engine) bool
	// Load replaces the load of an engine; own and foreign are in tokens.
	Load func(own int64, engine Engine, foreign float64) float64
	// Unseen replaces unseenLoadShare.
	Unseen *float64
}

func (d *Dispatcher) unseenLoadShare() float64 {
	if d.Trial.Unseen != nil {
		return *d.Trial.Unseen
	}
	return unseenLoadShare
}

func (d *Dispatcher) isExcludedByTrial(engine Engine) bool {
	return d.Trial.Narrow != nil && !d.Trial.Narrow(engine)
}
