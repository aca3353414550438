package router

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"github.com/cespare/xxhash/v2"
)

// Spans and shares of the choice.
const (
	baseEjectionTime          = 300 * kernel.Millisecond // an engine that failed is left alone for so long, and twice as long each time
	maxEjectionTime           = 3 * kernel.Second
	waitingDecay              = 300 * kernel.Millisecond // the same, of how many wait
	paceTTL                   = 3 * kernel.Second        // for which a pace counts
	paceWeight                = 0.3
	nonRepeatableEjectionTime = 2 * kernel.Second       // and so much longer by requests that may run once only
	overloadEjectionTime      = 50 * kernel.Millisecond // one that turned a request away
	shortRetryAfter           = 200 * kernel.Millisecond
	startupRetryAfter         = 500 * kernel.Millisecond  // in which a router that has just started knows configuration and engines
	foreignDecay              = 1500 * kernel.Millisecond // in which a late figure loses most of its weight
	meanWeight                = 0.03                      // of a new value in a running mean
)

// Counts are the chooser's running figures.
type Counts struct {
	Requests, Attempts, Extras, Diverts, Spared uint64
	Refused                                     map[string]uint64
	Endings                                     map[string]uint64
}

// Chooser owns the state of a router's requests: what happens to them goes in, what is to
// be done comes out. Its one lock is held for one decision.
type Chooser struct {
	lock         sync.Mutex
	salt         uint64
	zone         string
	retry        RetryBudget
	routingTable *RoutingTable
	maxRouters   int // that were ever known to serve at once
	engines      map[string]*engineState
	services     map[string][]*engineState // in order of ids
	budgets      map[string]*budget
	depths       prefixDepths
	splits       map[*fleetconfig.Route]*splitShares // of the configuration in force
	meanPrompt   float64
	meanSize     float64 // tokens outstanding of an attempt, on the mean
	isShutdown   bool
	invariants   *invariant.Monitor
	counts       Counts
}

// NewChooser makes a chooser that refuses until it is shown a routing table.
func NewChooser(self, zone string, retry RetryBudget) *Chooser {
	return &Chooser{
		salt: xxhash.Sum64String(self), zone: zone, retry: retry, routingTable: &RoutingTable{}, engines: map[string]*engineState{},
		services: map[string][]*engineState{}, budgets: map[string]*budget{}, splits: map[*fleetconfig.Route]*splitShares{},
		counts: Counts{Refused: map[string]uint64{}, Endings: map[string]uint64{}},
	}
}

// SetRoutingTable puts a new routing table in force.
func (c *Chooser) SetRoutingTable(routingTable *RoutingTable) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.routingTable.Config != routingTable.Config {
		clear(c.splits)
	}
	c.routingTable = routingTable
	// Routers that are cut off are forgotten, here as there, and go on with their part.
	c.maxRouters = max(c.maxRouters, routingTable.Routers)
	c.services = map[string][]*engineState{}
	known := make(map[string]bool, len(routingTable.Engines))
	for _, engine := range routingTable.Engines {
		known[engine.ID] = true
		state := c.engines[engine.ID]
		if state == nil {
			state = &engineState{attempts: map[*Attempt]bool{}}
			c.engines[engine.ID] = state
		}
		if state.engine.IsUnresponsive && !engine.IsUnresponsive {
			state.failures, state.ejectedUntil = 0, 0
		}
		state.engine = engine
		c.services[engine.Service] = append(c.services[engine.Service], state)
	}
	for id, state := range c.engines {
		if !known[id] && len(state.attempts) == 0 {
			delete(c.engines, id)
		}
	}
	for _, list := range c.services {
		// One order on every router, so that they all have the same engine for a prefix.
		slices.SortFunc(list, func(a, b *engineState) int { return compare(a.engine.ID, b.engine.ID) })
	}
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Shutdown makes the chooser refuse new requests.
func (c *Chooser) Shutdown() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isShutdown = true
}

