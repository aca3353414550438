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
	avoidFirst   = 300 * kernel.Millisecond // an engine that failed is left alone for so long, and twice as long each time
	avoidLast    = 3 * kernel.Second
	waitingFade  = 300 * kernel.Millisecond // the same, of how many wait
	paceLasts    = 3 * kernel.Second        // for which a pace counts
	paceWeight   = 0.3
	dearWait     = 2 * kernel.Second       // and so much longer by requests that may run once only
	fullAvoid    = 50 * kernel.Millisecond // one that turned a request away
	soon         = 200 * kernel.Millisecond
	settled      = 500 * kernel.Millisecond  // in which a router that has just started knows configuration and engines
	othersFade   = 1500 * kernel.Millisecond // in which a late figure loses most of its weight
	figureWeight = 0.03                      // of a new value in a running mean
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
	retry        Retry
	routingTable *RoutingTable
	mostRouters  int // that were ever known to serve at once
	engines      map[string]*engineState
	services     map[string][]*engineState // in order of ids
	budgets      map[string]*budget
	depths       depths
	splits       map[*fleetconfig.Route]*splitShares // of the configuration in force
	meanPrompt   float64
	meanSize     float64 // tokens outstanding of an attempt, on the mean
	isShut       bool
	invariants   *invariant.Monitor
	counts       Counts
}

// NewChooser makes a chooser that refuses until it is shown a routing table.
func NewChooser(self, zone string, retry Retry) *Chooser {
	return &Chooser{
		salt: xxhash.Sum64String(self), zone: zone, retry: retry, routingTable: &RoutingTable{}, engines: map[string]*engineState{},
		services: map[string][]*engineState{}, budgets: map[string]*budget{}, splits: map[*fleetconfig.Route]*splitShares{},
		counts: Counts{Refused: map[string]uint64{}, Endings: map[string]uint64{}},
	}
}

// Show puts a new routing table in force.
func (c *Chooser) Show(routingTable *RoutingTable) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.routingTable.Config != routingTable.Config {
		clear(c.splits)
	}
	c.routingTable = routingTable
	// Routers that are cut off are forgotten, here as there, and go on with their part.
	c.mostRouters = max(c.mostRouters, routingTable.Routers)
	c.services = map[string][]*engineState{}
	known := make(map[string]bool, len(routingTable.Engines))
	for _, engine := range routingTable.Engines {
		known[engine.ID] = true
		state := c.engines[engine.ID]
		if state == nil {
			state = &engineState{attempts: map[*Attempt]bool{}}
			c.engines[engine.ID] = state
		}
		if state.engine.IsDark && !engine.IsDark {
			state.failures, state.avoidTill = 0, 0
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

// Shut makes the chooser refuse new requests.
func (c *Chooser) Shut() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isShut = true
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
		if !engine.IsLeaving && !engine.IsDark {
			return true
		}
	}
	return false
}

// Arrive takes a new request and gives its first attempt, or refuses it.
func (c *Chooser) Arrive(now kernel.Micros, request Request) (*Call, *Refusal) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts.Requests++
	call := &Call{Request: request, tried: map[string]bool{}}
	if c.isShut {
		return nil, c.refuse(&Refusal{"stopping", "this router is stopping; another one serves", http.StatusServiceUnavailable, soon})
	}
	if refusal := c.open(now, call); refusal != nil {
		return nil, c.refuse(refusal)
	}
	return call, nil
}

// countRefusal counts a request that was refused before it arrived here.
func (c *Chooser) countRefusal(refusal *Refusal) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.refuse(refusal)
}

func (c *Chooser) refuse(refusal *Refusal) *Refusal {
	c.counts.Refused[refusal.Reason]++
	return refusal
}

