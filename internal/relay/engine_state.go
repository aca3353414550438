package relay

import (
	"fmt"
	"math"
	"slices"

	"dunlinloom/internal/kernel"
	"github.com/cespare/xxhash/v2"
)

// unseenLoadShare is how far other nodes are taken to do as this one does.
const unseenLoadShare = 0.25

const (
	maxAttempts       = 4
	baseEjectionTime  = 500 * kernel.Millisecond
	maxEjectionTime   = 5 * kernel.Second
	paceDecay         = 5 * kernel.Second // an estimate that old counts half
	defaultRetryAfter = kernel.Second
)

type engineState struct {
	ledger       ledger
	start        uint64
	errors       int
	ejectedUntil kernel.Micros
	isProbing    bool // one request is trying an engine that was broken
	// awaitingFirstToken are our rounds that wait for their first token, oldest first. The oldest
	// is taken for the request that the engine is working on.
	awaitingFirstToken []*Attempt
	// pace is the learned time to the first token per token of load.
	pace   float64
	paceAt kernel.Micros
}

// current is the prompt of the request that an engine is working on, which the source
// adds to the load once more: a prompt in work holds up all that came after it.
func (d *Dispatcher) current(state *engineState) int64 {
	if len(state.awaitingFirstToken) == 0 || d.Trial.HasNoCurrent {
		return 0
	}
	return state.awaitingFirstToken[0].promptTokens
}

// begun takes a round out of those that wait for their first token.
func (s *engineState) begun(attempt *Attempt) {
	s.awaitingFirstToken = slices.DeleteFunc(s.awaitingFirstToken, func(waiting *Attempt) bool { return waiting == attempt })
}

// foreign reckons what other nodes have on an engine: what is left of the late
// report, and what they will have placed since, for which our own placing stands.
func (d *Dispatcher) foreign(now kernel.Micros, state *engineState, engine Engine) float64 {
	fade := d.routingTable.Config.Policy.ReportDecay
	seen := state.ledger.foreign(now, engine.AsOf, engine.Load, fade, d.drain)
	share := unseenLoadShare
	if d.Trial.Unseen != nil {
		share = *d.Trial.Unseen
	}
	others := float64(max(len(d.routingTable.Routers)-1, 0))
	return seen + share*others*state.ledger.since(now, engine.AsOf, fade, d.drain)
}

// rampShare is how many streams this router may hold on an engine that started
// lately. The cap is one for the fleet; each registered router computes the same
// split of it, so the parts add up to the cap without a word between them.
func (d *Dispatcher) rampShare(now kernel.Micros, engine Engine) int {
	policy := d.routingTable.Config.Policy
	age := now - engine.StartedAt
	if !engine.IsStartKnown || age >= policy.RampDuration {
		return math.MaxInt
	}
	total := int(float64(policy.RampStreams) * math.Pow(2, float64(max(age, 0))/float64(policy.RampDoublingTime)))
	routers := max(len(d.routingTable.Routers), 1)
	share := total / routers
	rank := rankOf(d.self, d.routingTable.Routers, engine)
	if rank < total%routers {
		share++
	}
	return share
}

// rankOf orders the routers differently for each engine and start, so that the
// odd streams of a small cap do not always fall to the same routers.
func rankOf(self string, routers []string, engine Engine) int {
	score := func(router string) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", router, engine.ID, engine.Start))
	}
	own, rank := score(self), 0
	for _, router := range routers {
		if router != self && score(router) > own {
			rank++
		}
	}
	return rank
}

// estimateTTFT estimates the time to the first token on an engine.
func (d *Dispatcher) estimateTTFT(now kernel.Micros, engine Engine, load float64, call *Call) kernel.Micros {
	state := d.state(engine.ID)
	if state.pace == 0 {
		return 0
	}
	// An old estimate loses weight, or an engine once slow would never be tried again.
	faded := state.pace * math.Pow(0.5, float64(now-state.paceAt)/float64(paceDecay))
	return kernel.Micros(faded * (load + float64(call.Request.PromptTokens)))
}

// recordOutcome keeps the engine's record of errors.
func (d *Dispatcher) recordOutcome(now kernel.Micros, state *engineState, attempt *Attempt, outcome Outcome, why string) {
	if state.start != attempt.Engine.Start {
		return
	}
	state.isProbing = false
	switch outcome {
	case NotSent, ConnectionLost:
		state.errors++
		pause := min(baseEjectionTime<<min(state.errors-1, 8), maxEjectionTime)
		state.ejectedUntil = now + pause
		d.record(now, "engine "+attempt.Engine.ID, "broken", fmt.Sprintf("%s; left alone for %d us", why, pause))
	case Served, RejectedByEngine:
		if state.errors > 0 {
			d.record(now, "engine "+attempt.Engine.ID, "mended", "it answered again")
		}
		state.errors = 0
	}
}

func (d *Dispatcher) learnDrain(lasted float64) {
	if d.drain == 0 {
		d.drain = lasted
	}
	d.drain += 0.05 * (lasted - d.drain)
}

// EngineView is one engine as this router sees it, for operators.
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

// View gives what operators see of the engines.
func (d *Dispatcher) View(now kernel.Micros) []EngineView {
	d.lock.Lock()
	defer d.lock.Unlock()
	views := []EngineView{}
	for _, engine := range d.routingTable.Engines {
		view := EngineView{ID: engine.ID, Zone: engine.Zone, Address: engine.Address, Start: engine.Start, IneligibleReason: d.ineligibleReason(now, engine)}
		if state := d.states[engine.ID]; state != nil {
			view.Own, view.Streams = state.ledger.own, state.ledger.streams
			if engine.HasReport && d.routingTable.Config != nil {
				view.Foreign = d.foreign(now, state, engine)
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b EngineView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}