// Counts gives a copy of the figures.
func (c *Chooser) Counts() Counts {
	c.lock.Lock()
	defer c.lock.Unlock()
	counts := c.counts
	counts.Refused, counts.Endings = maps.Clone(c.counts.Refused), maps.Clone(c.counts.Endings)
	return counts
}

// Config is the configuration in force, or nil.
func (c *Chooser) Config() *fleetconfig.Config {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config
}

// NeedsKeys tells whether requests need the key of a tenant now.
func (c *Chooser) NeedsKeys() bool {
	config := c.Config()
	return config != nil && config.NeedsKeys()
}

// IsWanted tells whether an engine of the routing table has an address.
func (c *Chooser) IsWanted(address string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, engine := range c.routingTable.Engines {
		if engine.Address == address {
			return true
		}
	}
	return false
}

// HasEngines tells whether any service has an engine that may take requests.
func (c *Chooser) HasEngines() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, engine := range c.routingTable.Engines {
		if !engine.IsDraining && !engine.IsUnresponsive {
			return true
		}
	}
	return false
}

// Admit takes a new request and gives its first attempt, or refuses it.
func (c *Chooser) Admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts.Requests++
	call := &Call{Request: request, triedEngines: map[string]bool{}}
	if c.isShutdown {
		return nil, c.reject(&Rejection{"stopping", "this router is stopping; another one serves", http.StatusServiceUnavailable, shortRetryAfter})
	}
	if rejection := c.selectEngine(now, call); rejection != nil {
		return nil, c.reject(rejection)
	}
	return call, nil
}

// countRejection counts a request that was refused before it arrived here.
func (c *Chooser) countRejection(rejection *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.reject(rejection)
}

func (c *Chooser) reject(rejection *Rejection) *Rejection {
	c.counts.Refused[rejection.Reason]++
	return rejection
}

// selectEngine chooses the engine of the call's next attempt.
func (c *Chooser) selectEngine(now kernel.Micros, call *Call) *Rejection {
	candidates, states, avoided := c.candidates(now, call)
	if len(candidates) == 0 {
		// All that are left failed lately; one of them may be well again, and a refusal
		// would surely be worth less.
		if len(avoided) == 0 {
			return &Rejection{"no_engine", "service " + call.Request.Service + " has no engine that may take it", http.StatusServiceUnavailable, startupRetryAfter}
		}
		others := c.meanForeignRequests(call.Request.Service)
		for _, state := range avoided {
			candidates, states = append(candidates, c.candidate(now, state, others)), append(states, state)
		}
	}
	policy := c.routingTable.Config.Policy
	var prefix uint64
	switch {
	case len(call.Request.Segments) == 0 || !call.Request.Route.IsPinned:
		// Nothing to find again anywhere: any engine is as good as another.
		prefix = xxhash.Sum64String(call.Request.ID)
	case len(call.triedEngines) > 0:
		prefix = call.prefix
	default:
		size := float64(call.Request.PromptTokens + call.Request.MaxTokens)
		bound := (policy.MaxImbalance - 1) / float64(len(c.services[call.Request.Service]))
		prefix = c.depths.hash(now, call.Request.Segments, policy.PrefixLength, size, bound)
	}
	call.prefix = prefix
	preferred := relay.Preferred(relay.SlotOf(prefix), candidates)
	// Among engines that count as tied, the salt decides: of what the prompt shares beyond
	// the prefix, so that a diverted prompt finds its parts again, on whichever router.
	choice := relay.Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, sharedHash(call.Request.Segments))
	if choice.IsDivert && c.isInTime(now, states[preferred], call) {
		choice.Index, choice.IsDivert = preferred, false
		c.counts.Spared++
	}
	if choice.IsDivert {
		c.counts.Diverts++
	}
	state := states[choice.Index]
	attempt := &Attempt{Engine: state.engine, Number: len(call.triedEngines) + 1, Reason: choice.Reason, startedAt: now,
		remainingTokens: int64(call.Request.PromptTokens + call.Request.MaxTokens), promptTokens: int64(call.Request.PromptTokens),
		queuedTokens: c.unread(now, state) + float64(call.Request.PromptTokens)}
	call.Attempt = attempt
	call.triedEngines[state.engine.ID] = true
	state.attempts[attempt] = true
	state.tokens += attempt.remainingTokens
	if state.failures > 0 {
		state.isProbing = true
	}
	c.learnSize()
	c.counts.Attempts++
	return nil
}

