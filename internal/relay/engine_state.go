package relay

import (
	"cmp"
	"slices"

	"dunlinloom/internal/kernel"
)

// engineState is the dispatcher's state of one engine. The failures and the time per token belong to the
// engine process that start identifies.
type engineState struct {
	ledger       ledger
	start        uint64
	failures     int // consecutive
	ejectedUntil kernel.Micros
	isProbing    bool // one request is probing whether the engine has recovered
	// awaitingFirstToken has this router's attempts that wait for their first token, oldest first. The
	// oldest is assumed to be the request whose prompt the engine is processing.
	awaitingFirstToken []*Attempt
	// timePerToken is the moving average of the time to first token divided by the load, in microseconds.
	timePerToken   float64
	timePerTokenAt kernel.Micros // when timePerToken was last updated
}

// restart resets the failures and the time per token when the engine runs as a new process.
func (s *engineState) restart(start uint64) {
	s.start, s.failures, s.isProbing, s.timePerToken = start, 0, false, 0
}

// open adds an attempt to the engine's load. If the engine has failed before, the attempt is its probe.
func (s *engineState) open(now kernel.Micros, attempt *Attempt) {
	s.ledger.add(now, attempt.outstandingTokens)
	s.ledger.streams++
	s.awaitingFirstToken = append(s.awaitingFirstToken, attempt)
	if s.failures > 0 {
		s.isProbing = true
	}
}

// close removes the remaining tokens of an attempt from the engine's load.
func (s *engineState) close(now kernel.Micros, attempt *Attempt) {
	s.ledger.add(now, -attempt.outstandingTokens)
	s.ledger.streams--
	s.stopAwaiting(attempt)
}

func (s *engineState) stopAwaiting(attempt *Attempt) {
	s.awaitingFirstToken = slices.DeleteFunc(s.awaitingFirstToken, func(waiting *Attempt) bool { return waiting == attempt })
}

// currentPromptTokens returns the prompt length of the request that the engine is assumed to process now.
// The published policy (docs/design.md) adds it to the load a second time, because that prompt delays all later
// requests.
func (s *engineState) currentPromptTokens() int64 {
	if len(s.awaitingFirstToken) == 0 {
		return 0
	}
	return s.awaitingFirstToken[0].promptTokens
}

// EngineView is one engine as this router sees it, for operators. Own is the number of this router's outstanding tokens
// there, and Foreign is the estimate for all other routers. IneligibleReason is empty if the engine is eligible.
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

// View returns the engines of the routing table, sorted by id, whether eligible or not.
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
