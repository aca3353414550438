package relay

import (
	"fmt"
	"sort"
	"sync"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"github.com/cespare/xxhash/v2"
)

// Trial puts other rules in the policy's place, to measure against. Daemons have none.
type Trial struct {
	HasNoCurrent bool // the prompt that an engine is working on counts once only
	Choose       func(candidates []Candidate, preferred int, turn uint64) int
	Narrow       func(engine Engine) bool
	Load         func(own int64, engine Engine, foreign float64) float64
	Unseen       *float64
}

// Dispatcher is the owner of all requests of a router: what happens to them goes in,
// what is to be done comes out. Its one lock is held only for the decision.
type Dispatcher struct {
	self         string
	zone         string
	salt         uint64
	record       func(now kernel.Micros, subject, decision, why string)
	lock         sync.Mutex
	routingTable *RoutingTable
	states       map[string]*engineState
	budget       budget
	counts       Counts
	nextIndex    uint64
	isShutdown   bool
	Trial        Trial
	// drain is how long a round lasts here of late: other nodes' work is worked off
	// at about the same pace as ours.
	drain float64
}

// NewDispatcher makes a dispatcher that rejects until it is shown a routing table.
func NewDispatcher(self, zone string, note func(now kernel.Micros, subject, decision, why string)) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, salt: xxhash.Sum64String(self), record: note, routingTable: &RoutingTable{LeaseLapseReason: "no document has reached this router yet"},
		states: map[string]*engineState{},
		counts: Counts{Rejected: map[string]uint64{}, Broken: map[string]uint64{}},
	}
}

// SetRoutingTable puts a new routing table in force.
func (d *Dispatcher) SetRoutingTable(routingTable *RoutingTable) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.routingTable = routingTable
	// Engines come and go under new names for as long as a router runs; what is kept
	// of one that is gone ends with its last stream.
	known := make(map[string]bool, len(routingTable.Engines))
	for _, engine := range routingTable.Engines {
		known[engine.ID] = true
	}
	for id, state := range d.states {
		if !known[id] && state.ledger.streams == 0 {
			delete(d.states, id)
		}
	}
	if routingTable.Config != nil {
		d.budget.ratio = routingTable.Config.Policy.RetryRatio
	}
}

// Shutdown makes the dispatcher decline new requests while it finishes the accepted ones.
func (d *Dispatcher) Shutdown() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.isShutdown = true
}

// Counts gives a copy of the figures.
func (d *Dispatcher) Counts() Counts {
	d.lock.Lock()
	defer d.lock.Unlock()
	counts := d.counts
	counts.Rejected, counts.Broken = map[string]uint64{}, map[string]uint64{}
	for reason, count := range d.counts.Rejected {
		counts.Rejected[reason] = count
	}
	for reason, count := range d.counts.Broken {
		counts.Broken[reason] = count
	}
	return counts
}

func (d *Dispatcher) state(id string) *engineState {
	state := d.states[id]
	if state == nil {
		state = &engineState{}
		d.states[id] = state
	}
	return state
}

// Admit takes a new request: a call with its first round, or a decline.
func (d *Dispatcher) Admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.counts.Requests++
	call := &Call{Request: request, triedEngines: map[string]bool{}}
	if d.isShutdown {
		return nil, d.rejection(now, call, &Rejection{"stopping", "this router is stopping; another one serves", 503, NotRun, defaultRetryAfter})
	}
	if rejection := d.selectEngine(now, call); rejection != nil {
		return nil, d.rejection(now, call, rejection)
	}
	d.counts.FirstAttempts++
	d.budget.earn(now)
	return call, nil
}

func (d *Dispatcher) rejection(now kernel.Micros, call *Call, rejection *Rejection) *Rejection {
	d.counts.Rejected[rejection.Reason]++
	d.record(now, call.Request.ID, "decline "+rejection.Reason, rejection.Detail)
	return rejection
}