// open chooses the engine of the call's next attempt.
func (c *Chooser) open(now kernel.Micros, call *Call) *Refusal {
	candidates, states, avoided := c.candidates(now, call)
	if len(candidates) == 0 {
		// All that are left failed lately; one of them may be well again, and a refusal
		// would surely be worth less.
		if len(avoided) == 0 {
			return &Refusal{"no_engine", "service " + call.Request.Service + " has no engine that may take it", http.StatusServiceUnavailable, settled}
		}
		others := c.meanOthers(call.Request.Service)
		for _, state := range avoided {
			candidates, states = append(candidates, c.candidate(now, state, others)), append(states, state)
		}
	}
	policy := c.routingTable.Config.Policy
	var prefix uint64
	switch {
	case len(call.Request.Parts) == 0 || !call.Request.Route.IsPinned:
		// Nothing to find again anywhere: any engine is as good as another.
		prefix = xxhash.Sum64String(call.Request.ID)
	case len(call.tried) > 0:
		prefix = call.prefix
	default:
		size := float64(call.Request.PromptTokens + call.Request.MaxTokens)
		bound := (policy.MaxImbalance - 1) / float64(len(c.services[call.Request.Service]))
		prefix = c.depths.hash(now, call.Request.Parts, policy.PrefixLength, size, bound)
	}
	call.prefix = prefix
	preferred := relay.Preferred(relay.SlotOf(prefix), candidates)
	// Among engines that count as tied, the salt decides: of what the prompt shares beyond
	// the prefix, so that a diverted prompt finds its parts again, on whichever router.
	choice := relay.Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, sharedHash(call.Request.Parts))
	if choice.IsDivert && c.isInTime(now, states[preferred], call) {
		choice.Index, choice.IsDivert = preferred, false
		c.counts.Spared++
	}
	if choice.IsDivert {
		c.counts.Diverts++
	}
	state := states[choice.Index]
	attempt := &Attempt{Engine: state.engine, Number: len(call.tried) + 1, Why: choice.Why, started: now,
		left: int64(call.Request.PromptTokens + call.Request.MaxTokens), prompt: int64(call.Request.PromptTokens),
		ahead: c.unread(now, state) + float64(call.Request.PromptTokens)}
	call.Attempt = attempt
	call.tried[state.engine.ID] = true
	state.attempts[attempt] = true
	state.tokens += attempt.left
	if state.failures > 0 {
		state.isProbing = true
	}
	c.learnSize()
	c.counts.Attempts++
	return nil
}

func (c *Chooser) candidates(now kernel.Micros, call *Call) (candidates []relay.Candidate, states, avoided []*engineState) {
	others := c.meanOthers(call.Request.Service)
	for _, state := range c.services[call.Request.Service] {
		if state.engine.IsLeaving || call.tried[state.engine.ID] {
			continue
		}
		if state.engine.IsDark || now < state.avoidTill || state.failures > 0 && (state.isProbing || c.isTooDear(now, state, call)) {
			avoided = append(avoided, state)
			continue
		}
		candidates = append(candidates, c.candidate(now, state, others))
		states = append(states, state)
	}
	return candidates, states, avoided
}

// isTooDear tells that a request should not be the one to find out whether an engine that
// failed is well again: what may run once only is lost if it is not.
func (c *Chooser) isTooDear(now kernel.Micros, state *engineState, call *Call) bool {
	return !call.Request.Route.IsRepeatable() && now < state.avoidTill+dearWait
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
	if state == nil || state.engine.IsLeaving || state.engine.Address != call.Attempt.Engine.Address {
		return false
	}
	if !call.isCounted {
		call.isCounted = true
		c.budget(call.Request.Service).first(now, c.retry)
	}
	call.sent++
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
	isSpent := c.budget(service).spend(now, c.retry, c.mostRouters)
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
	state.heard = now
	state.learnPace(now, attempt)
	attempt.hasHead = true
	c.meanPrompt += figureWeight * (float64(attempt.prompt) - c.meanPrompt)
	state.failures, state.isProbing, state.avoidTill = 0, false, 0
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
	if state == nil || attempt.isOver {
		return
	}
	state.heard = now
	attempt.hasHead = true
	// What was put out can't make the load of a request less than its prompt.
	worked := min(int64(tokens), max(attempt.left-int64(call.Request.PromptTokens), 0))
	attempt.left -= worked
	state.tokens -= worked
}

