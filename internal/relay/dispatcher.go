package relay

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// maxAttempts is how many attempts a request gets.
const maxAttempts = 4

// RecordFunc takes a decision for the journal: what it is about, what was decided and by what figures.
type RecordFunc func(now kernel.Micros, subject, decision, why string)

// Dispatcher is the owner of all requests of a router: what happens to them goes in,
// what is to be done comes out. Its one lock is held only for the decision.
type Dispatcher struct {
	self         string
	zone         string
	salt         uint64
	record       RecordFunc
	lock         sync.Mutex
	routingTable *RoutingTable
	states       map[string]*engineState // by engine id
	retryBudget  retryBudget
	counts       Counts
	choiceCount  uint64 // counts the choices, for trials
	isShutdown   bool
	// Overrides replaces rules of the policy; set before the first request.
	Overrides PolicyOverrides
	// meanAttemptTime is how long a served attempt takes here of late, in microseconds: the work
	// of other routers is done at about the same pace as ours. Zero until one was served.
	meanAttemptTime float64
}

// NewDispatcher makes a dispatcher for the router with the address self in zone. It rejects every
// request until it has a routing table with a lease. Each decision is given to record, under the
// dispatcher's lock.
func NewDispatcher(self, zone string, record RecordFunc) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, salt: xxhash.Sum64String(self), record: record,
		routingTable: &RoutingTable{LeaseLapseReason: "no document has reached this router yet"},
		states:       map[string]*engineState{},
		counts:       Counts{Rejected: map[string]uint64{}, Broken: map[string]uint64{}},
	}
}

// SetRoutingTable replaces the routing table.
func (d *Dispatcher) SetRoutingTable(routingTable *RoutingTable) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.routingTable = routingTable
	// Engines come and go under new names for as long as a router runs; the state of
	// one that is gone is removed after its last stream.
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
		d.retryBudget.ratio = routingTable.Config.Policy.RetryRatio
	}
}

// Shutdown makes the dispatcher reject new requests while it finishes the accepted ones.
func (d *Dispatcher) Shutdown() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.isShutdown = true
}

// KnowsEngines tells whether there is any engine in the routing table, eligible or not.
func (d *Dispatcher) KnowsEngines() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.routingTable.Engines) > 0
}

// Counts gives a copy of the counters.
func (d *Dispatcher) Counts() Counts {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.counts.clone()
}

func (d *Dispatcher) state(id string) *engineState {
	state := d.states[id]
	if state == nil {
		state = &engineState{}
		d.states[id] = state
	}
	return state
}

// Admit takes a new request and gives a call with its first attempt, or a rejection.
func (d *Dispatcher) Admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.counts.Requests++
	call := &Call{Request: request, triedEngines: map[string]bool{}}
	if d.isShutdown {
		return nil, d.reject(now, call, newRejection(reasonShutdown, "this router is stopping; another one serves",
			http.StatusServiceUnavailable, NotRun, defaultRetryAfter))
	}
	if rejection := d.selectEngine(now, call); rejection != nil {
		return nil, d.reject(now, call, rejection)
	}
	d.counts.FirstAttempts++
	d.retryBudget.deposit(now)
	return call, nil
}

// reject counts and records a rejection.
func (d *Dispatcher) reject(now kernel.Micros, call *Call, rejection *Rejection) *Rejection {
	d.counts.Rejected[rejection.Reason]++
	d.record(now, call.Request.ID, "decline "+rejection.Reason, rejection.Detail)
	return rejection
}

// CountTokens counts tokens that the engine of the call's attempt has sent.
func (d *Dispatcher) CountTokens(now kernel.Micros, call *Call, tokens int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	attempt := call.Attempt
	state := d.state(attempt.Engine.ID)
	if !attempt.hasFirstToken {
		attempt.hasFirstToken = true
		state.stopAwaiting(attempt)
		state.learnTimePerToken(now, attempt)
		// The engine has read the prompt once the first token is there, but the prompt still
		// takes room on it, so it stays in the load, as in the source of the policy.
	}
	// More tokens than the budget can't make the load negative.
	produced := min(int64(tokens), max(attempt.outstandingTokens-attempt.promptTokens, 0))
	attempt.outstandingTokens -= produced
	state.ledger.add(now, -produced)
}

// CloseAttempt ends the call's attempt. If another attempt follows, the call has it and isRetry is true;
// otherwise rejection is what the caller has to be answered, if anything.
func (d *Dispatcher) CloseAttempt(now kernel.Micros, call *Call, outcome Outcome, why string) (isRetry bool, rejection *Rejection) {
	d.lock.Lock()
	defer d.lock.Unlock()
	attempt := call.Attempt
	if attempt.isClosed {
		return false, nil
	}
	attempt.isClosed = true
	state := d.state(attempt.Engine.ID)
	state.close(now, attempt)
	d.recordOutcome(now, state, attempt, outcome, why)
	d.record(now, call.Request.ID, "round over: "+outcome.String(), why)
	switch outcome {
	case Served:
		d.counts.Served++
		d.learnAttemptTime(float64(now - attempt.openedAt))
		return false, nil
	case CallerDisconnected:
		d.counts.CallerDisconnects++
		return false, nil
	case ConnectionLost:
		d.counts.Broken["lost"]++
		return false, newRejection(reasonEngineLost, "the engine was lost after the request had been sent: "+why, http.StatusBadGateway, MayHaveRun, 0)
	}
	if rejection := d.retry(now, call, outcome, why); rejection != nil {
		return false, d.reject(now, call, rejection)
	}
	return true, nil
}

// retry opens another attempt of a call whose last one provably did not run.
func (d *Dispatcher) retry(now kernel.Micros, call *Call, outcome Outcome, why string) *Rejection {
	// A canceled attempt never reached its engine: it may be chosen again, without a retry.
	isCanceled := outcome == Canceled
	call.triedEngines[call.Attempt.Engine.ID] = true
	if isCanceled {
		delete(call.triedEngines, call.Attempt.Engine.ID)
	}
	rejection := newRejection(reasonEnginesFailed, fmt.Sprintf("round %d: %s", call.Attempt.Number, why),
		http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	if call.Attempt.Number >= maxAttempts {
		return rejection
	}
	if !isCanceled && !d.retryBudget.withdraw(now) {
		rejection.Reason = reasonRetryBudget
		rejection.Detail += "; the retry budget is spent"
		return rejection
	}
	if rejection := d.selectEngine(now, call); rejection != nil {
		return rejection
	}
	if !isCanceled {
		d.counts.Retries++
	}
	return nil
}

// AllowResume tells whether a stream that broke may be resumed: the same run on the
// same engine and start. It costs a retry.
func (d *Dispatcher) AllowResume(now kernel.Micros, call *Call) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.retryBudget.withdraw(now) {
		return false
	}
	d.counts.Resumes++
	d.record(now, call.Request.ID, "resume", "the same run on "+call.Attempt.Engine.ID)
	return true
}