func (c *Chooser) candidates(now kernel.Micros, call *Call) (candidates []relay.Candidate, states, avoided []*engineState) {
	others := c.meanForeignRequests(call.Request.Service)
	for _, state := range c.services[call.Request.Service] {
		if state.engine.IsDraining || call.triedEngines[state.engine.ID] {
			continue
		}
		if state.engine.IsUnresponsive || now < state.ejectedUntil || state.failures > 0 && (state.isProbing || c.isTooRisky(now, state, call)) {
			avoided = append(avoided, state)
			continue
		}
		candidates = append(candidates, c.candidate(now, state, others))
		states = append(states, state)
	}
	return candidates, states, avoided
}

// isTooRisky tells that a request should not be the one to find out whether an engine that
// failed is well again: what may run once only is lost if it is not.
func (c *Chooser) isTooRisky(now kernel.Micros, state *engineState, call *Call) bool {
	return !call.Request.Route.IsRepeatable() && now < state.ejectedUntil+nonRepeatableEjectionTime
}

func (c *Chooser) candidate(now kernel.Micros, state *engineState, others float64) relay.Candidate {
	load := float64(state.tokens) + float64(state.current()) + c.foreign(now, state, others)
	return relay.Candidate{ID: state.engine.ID, Weight: 1, Load: load}
}

// Sent tells that the attempt's bytes are about to go out. False: it must not be sent any
// more, since what it was chosen by no longer holds.
func (c *Chooser) Sent(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := c.engines[call.Attempt.Engine.ID]
	if state == nil || state.engine.IsDraining || state.engine.Address != call.Attempt.Engine.Address {
		return false
	}
	if !call.isCounted {
		call.isCounted = true
		c.budget(call.Request.Service).first(now, c.retry)
	}
	call.sentAttempts++
	c.checkSent(call)
	return true
}

func (c *Chooser) budget(service string) *budget {
	kept := c.budgets[service]
	if kept == nil {
		kept = &budget{}
		c.budgets[service] = kept
	}
	return kept
}

// spend takes a retry of a service from this router's part of the budget, if there is one left.
func (c *Chooser) spend(now kernel.Micros, service string) bool {
	isSpent := c.budget(service).spend(now, c.retry, c.maxRouters)
	if isSpent {
		c.checkRetries(now, service)
	}
	return isSpent
}

// Answered tells that the engine's answer has begun, with its word on its load, if any.
func (c *Chooser) Answered(now kernel.Micros, call *Call, load Load, hasLoad bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	attempt := call.Attempt
	state := c.engines[attempt.Engine.ID]
	if state == nil {
		return
	}
	state.lastSeenAt = now
	state.learnPace(now, attempt)
	attempt.hasHead = true
	c.meanPrompt += meanWeight * (float64(attempt.promptTokens) - c.meanPrompt)
	state.failures, state.isProbing, state.ejectedUntil = 0, false, 0
	if hasLoad {
		state.learnLoad(now, load)
	}
}

// Produced tells that events of the answer passed, of so many tokens.
func (c *Chooser) Produced(now kernel.Micros, call *Call, tokens int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	attempt := call.Attempt
	state := c.engines[attempt.Engine.ID]
	if state == nil || attempt.isClosed {
		return
	}
	state.lastSeenAt = now
	attempt.hasHead = true
	// What was put out can't make the load of a request less than its prompt.
	worked := min(int64(tokens), max(attempt.remainingTokens-int64(call.Request.PromptTokens), 0))
	attempt.remainingTokens -= worked
	state.tokens -= worked
}