// selectEngine picks an engine for the call's next round, judged against what holds now.
func (d *Dispatcher) selectEngine(now kernel.Micros, call *Call) *Rejection {
	routingTable := d.routingTable
	if now >= routingTable.LeaseUntil || routingTable.Config == nil {
		why := routingTable.LeaseLapseReason
		if why == "" {
			why = "the lease has lapsed"
		}
		return &Rejection{"no_licence", why, 503, NotRun, defaultRetryAfter}
	}
	binding, isBound := routingTable.Config.Bind(call.Request.Kind, call.Request.Model)
	if !isBound {
		return &Rejection{"unknown_binding", fmt.Sprintf("no binding takes kind %q and model %q", call.Request.Kind, call.Request.Model), 404, NotRun, 0}
	}
	candidates, engines, why := d.candidates(now, call, binding)
	if len(candidates) == 0 {
		return &Rejection{"no_engine", "no engine of binding " + binding.Name + " can take it: " + why, 503, NotRun, defaultRetryAfter}
	}
	if routingTable.Config.Policy.PrefersOwnZone {
		// Where crossing zones is dear, the own zone's engines are the whole pool as
		// long as one of them can take the request in time.
		if near, nearEngines := ownZone(d.zone, candidates, engines); len(near) > 0 {
			if rejection := d.pick(now, call, binding, near, nearEngines); rejection == nil {
				return nil
			}
		}
	}
	return d.pick(now, call, binding, candidates, engines)
}

func ownZone(zone string, candidates []Candidate, engines []Engine) ([]Candidate, []Engine) {
	near, nearEngines := []Candidate{}, []Engine{}
	for i, engine := range engines {
		if engine.Zone == zone {
			near, nearEngines = append(near, candidates[i]), append(nearEngines, engine)
		}
	}
	return near, nearEngines
}

// pick chooses between candidates, judges the choice and opens the round.
func (d *Dispatcher) pick(now kernel.Micros, call *Call, binding *fleetconfig.Binding, candidates []Candidate, engines []Engine) *Rejection {
	policy := d.routingTable.Config.Policy
	prefix := PrefixHash(call.Request.Prefix, policy.PrefixLength)
	preferred := Preferred(SlotOf(prefix), candidates)
	d.nextIndex++
	// The salt differs between nodes, so that they do not all divert to one engine,
	// and stays for a node and slot, so that a diverted prefix finds its cache again.
	choice := Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, d.salt^uint64(SlotOf(prefix))*0x9e3779b97f4a7c15)
	if d.Trial.Choose != nil {
		choice = Choice{Index: d.Trial.Choose(candidates, preferred, d.nextIndex), Preferred: preferred, Reason: "trial"}
		choice.IsDivert = choice.Index != preferred
	}
	if choice.Index < 0 {
		return &Rejection{"ramping", "every engine of binding " + binding.Name + " is starting up and full", 503, NotRun, defaultRetryAfter}
	}
	why := choice.Reason
	size := int64(call.Request.PromptTokens + call.Request.MaxTokens)
	// Admission judges the policy's choice. Only if that would be late is the least
	// loaded engine tried too: a decline there costs a caller, the miss of a
	// cached prefix only time.
	foreseen := d.estimateTTFT(now, engines[choice.Index], candidates[choice.Index].Load, call)
	if binding.TTFTLimit > 0 && foreseen > binding.TTFTLimit {
		other := leastLoaded(candidates, policy.NearTie*choice.Mean, d.salt)
		again := foreseen
		if other >= 0 {
			again = d.estimateTTFT(now, engines[other], candidates[other].Load, call)
		}
		if again > binding.TTFTLimit {
			return &Rejection{"late", fmt.Sprintf("the first token is foreseen in %d us on %s, above the limit of %d us", again, engines[choice.Index].ID, binding.TTFTLimit),
				503, NotRun, max(again-binding.TTFTLimit, defaultRetryAfter)}
		}
		why = fmt.Sprintf("admission: %d us foreseen on %s", foreseen, engines[choice.Index].ID)
		choice.Index, choice.IsDivert = other, true
		d.counts.AdmissionDiverts++
	}
	if choice.IsDivert {
		d.counts.Diverts++
	}
	engine := engines[choice.Index]
	call.attempts++
	call.Attempt = &Attempt{
		Number: call.attempts, Engine: engine, Binding: binding.Name, Revision: d.routingTable.Revision,
		openedAt: now, outstandingTokens: size, promptTokens: int64(call.Request.PromptTokens), load: candidates[choice.Index].Load + float64(call.Request.PromptTokens),
	}
	state := d.state(engine.ID)
	state.ledger.add(now, size)
	state.ledger.streams++
	state.awaitingFirstToken = append(state.awaitingFirstToken, call.Attempt)
	if state.errors > 0 {
		state.isProbing = true
	}
	d.record(now, call.Request.ID, fmt.Sprintf("round %d to %s", call.attempts, engine.ID),
		fmt.Sprintf("%s; binding %s, revision %d, load %.0f of mean %.0f over %d engines, preferred %s",
			why, binding.Name, d.routingTable.Revision, candidates[choice.Index].Load, choice.Mean, len(candidates), engines[preferred].ID))
	return nil
}

