package router

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/relay"
)

// Refusal is the final answer to a request that no engine's answer ends.
type Refusal struct {
	Reason     string // a word for programs
	Detail     string // a sentence for people
	Status     int
	RetryAfter kernel.Micros // when to come back; zero: no use
}

func (r *Refusal) Error() string { return r.Reason + ": " + r.Detail }

// Attempt is one request at one engine.
type Attempt struct {
	Engine  Engine
	Number  int
	Why     string
	started kernel.Micros
	left    int64 // outstanding tokens still counted
	prompt  int64
	ahead   float64 // tokens to be read on the engine when it was sent, the own ones included
	hasHead bool
	isOver  bool
}

// Call is the state of one request.
type Call struct {
	Request Request
	Attempt *Attempt
	sent    int // attempts of which bytes may have reached an engine
	// isBound tells that a part of an answer went out which only the same engine can end.
	isBound bool
	tried   map[string]bool
	prefix  uint64
	// isCounted tells that the retry budget knows of the request. Bytes that did not go out
	// after all take back an attempt, not the request.
	isCounted bool
	isPaid    bool // the budget has been charged for the next attempt
	// mayHaveRun tells that an attempt ended without proof that its engine did not run it.
	mayHaveRun bool
}

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	Served     Ending = iota // the whole answer was read
	NotSent                  // not one byte was written
	SaidNotRun               // the engine said that it did not run it
	Moved                    // another engine has the address
	Silent                   // the engine showed no sign of life in time
	Lost                     // after bytes were written, without the engine's word
	CallerGone               // the caller hung up
	Failed                   // the engine's own failure, whole
)

func (e Ending) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed"}[e]
}

// isProven tells that the engine has not run and will not run the request.
func (e Ending) isProven() bool { return e == NotSent || e == SaidNotRun || e == Moved }

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

type engineState struct {
	engine     Engine
	attempts   map[*Attempt]bool
	tokens     int64 // outstanding, of own attempts
	failures   int
	avoidTill  kernel.Micros
	isProbing  bool
	heard      kernel.Micros // when anything was last heard from it
	others     float64       // requests of other routers there, by its late word
	waiting    float64       // of those, the ones that waited for their first event
	othersAt   kernel.Micros
	hasFigures bool
	// pace is the learned time to the first event for each token that had to be read first.
	pace   float64
	paceAt kernel.Micros
}

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
	meanPrompt   float64
	meanSize     float64 // tokens outstanding of an attempt, on the mean
	isShut       bool
	counts       Counts
}

// NewChooser makes a chooser that refuses until it is shown a routing table.
func NewChooser(self, zone string, retry Retry) *Chooser {
	return &Chooser{
		salt: xxhash.Sum64String(self), zone: zone, retry: retry, routingTable: &RoutingTable{}, engines: map[string]*engineState{},
		services: map[string][]*engineState{}, budgets: map[string]*budget{},
		counts: Counts{Refused: map[string]uint64{}, Endings: map[string]uint64{}},
	}
}