// Bind tells that a part of the answer goes out which only the same engine can end.
func (c *Chooser) Bind(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.isBoundToEngine = true
}

// MayAbandon asks whether an attempt at a silent engine may be given up for one at another:
// whether there is such an engine, and a retry to be had, which it takes.
func (c *Chooser) MayAbandon(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if call.isRetryCharged {
		return true
	}
	candidates, _, _ := c.candidates(now, call)
	if len(candidates) == 0 || now >= call.Request.Deadline || call.isBoundToEngine || call.sentAttempts >= max(call.Request.Route.MaxAttempts, 1) {
		return false
	}
	call.isRetryCharged = c.spend(now, call.Request.Service)
	return call.isRetryCharged
}

// Close ends the call's attempt. It gives true, and the next attempt in the call, when one
// may follow; otherwise the refusal that the caller is owed, if an attempt ended unserved.
func (c *Chooser) Close(now kernel.Micros, call *Call, outcome Outcome, why string) (isAgain bool, rejection *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAgain, rejection = c.close(now, call, outcome, why)
	if rejection != nil {
		c.checkRejection(call, rejection)
	}
	return isAgain, rejection
}

func (c *Chooser) close(now kernel.Micros, call *Call, outcome Outcome, why string) (isAgain bool, rejection *Rejection) {
	attempt := call.Attempt
	if attempt.isClosed {
		return false, nil
	}
	attempt.isClosed = true
	c.counts.Endings[outcome.String()]++
	if state := c.engines[attempt.Engine.ID]; state != nil {
		delete(state.attempts, attempt)
		state.tokens -= attempt.remainingTokens
		c.checkLoad(state)
		c.recordOutcome(now, state, outcome)
	}
	if outcome == Served || outcome == Failed {
		return false, nil
	}
	call.failedAttempts = append(call.failedAttempts, failedAttempt{attempt.Engine.ID, outcome, why, now - call.Request.ArrivedAt})
	if outcome == CallerDisconnected {
		return false, nil
	}
	route := call.Request.Route
	fail := &Rejection{"engine_lost", fmt.Sprintf("attempt %d at %s: %s", attempt.Number, attempt.Engine.ID, why), http.StatusBadGateway, 0}
	call.mayHaveRun = call.mayHaveRun || !outcome.isProvenNotRun()
	if !call.mayHaveRun {
		fail.Reason, fail.Status, fail.RetryAfter = "engines_failed", http.StatusServiceUnavailable, shortRetryAfter
	} else if !route.IsRepeatable() {
		return false, c.reject(fail)
	}
	if now >= call.Request.Deadline || call.isBoundToEngine {
		return false, c.reject(fail)
	}
	// What was never sent has reached no engine, so it counts neither as one of the route's
	// tries nor as a retry; that many engines can't be reached is still an end.
	if outcome == NotSent && len(call.triedEngines) < 6 {
		return c.again(now, call, fail)
	}
	if call.sentAttempts >= max(route.MaxAttempts, 1) {
		return false, c.reject(fail)
	}
	isPaid := call.isRetryCharged
	call.isRetryCharged = false
	if !isPaid && !c.spend(now, call.Request.Service) {
		fail.Detail += "; the retry budget is spent"
		return false, c.reject(fail)
	}
	c.counts.Extras++
	return c.again(now, call, fail)
}

func (c *Chooser) again(now kernel.Micros, call *Call, fail *Rejection) (bool, *Rejection) {
	if rejection := c.selectEngine(now, call); rejection != nil {
		fail.Detail += "; " + rejection.Detail
		return false, c.reject(fail)
	}
	return true, nil
}

// Unsent takes back that an attempt's bytes went out: not one did.
func (c *Chooser) Unsent(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.sentAttempts--
}

// view gives the configuration in force and how many routers serve.
func (c *Chooser) view() (*fleetconfig.Config, int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config, c.routingTable.Routers
}
