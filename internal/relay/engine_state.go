package relay

import (
	"cmp"
	"slices"

	"dunlinloom/internal/kernel"
)

// engineState is what the dispatcher keeps of one engine. Failures and the time per token are those
// of one process of it, named by start.
type engineState struct {
	ledger       ledger
	start        uint64
	failures     int // in a row
	ejectedUntil kernel.Micros
	isProbing    bool // one request is trying an engine that failed
	// awaitingFirstToken are our attempts that wait for their first token, oldest first. The oldest
	// is taken for the request that the engine is working on.
	awaitingFirstToken []*Attempt
	// timePerToken is the learned time to the first token for each token of load, in microseconds.
	timePerToken   float64
	timePerTokenAt kernel.Micros // when it was last learned
}

// restart forgets what was learned of an earlier process: neither its failures nor its speed are
// those of the new one.
func (s *engineState) restart(start uint64) {
	s.start, s.failures, s.isProbing, s.timePerToken = start, 0, false, 0
}

// open adds an attempt to the engine's load.
func (s *engineState) open(now kernel.Micros, attempt *Attempt) {
	s.ledger.add(now, attempt.outstandingTokens)
	s.ledger.streams++
	s.awaitingFirstToken = append(s.awaitingFirstToken, attempt)
	if s.failures > 0 {
		s.isProbing = true
	}
}

// close takes what is left of an attempt off the engine's load.
func (s *engineState) close(now kernel.Micros, attempt *Attempt) {
	s.ledger.add(now, -attempt.outstandingTokens)
	s.ledger.streams--
	s.stopAwaiting(attempt)
}

func (s *engineState) stopAwaiting(attempt *Attempt) {
	s.awaitingFirstToken = slices.DeleteFunc(s.awaitingFirstToken, func(waiting *Attempt) bool { return waiting == attempt })
}

// currentPromptTokens is the prompt of the request that the engine is working on, which the source of
// the policy adds to the load a second time: a prompt in work delays all that came after it.
func (s *engineState) currentPromptTokens() int64 {
	if len(s.awaitingFirstToken) == 0 {
		return 0
	}
	return s.awaitingFirstToken[0].promptTokens
}

// EngineView is one engine as this router sees it, for operators. Own and Foreign are outstanding
// tokens of this router and of all others.
type EngineView struct {
	ID               string  `json:"id"`
	Zone             string  `json:"zone"`
	Address          string  `json:"address"`
	Start            uint64  `json:"start"`
	Own              int64   `json:"own_burden"`
	Foreign          float64 `json:"foreign_burden"`
	Streams          int     `json:"own_streams"`
	IneligibleReason string  `json:"barred,omitempty"`
}

// View gives the engines of the routing table, sorted by id.
func (d *Dispatcher) View(now kernel.Micros) []EngineView {
	d.lock.Lock()
	defer d.lock.Unlock()
	views := []EngineView{}
	for _, engine := range d.routingTable.Engines {
		view := EngineView{ID: engine.ID, Zone: engine.Zone, Address: engine.Address, Start: engine.Start, IneligibleReason: d.ineligibleReason(now, engine)}
		if state := d.states[engine.ID]; state != nil {
			view.Own, view.Streams = state.ledger.own, state.ledger.streams
			if engine.HasReport && d.routingTable.Config != nil {
				view.Foreign = d.foreignTokens(now, state, engine)
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b EngineView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