// why an engine may not take a request now; empty when it may.
func (d *Dispatcher) ineligibleReason(now kernel.Micros, engine Engine) string {
	switch state := d.states[engine.ID]; {
	case engine.Address == "":
		return "has no address"
	case engine.IsDraining:
		return "leaving"
	case d.routingTable.Drained[engine.Zone]:
		return "in an emptied zone"
	case engine.IsUnlisted:
		return "gone from the platform's list"
	case engine.IsUnresponsive:
		return "dark"
	case state != nil && state.start == engine.Start && state.errors > 0 && (now < state.ejectedUntil || state.isProbing):
		return "broken"
	}
	return ""
}

func (d *Dispatcher) candidates(now kernel.Micros, call *Call, binding *fleetconfig.Binding) ([]Candidate, []Engine, string) {
	candidates, engines := []Candidate{}, []Engine{}
	barred := map[string]int{}
	for _, engine := range d.routingTable.Engines {
		weight := binding.Weight(engine.ID, engine.Pool, engine.Zone)
		if weight == 0 {
			continue
		}
		why := d.ineligibleReason(now, engine)
		if why == "" && d.Trial.Narrow != nil && !d.Trial.Narrow(engine) {
			why = "left out by a trial"
		}
		if why == "" && call.triedEngines[engine.ID] {
			why = "tried already"
		}
		if why != "" {
			barred[why]++
			continue
		}
		state := d.state(engine.ID)
		if state.start != engine.Start {
			// Another process: neither its errors nor its pace are the old one's.
			state.start, state.errors, state.isProbing, state.pace = engine.Start, 0, false, 0
		}
		load, foreign := float64(max(state.ledger.own, 0)+d.current(state)), 0.0
		if engine.HasReport {
			foreign = d.foreign(now, state, engine)
		}
		load += foreign
		if d.Trial.Load != nil {
			load = d.Trial.Load(state.ledger.own, engine, foreign)
		}
		isFull := state.ledger.streams >= d.rampShare(now, engine)
		candidates = append(candidates, Candidate{engine.ID, weight, load, isFull})
		engines = append(engines, engine)
	}
	reasons := []string{}
	for reason, count := range barred {
		reasons = append(reasons, fmt.Sprintf("%d %s", count, reason))
	}
	sort.Strings(reasons)
	if len(reasons) == 0 {
		reasons = append(reasons, "none is known")
	}
	return candidates, engines, fmt.Sprint(reasons)
}

// MayWrite is asked at the last moment before the first byte goes to an engine:
// a router that was frozen since it picked must not act on what it knew then.
func (d *Dispatcher) MayWrite(now kernel.Micros, call *Call) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	if now >= d.routingTable.LeaseUntil {
		return "the lease lapsed meanwhile"
	}
	binding, isBound := d.routingTable.Config.Bind(call.Request.Kind, call.Request.Model)
	if !isBound {
		return "no binding takes it any more"
	}
	for _, engine := range d.routingTable.Engines {
		if engine.ID != call.Attempt.Engine.ID || engine.Start != call.Attempt.Engine.Start {
			continue
		}
		if engine.IsDraining || engine.IsUnlisted || d.routingTable.Drained[engine.Zone] || binding.Weight(engine.ID, engine.Pool, engine.Zone) == 0 {
			return "the engine may not take it any more"
		}
		return ""
	}
	return "the engine is not known any more"
}