// Show puts a new routing table in force.
func (c *Chooser) Show(routingTable *RoutingTable) {
	c.lock.Lock()
	defer c.lock.Unlock()
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

// current is the prompt of the request that an engine is working on, which the source adds
// to the load once more; the oldest of ours that waits for its first event is taken for it.
func (s *engineState) current() int64 {
	var oldest *Attempt
	for attempt := range s.attempts {
		if !attempt.hasHead && (oldest == nil || attempt.started < oldest.started) {
			oldest = attempt
		}
	}
	if oldest == nil {
		return 0
	}
	return oldest.left
}

// inTime is the part of the aim within which a first event has to be foreseen for a divert
// to be spared. The rest is for what a router can't foresee.
const inTime = 0.4

// isInTime is the admission check: it tells that an engine's first event is foreseen well
// within the aim. Twice of a low mean is no load; what is diverted then is read again
// elsewhere for nothing.
func (c *Chooser) isInTime(now kernel.Micros, state *engineState, call *Call) bool {
	goal := call.Request.Route.Goal
	if goal == 0 || state.pace == 0 || now-state.paceAt > paceLasts {
		return false
	}
	foreseen := state.pace * (c.unread(now, state) + float64(call.Request.PromptTokens))
	return foreseen < inTime*float64(goal)
}

// unread reckons the prompt tokens that an engine has to read before it comes to a new one.
func (c *Chooser) unread(now kernel.Micros, state *engineState) float64 {
	tokens, own := 0.0, 0
	for attempt := range state.attempts {
		if !attempt.hasHead {
			tokens += float64(attempt.prompt)
			own++
		}
	}
	if state.hasFigures {
		// Prompts are read within a second or so: an older word says nothing.
		weight := math.Exp(-float64(now-state.othersAt) / float64(waitingFade))
		tokens += state.waiting * weight * c.meanPrompt
	}
	return tokens
}

// learnPace takes how long a first event took.
func (s *engineState) learnPace(now kernel.Micros, attempt *Attempt) {
	if attempt.hasHead || attempt.ahead <= 0 {
		return
	}
	seen := float64(now-attempt.started) / attempt.ahead
	if s.pace == 0 || now-s.paceAt > paceLasts {
		s.pace = seen
	}
	s.pace += paceWeight * (seen - s.pace)
	s.paceAt = now
}

// foreign reckons the tokens that other routers have on an engine, from its late word on
// how many requests it had: less ours then, fading towards the mean of all engines.
func (c *Chooser) foreign(now kernel.Micros, state *engineState, mean float64) float64 {
	if !state.hasFigures {
		return mean * c.meanSize
	}
	weight := math.Exp(-float64(now-state.othersAt) / float64(othersFade))
	return (mean + (state.others-mean)*weight) * c.meanSize
}

// learnSize looks how many tokens a request has outstanding, on the mean of those that are
// under way now. Long ones are under way for longer, so a mean over arrivals would make what
// other routers have look far lighter than what this one has.
func (c *Chooser) learnSize() {
	tokens, attempts := int64(0), 0
	for _, state := range c.engines {
		tokens += state.tokens
		attempts += len(state.attempts)
	}
	if attempts == 0 {
		return
	}
	size := float64(tokens) / float64(attempts)
	if c.meanSize == 0 {
		c.meanSize = size
	}
	c.meanSize += figureWeight * (size - c.meanSize)
}

// meanOthers is how many requests of other routers a service's engines have, on the mean.
func (c *Chooser) meanOthers(service string) float64 {
	sum, known := 0.0, 0.0
	for _, state := range c.services[service] {
		if state.hasFigures {
			sum += state.others
			known++
		}
	}
	return sum / max(known, 1)
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
	call.isPaid = c.budget(call.Request.Service).spend(now, c.retry, c.mostRouters)
	return call.isPaid
}

// HeardSince tells whether anything came from an engine since a moment.
func (c *Chooser) HeardSince(id string, moment kernel.Micros) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := c.engines[id]
	return state != nil && state.heard >= moment
}

// Close ends the call's attempt. It gives true, and the next attempt in the call, when one
// may follow; otherwise the refusal that the caller is owed, if an attempt ended unserved.
func (c *Chooser) Close(now kernel.Micros, call *Call, ending Ending, why string) (isAgain bool, refusal *Refusal) {
	c.lock.Lock()
	defer c.lock.Unlock()
	attempt := call.Attempt
	if attempt.isOver {
		return false, nil
	}
	attempt.isOver = true
	c.counts.Endings[ending.String()]++
	if state := c.engines[attempt.Engine.ID]; state != nil {
		delete(state.attempts, attempt)
		state.tokens -= attempt.left
		c.judge(now, state, ending)
	}
	switch ending {
	case Served, Failed, CallerGone:
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
	if !isPaid && !c.budget(call.Request.Service).spend(now, c.retry, c.mostRouters) {
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

// judge keeps the engine's record of failures.
func (c *Chooser) judge(now kernel.Micros, state *engineState, ending Ending) {
	switch ending {
	case NotSent, Lost, Silent, Moved:
		state.isProbing = false
		state.failures++
		state.avoidTill = now + min(avoidFirst<<min(state.failures-1, 6), avoidLast)
	case SaidNotRun:
		state.isProbing = false
		state.avoidTill = max(state.avoidTill, now+fullAvoid)
	case Served, Failed:
		state.failures, state.isProbing, state.avoidTill = 0, false, 0
	case CallerGone:
		state.isProbing = false
	}
}

// Unsent takes back that an attempt's bytes went out: not one did.
func (c *Chooser) Unsent(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.sent--
}

// Figures takes an engine's word on its load that came without an answer.
func (c *Chooser) Figures(now kernel.Micros, id string, load Load) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if state := c.engines[id]; state != nil {
		state.heard = now
		state.learnLoad(now, load)
	}
}

// learnLoad takes an engine's word on its load, less what is ours of it.
func (s *engineState) learnLoad(now kernel.Micros, load Load) {
	waiting := 0
	for attempt := range s.attempts {
		if !attempt.hasHead {
			waiting++
		}
	}
	s.others = max(float64(load.Running+load.Waiting-len(s.attempts)), 0)
	s.waiting = max(float64(load.Waiting-waiting), 0)
	s.othersAt, s.hasFigures = now, true
}

// view gives the configuration in force and how many routers serve.
func (c *Chooser) view() (*fleetconfig.Config, int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config, c.routingTable.Routers
}