// Bind tells that a part of the answer goes out which only the same engine can end.
func (c *Chooser) Bind(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.isBound = true
}

// MayLeave asks whether an attempt at a silent engine may be given up for one at another:
// whether there is such an engine, and a retry to be had, which it takes.
func (c *Chooser) MayLeave(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if call.isPaid {
		return true
	}
	candidates, _, _ := c.candidates(now, call)
	if len(candidates) == 0 || now >= call.Request.Deadline || call.isBound || call.sent >= max(call.Request.Route.Tries, 1) {
		return false
	}
	call.isPaid = c.spend(now, call.Request.Service)
	return call.isPaid
}

// Close ends the call's attempt. It gives true, and the next attempt in the call, when one
// may follow; otherwise the refusal that the caller is owed, if an attempt ended unserved.
func (c *Chooser) Close(now kernel.Micros, call *Call, ending Ending, why string) (isAgain bool, refusal *Refusal) {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAgain, refusal = c.close(now, call, ending, why)
	if refusal != nil {
		c.checkPromise(call, refusal)
	}
	return isAgain, refusal
}

func (c *Chooser) close(now kernel.Micros, call *Call, ending Ending, why string) (isAgain bool, refusal *Refusal) {
	attempt := call.Attempt
	if attempt.isOver {
		return false, nil
	}
	attempt.isOver = true
	c.counts.Endings[ending.String()]++
	if state := c.engines[attempt.Engine.ID]; state != nil {
		delete(state.attempts, attempt)
		state.tokens -= attempt.left
		c.checkLoad(state)
		c.judge(now, state, ending)
	}
	if ending == Served || ending == Failed {
		return false, nil
	}
	call.ends = append(call.ends, attemptEnd{attempt.Engine.ID, ending, why, now - call.Request.Arrived})
	if ending == CallerGone {
		return false, nil
	}
	route := call.Request.Route
	fail := &Refusal{"engine_lost", fmt.Sprintf("attempt %d at %s: %s", attempt.Number, attempt.Engine.ID, why), http.StatusBadGateway, 0}
	call.mayHaveRun = call.mayHaveRun || !ending.isProven()
	if !call.mayHaveRun {
		fail.Reason, fail.Status, fail.RetryAfter = "engines_failed", http.StatusServiceUnavailable, soon
	} else if !route.IsRepeatable() {
		return false, c.refuse(fail)
	}
	if now >= call.Request.Deadline || call.isBound {
		return false, c.refuse(fail)
	}
	// What was never sent has reached no engine, so it counts neither as one of the route's
	// tries nor as a retry; that many engines can't be reached is still an end.
	if ending == NotSent && len(call.tried) < 6 {
		return c.again(now, call, fail)
	}
	if call.sent >= max(route.Tries, 1) {
		return false, c.refuse(fail)
	}
	isPaid := call.isPaid
	call.isPaid = false
	if !isPaid && !c.spend(now, call.Request.Service) {
		fail.Detail += "; the retry budget is spent"
		return false, c.refuse(fail)
	}
	c.counts.Extras++
	return c.again(now, call, fail)
}

func (c *Chooser) again(now kernel.Micros, call *Call, fail *Refusal) (bool, *Refusal) {
	if refusal := c.open(now, call); refusal != nil {
		fail.Detail += "; " + refusal.Detail
		return false, c.refuse(fail)
	}
	return true, nil
}

// Unsent takes back that an attempt's bytes went out: not one did.
func (c *Chooser) Unsent(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.sent--
}

// view gives the configuration in force and how many routers serve.
func (c *Chooser) view() (*fleetconfig.Config, int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config, c.routingTable.Routers
}
