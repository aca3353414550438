package relay

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// maxAttempts is the maximum number of attempts for each request, including canceled ones.
const maxAttempts = 4

// RecordFunc writes a decision to the journal: what it is about, what was decided, and why.
type RecordFunc func(now kernel.Micros, subject, decision, why string)

// Dispatcher has the state of all requests of a router and makes every decision about them. It performs
// no I/O: callers report events to it and carry out what it returns. Its lock is held only while it decides.
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
	choiceCount  uint64 // number of choices so far, for Overrides.Choose
	isShutdown   bool
	// Overrides replaces rules of the policy. It is set before the first request.
	Overrides PolicyOverrides
	// meanAttemptTime is the moving average of the duration of served attempts, in microseconds; zero until
	// one was served. It also serves as the estimate for other routers' attempts, which take about as long.
	meanAttemptTime float64
}

// NewDispatcher returns the dispatcher of a router. self is the router's address, as RoutingTable.Routers lists it, and
// zone is the router's zone. The dispatcher rejects every request until it has a routing table with a valid lease. It
// calls record with each decision while it holds its lock.
func NewDispatcher(self, zone string, record RecordFunc) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, salt: xxhash.Sum64String(self), record: record,
		routingTable: &RoutingTable{LeaseLapseReason: "this router has not received a configuration document yet"},
		states:       map[string]*engineState{},
		counts:       Counts{Rejected: map[string]uint64{}, Broken: map[string]uint64{}},
	}
}

// SetRoutingTable replaces the routing table. The new one applies to each choice of an engine from now on, and to open
// attempts of which no byte has been written (see MayWrite).
func (d *Dispatcher) SetRoutingTable(routingTable *RoutingTable) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.routingTable = routingTable
	// Engines come and go while a router runs, and each new one has a new id. So the state of an engine that is no
	// longer in the table is deleted if it has no open stream; otherwise memory would grow without limit.
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

// Shutdown makes the dispatcher reject new requests. Requests that were admitted before are finished.
func (d *Dispatcher) Shutdown() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.isShutdown = true
}

// KnowsEngines reports whether the routing table lists any engine, even if none is eligible.
func (d *Dispatcher) KnowsEngines() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.routingTable.Engines) > 0
}

// Counts returns a copy of the counters.
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

// Admit selects an engine for a new request. It returns a call with its first attempt, or a rejection. Each attempt has
// to be closed with CloseAttempt, since it counts towards its engine's load until then.
func (d *Dispatcher) Admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.counts.Requests++
	call := &Call{Request: request, triedEngines: map[string]bool{}}
	if d.isShutdown {
		return nil, d.reject(now, call, newRejection(reasonShutdown, "this router is stopping; retry at another router",
			http.StatusServiceUnavailable, NotRun, defaultRetryAfter))
	}
	if rejection := d.selectEngine(now, call); rejection != nil {
		return nil, d.reject(now, call, rejection)
	}
	d.counts.FirstAttempts++
	d.retryBudget.deposit(now)
	return call, nil
}

// reject counts a rejection, records it in the journal, and returns it.
func (d *Dispatcher) reject(now kernel.Micros, call *Call, rejection *Rejection) *Rejection {
	d.counts.Rejected[rejection.Reason]++
	d.record(now, call.Request.ID, "decline "+rejection.Reason, rejection.Detail)
	return rejection
}

// CountTokens records that the engine of the call's attempt has sent tokens, and subtracts them from the engine's load.
// The first call for an attempt also updates the estimate of the time to first token.
func (d *Dispatcher) CountTokens(now kernel.Micros, call *Call, tokens int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	attempt := call.Attempt
	state := d.state(attempt.Engine.ID)
	if !attempt.hasFirstToken {
		attempt.hasFirstToken = true
		state.stopAwaiting(attempt)
		state.learnTimePerToken(now, attempt)
		// The first token shows that the engine has processed the prompt. The prompt still uses memory
		// on the engine, so it stays in the load, as in the published policy (docs/design.md).
	}
	// An engine that sends more tokens than the output budget must not make the load negative.
	produced := min(int64(tokens), max(attempt.outstandingTokens-attempt.promptTokens, 0))
	attempt.outstandingTokens -= produced
	state.ledger.add(now, -produced)
}

// CloseAttempt ends the call's attempt. If isRetry is true, call.Attempt is the next attempt to make. Otherwise the
// call has ended, and rejection is the response to the caller. It is nil if the response was relayed or the caller has
// disconnected. Closing an attempt a second time has no effect.
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

// retry opens the next attempt of a call whose last attempt provably did not run. It returns a rejection if no further
// attempt is allowed or no engine is eligible.
func (d *Dispatcher) retry(now kernel.Micros, call *Call, outcome Outcome, why string) *Rejection {
	// A canceled attempt never reached its engine, so the engine may be selected again and the retry
	// budget is not charged.
	isCanceled := outcome == Canceled
	call.triedEngines[call.Attempt.Engine.ID] = true
	if isCanceled {
		delete(call.triedEngines, call.Attempt.Engine.ID)
	}
	rejection := newRejection(reasonEnginesFailed, fmt.Sprintf("attempt %d: %s", call.Attempt.Number, why),
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

// AllowResume reports whether a broken stream may be resumed. A resume continues the same run on the same engine
// process, so nothing runs twice. It is charged to the retry budget like a retry.
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