// Produced counts tokens that the engine has sent.
func (d *Dispatcher) Produced(now kernel.Micros, call *Call, tokens int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	attempt := call.Attempt
	state := d.state(attempt.Engine.ID)
	if !attempt.hasFirstToken {
		attempt.hasFirstToken = true
		state.begun(attempt)
		seen := float64(now-attempt.openedAt) / max(attempt.load, 1)
		if state.pace == 0 {
			state.pace = seen
		} else {
			state.pace += 0.2 * (seen - state.pace)
		}
		state.paceAt = now
		// The prompt is worked off once the first token is there, but it still takes
		// room on the engine, so as the source has it, it stays in the load.
	}
	// More tokens than the budget can't make the load negative.
	worked := min(int64(tokens), max(attempt.outstandingTokens-int64(call.Request.PromptTokens), 0))
	attempt.outstandingTokens -= worked
	state.ledger.add(now, -worked)
}

// Close ends the call's round. It gives the next round, in the call, when one may
// follow, and otherwise the decline that the caller is owed, if anything is.
func (d *Dispatcher) Close(now kernel.Micros, call *Call, outcome Outcome, why string) (isAgain bool, rejection *Rejection) {
	d.lock.Lock()
	defer d.lock.Unlock()
	attempt := call.Attempt
	if attempt.isClosed {
		return false, nil
	}
	attempt.isClosed = true
	state := d.state(attempt.Engine.ID)
	state.ledger.add(now, -attempt.outstandingTokens)
	state.ledger.streams--
	state.begun(attempt)
	d.recordOutcome(now, state, attempt, outcome, why)
	d.record(now, call.Request.ID, "round over: "+outcome.String(), why)
	switch outcome {
	case Served:
		d.counts.Served++
		d.learnDrain(float64(now - attempt.openedAt))
		return false, nil
	case CallerDisconnected:
		d.counts.CallerDisconnects++
		return false, nil
	case ConnectionLost:
		d.counts.Broken["lost"]++
		return false, &Rejection{"engine_lost", "the engine was lost after the request had been sent: " + why, 502, MayHaveRun, 0}
	}
	call.triedEngines[attempt.Engine.ID] = true
	if outcome == Canceled {
		delete(call.triedEngines, attempt.Engine.ID)
	}
	fail := &Rejection{"engines_failed", fmt.Sprintf("round %d: %s", attempt.Number, why), 503, NotRun, defaultRetryAfter}
	if attempt.Number >= maxAttempts {
		return false, d.rejection(now, call, fail)
	}
	// A withdrawn round touched no engine, so it is picked anew without a retry.
	if outcome != Canceled && !d.budget.spend(now) {
		fail.Reason, fail.Detail = "retry_budget", fail.Detail+"; the retry budget is spent"
		return false, d.rejection(now, call, fail)
	}
	if rejection := d.selectEngine(now, call); rejection != nil {
		return false, d.rejection(now, call, rejection)
	}
	if outcome != Canceled {
		d.counts.Retries++
	}
	return true, nil
}

// Responded tells that an engine has begun to answer, which ends its error.
func (d *Dispatcher) Responded(call *Call) {
	d.lock.Lock()
	defer d.lock.Unlock()
	state := d.state(call.Attempt.Engine.ID)
	if state.start == call.Attempt.Engine.Start {
		state.errors, state.isProbing = 0, false
	}
}

// Resume asks whether a broken stream may be taken up again: the same run, on
// the same engine and start, within the retry budget.
func (d *Dispatcher) Resume(now kernel.Micros, call *Call) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.budget.spend(now) {
		return false
	}
	d.counts.Resumes++
	d.record(now, call.Request.ID, "resume", "the same run on "+call.Attempt.Engine.ID)
	return true
}

// KnowsEngines tells whether there is any engine in the routing table, barred or not.
func (d *Dispatcher) KnowsEngines() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.routingTable.Engines) > 0
}
