package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dunlinloom/checker"
	"dunlinloom/control"
	"dunlinloom/kernel"
	"dunlinloom/relay"
)

// engine is a simulated engine process.
type engine struct {
	world           *World
	id, zone, pool  string
	start           uint64
	bornAt          kernel.Micros
	isUp, isDark    bool
	isLeaving       bool // it says so in its reports
	isLeavingListed bool
	isUnlisted      bool
	isMute          bool             // sends no reports
	isDeclining     bool             // says of every request that it has not run it
	runs            map[string]*call // waiting and running
	queue           []*call
	running         int
	cache           map[uint32]uint64 // prefix to its last use
	cacheUse        uint64
	tokens          int64
	seq             uint64
}

const (
	coldSpan  = 5 * sec
	coldBears = 12
)

// report sends the load as it was a while ago to some node, again and again.
func (e *engine) report() {
	w := e.world
	w.in(500*ms+w.between(0, 20*ms), e.report)
	if !e.isUp || e.isDark || e.isMute {
		return
	}
	e.seq++
	reportLag := w.options.ReportLag
	record := control.EngineRecord{
		ID: e.id, Address: "10.1.0.1:" + e.id[1:], Zone: e.zone, Pool: e.pool, Start: e.start, Seq: e.seq,
		Load: e.tokens, Streams: int64(len(e.runs)), Age: reportLag, Up: w.now - e.bornAt + reportLag, IsLeaving: e.isLeaving,
	}
	target := w.machines[w.random.IntN(len(w.machines))]
	w.in(reportLag, func() {
		target.do(func() {
			if record.IsLeaving {
				w.take(checker.Event{What: checker.EngineLeaving, Engine: e.id, Start: record.Start})
			}
			target.carry(target.node.Hear(target.clock(), []control.EngineRecord{record}))
		})
	})
}

func (e *engine) halt() {
	if !e.isUp {
		return
	}
	e.world.trace("engine %s down", e.id)
	e.world.take(checker.Event{What: checker.EngineFailed, Engine: e.id})
	e.isUp = false
	e.tokens = 0
	for _, tag := range slices.Sorted(maps.Keys(e.runs)) {
		e.runs[tag].engineDied("the channel was reset")
	}
	e.runs, e.queue, e.running, e.cache = map[string]*call{}, nil, 0, map[uint32]uint64{}
}

func (e *engine) boot() {
	if e.isUp {
		return
	}
	e.start++
	e.isUp, e.isDark, e.isLeaving, e.isLeavingListed, e.isUnlisted = true, false, false, false, false
	e.bornAt, e.seq = e.world.now, 0
	e.world.take(checker.Event{What: checker.EngineMended, Engine: e.id})
	e.world.trace("engine %s up, start %d", e.id, e.start)
	e.world.relist()
}

// call is one caller's request at one router.
type call struct {
	world   *World
	tag     string
	began   kernel.Micros
	router  *machine
	call    *relay.Call
	engine  *engine
	start   uint64
	isFirst bool // the caller has a first part of the answer
	isOver  bool
	turn    int
	tokens  int
	placed  int64
	prefix  uint32
	isRun   bool // on a slot of the engine
	kind    string
	caller  *caller
}

func (c *call) end(outcome checker.Outcome, reason string) {
	if c.isOver {
		return
	}
	c.isOver = true
	delete(c.router.calls, c.tag)
	event := checker.Event{What: checker.CallEnded, Tag: c.tag, Node: c.router.name, Kind: c.kind, Began: c.began, Outcome: outcome, Reason: reason}
	if c.call != nil && c.call.Round != nil && outcome != checker.NotRun {
		event.Revision, event.Engine = c.call.Round.Revision, c.call.Round.Engine.ID
	}
	c.world.take(event)
	if c.caller != nil {
		c.caller.heard(outcome)
	}
}

// ran tells the checker that an engine began, or may have begun, to run the request.
func (c *call) ran(e *engine) {
	c.world.take(checker.Event{What: checker.RunBegan, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone, Pool: e.pool})
}

// request sends one request to a router.
func (w *World) request(hot float64) {
	if len(w.options.Kinds) > 0 {
		w.newCaller(hot).call()
		return
	}
	w.send(w.machines[w.random.IntN(len(w.machines))], hot, nil)
}

// send puts one request to a router, for a caller of the day or for none.
func (w *World) send(router *machine, hot float64, by *caller) {
	w.callCount++
	c := &call{world: w, tag: fmt.Sprintf("c%d", w.callCount), began: w.now, router: router, caller: by, kind: "sim"}
	if by != nil {
		c.kind = by.kind.name
	}
	if !router.isUp {
		c.end(checker.Unreached, "the machine is down")
		return
	}
	k := w.options
	c.prefix = uint32(w.random.IntN(k.Prefixes))
	if w.random.Float64() < hot {
		c.prefix = 0
	}
	prefix := c.prefix
	if by != nil {
		k.TailLow, k.TailHigh, k.OutLow, k.OutHigh = by.kind.tailLow, by.kind.tailHigh, by.kind.outLow, by.kind.outHigh
	}
	request := relay.Request{
		ID: c.tag, Kind: c.kind, PromptTokens: k.PrefixLen + k.TailLow + w.random.IntN(k.TailHigh-k.TailLow),
		MaxTokens: k.OutLow + w.random.IntN(k.OutHigh-k.OutLow),
	}
	for i := range uint32(k.PrefixLen) {
		request.Prefix = append(request.Prefix, prefix<<16|i)
	}
	router.calls[c.tag] = c
	if by != nil && by.hangsUpAfter > 0 {
		w.in(by.hangsUpAfter, c.hangUp)
	}
	router.do(func() {
		if c.isOver {
			return
		}
		c.arriveAtDispatcher(request)
	})
}

func (c *call) arriveAtDispatcher(request relay.Request) {
	w, router := c.world, c.router
	made, rejection := router.dispatcher.Arrive(router.clock(), request)
	if rejection != nil && rejection.Reason == "late" {
		// A measurement may let a request wait and look again before it is rejected.
		if w.now-c.began < w.options.AdmissionWait {
			router.later(100*ms, func() {
				if !c.isOver {
					c.arriveAtDispatcher(request)
				}
			})
			return
		}
		w.figures.lateRejects = append(w.figures.lateRejects, w.now-c.began)
	}
	if rejection != nil {
		c.rejected(rejection)
		return
	}
	c.call = made
	c.open()
}

func (c *call) rejected(rejection *relay.Rejection) {
	outcome := checker.NotRun
	if rejection.Run == relay.MayHaveRun {
		outcome = checker.MayHaveRun
	}
	if c.isFirst {
		outcome = checker.Torn
	}
	c.end(outcome, rejection.Reason)
}

// open dials the round's engine and writes the request.
func (c *call) open() {
	w, m := c.world, c.router
	c.turn++
	turn := c.turn
	var chosen *engine
	for _, e := range w.engines {
		if e.id == c.call.Round.Engine.ID {
			chosen = e
		}
	}
	// The dial takes a moment, in which the machine may freeze; what it then wakes
	// to do is judged again before the first byte.
	m.later(w.between(200, 3*ms), func() {
		if c.isOver || turn != c.turn {
			return
		}
		if chosen == nil || !chosen.isUp {
			w.take(checker.Event{What: checker.RoundSent, Tag: c.tag, Node: m.name, Engine: c.call.Round.Engine.ID})
			c.close(relay.NotSent, "connection refused")
			return
		}
		if why := m.dispatcher.MayWrite(m.clock(), c.call); why != "" {
			c.close(relay.Withdrawn, why)
			return
		}
		w.take(checker.Event{What: checker.RoundSent, Tag: c.tag, Node: m.name, Engine: chosen.id})
		w.in(w.between(100, 500), func() { c.arrive(chosen, turn) })
	})
}

func (c *call) close(ending relay.Ending, why string) {
	if m, engine := c.router, c.call.Round.Engine; ending == relay.NotSent {
		defer func() { m.carry(m.node.Suspect(m.clock(), engine.ID, engine.Start)) }()
	}
	isAgain, rejection := c.router.dispatcher.Close(c.router.clock(), c.call, ending, why)
	switch {
	case isAgain:
		c.open()
	case rejection != nil:
		c.rejected(rejection)
	}
}

// arrive is the engine's side.
func (c *call) arrive(e *engine, turn int) {
	w := c.world
	if c.isOver && !c.router.isUp {
		// The router died with the bytes under way; the engine may still get them.
		if e.isUp && !e.isDark {
			c.ran(e)
		}
		return
	}
	if c.isOver || turn != c.turn {
		return
	}
	if !e.isUp {
		c.router.do(func() { c.lost("the channel was reset") })
		return
	}
	if e.isDark {
		// It has the request and says nothing: for all that anyone knows, it runs.
		c.ran(e)
		c.router.later(8*sec, func() {
			if turn == c.turn {
				c.lost("the engine sent nothing")
			}
		})
		return
	}
	if len(e.runs) >= 64 || e.isDeclining {
		w.take(checker.Event{What: checker.RunRejected, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone})
		c.router.later(w.between(200, ms), func() {
			if !c.isOver && turn == c.turn {
				c.close(relay.SaidNotRun, "status 429")
			}
		})
		return
	}
	c.ran(e)
	c.engine, c.start = e, e.start
	c.placed = int64(c.call.Request.PromptTokens + c.call.Request.MaxTokens)
	e.tokens += c.placed
	e.runs[c.tag] = c
	if isCold := w.now-e.bornAt < coldSpan; isCold && len(e.runs) > coldBears {
		w.take(checker.Event{What: checker.RunOvercrowd, Engine: e.id, Reason: fmt.Sprintf("%d at once", len(e.runs))})
	}
	w.figures.work[e.id] += c.placed
	if w.now-e.bornAt < coldSpan && e.start > 1 {
		w.figures.coldPeak = max(w.figures.coldPeak, len(e.runs))
	}
	if w.options.DataBytes {
		// What the prompt and the streamed tokens weigh on the wire.
		bytes := int64(c.call.Request.PromptTokens)*6 + int64(c.call.Request.MaxTokens)*90
		if e.zone == c.router.identity.Zone {
			w.figures.within += bytes
		} else {
			w.figures.crossed += bytes
		}
	}
	e.queue = append(e.queue, c)
	e.pull()
}

// pull starts waiting requests while there are slots.
func (e *engine) pull() {
	w := e.world
	for e.running < w.options.Slots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if e.runs[c.tag] != c {
			continue
		}
		e.running++
		c.isRun = true
		fresh := c.call.Request.PromptTokens
		if e.look(c.prefix) {
			fresh -= w.options.PrefixLen
			w.figures.hits += w.options.PrefixLen
		} else {
			w.figures.misses += w.options.PrefixLen
		}
		w.in(kernel.Micros(fresh)*w.options.Prefill*e.slowness(), func() { c.produce(e, e.start) })
	}
}

func (e *engine) slowness() kernel.Micros {
	if e.start > 1 && e.world.now-e.bornAt < coldSpan {
		return kernel.Micros(e.world.options.ColdSlow)
	}
	return 1
}

// look tells whether a prefix is cached, and caches it; the one used longest ago goes.
func (e *engine) look(prefix uint32) bool {
	e.cacheUse++
	_, isThere := e.cache[prefix]
	e.cache[prefix] = e.cacheUse
	if len(e.cache) > e.world.options.Cache {
		oldest, oldestUse := prefix, e.cacheUse
		for known, use := range e.cache {
			if use < oldestUse {
				oldest, oldestUse = known, use
			}
		}
		delete(e.cache, oldest)
	}
	return isThere
}

// produce sends the next few tokens, until the end.
func (c *call) produce(e *engine, start uint64) {
	w := c.world
	if c.isOver || !e.isUp || e.start != start || e.runs[c.tag] != c {
		return
	}
	if e.isDark {
		// A dark engine's streams stand still; the router's patience ends them.
		c.router.later(8*sec, func() { c.lost("the engine sent nothing") })
		return
	}
	step := min(10, c.call.Request.MaxTokens-c.tokens)
	c.tokens += step
	isLast := c.tokens >= c.call.Request.MaxTokens
	e.tokens -= int64(step)
	if isLast {
		e.release(c)
	}
	c.router.later(w.between(200, ms), func() {
		if c.isOver {
			return
		}
		if !c.isFirst {
			c.router.dispatcher.Responded(c.call)
			if engine := c.call.Round.Engine; start > engine.Start {
				c.router.carry(c.router.node.Restarted(c.router.clock(), engine.ID, start))
			}
			c.isFirst = true
			w.figures.ttft = append(w.figures.ttft, w.now-c.began)
		}
		c.router.dispatcher.Produced(c.router.clock(), c.call, step)
		if isLast {
			c.router.dispatcher.Close(c.router.clock(), c.call, relay.Served, "")
			c.end(checker.Served, "")
		}
	})
	if !isLast {
		w.in(kernel.Micros(step)*w.options.Decode*e.slowness(), func() { c.produce(e, start) })
	}
}

func (e *engine) release(c *call) {
	if e.runs[c.tag] == c {
		delete(e.runs, c.tag)
		e.tokens -= c.placed - int64(c.tokens)
		if c.isRun {
			e.running--
		}
		e.pull()
	}
}

func (c *call) lost(why string) {
	if c.isOver {
		return
	}
	if c.engine != nil && c.engine.start == c.start {
		c.engine.release(c)
	}
	c.close(relay.Lost, why)
}

func (c *call) engineDied(why string) {
	c.router.later(c.world.between(200, ms), func() { c.lost(why) })
}

// routerDied ends the call for its caller; the engine sees the channel close.
func (c *call) routerDied() {
	if c.engine != nil && c.engine.start == c.start {
		c.engine.release(c)
	}
	outcome := checker.NoAck
	if c.isFirst {
		outcome = checker.Torn
	}
	c.end(outcome, "the router died")
}

// Traffic sends requests at a rate for a span.
func (w *World) Traffic(rate float64, span kernel.Micros, hot float64) {
	end := w.now + span
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.request(hot)
		w.in(kernel.Micros(w.random.ExpFloat64()/rate*float64(sec)), next)
	}
	w.in(0, next)
}

// ---- operators ----

type operator struct {
	world  *World
	at     *machine // whom orders go to; anyone when nil
	count  int
	acked  map[uint64]string
	open   map[string]bool
	Yes    int
	No     int
	Unsure int
}

func (w *World) nextConfig() []byte {
	w.configCount++
	shares := []any{}
	for i := range max(w.options.Pools, 1) {
		// Each configuration leaves one pool out, so that an engine that runs tells by which configuration.
		if w.options.Pools == 0 || i != w.configCount%w.options.Pools {
			shares = append(shares, map[string]any{"pool": w.pool(i), "weight": 1 + w.configCount%9})
		}
	}
	binding := map[string]any{
		"name": fmt.Sprintf("b%d", w.configCount), "shares": shares,
		"ttftLimitUs": w.options.TTFTLimit,
	}
	config := map[string]any{"bindings": []any{binding}}
	if w.options.Policy != nil {
		config["policy"] = w.options.Policy
	}
	content, err := json.Marshal(config)
	if err != nil {
		panic(kernel.ServiceError{Name: "spec", Why: err.Error()})
	}
	return content
}

// order gives an order to some node, and again to another under the same id until
// it is answered for good.
func (o *operator) order(submit control.Submit, onEnd func(control.SubmitReply)) {
	o.count++
	submit.ID = fmt.Sprintf("s%d", o.count)
	o.open[submit.ID] = true
	if submit.Order == control.PutConfig {
		o.world.take(checker.Event{What: checker.ConfigSent, ID: submit.ID, Digest: string(submit.Config), Pools: poolsOf(submit.Config)})
	}
	o.try(submit, 0, onEnd)
}

func (o *operator) try(submit control.Submit, tries int, onEnd func(control.SubmitReply)) {
	w := o.world
	if tries > 25 {
		o.Unsure++
		return
	}
	isDone := false
	again := func() {
		if !isDone {
			isDone = true
			o.try(submit, tries+1, onEnd)
		}
	}
	m := w.machines[w.random.IntN(len(w.machines))]
	if o.at != nil {
		m = o.at
	}
	// The operator's own patience; also what it waits when the node is down.
	patience := 11 * sec
	if !m.isUp {
		patience = 300 * ms
	}
	w.in(patience, again)
	m.do(func() {
		m.replies[submit.ID] = func(reply control.SubmitReply) {
			if isDone {
				return
			}
			if reply.Outcome == control.Unproved {
				again()
				return
			}
			isDone = true
			delete(o.open, submit.ID)
			if reply.Outcome == control.Yes {
				o.Yes++
				if strike := w.afterYes; strike != nil && !w.isCalm {
					w.afterYes = nil
					w.in(w.between(0, 20*ms), func() { strike(m) })
				}
			} else {
				o.No++
			}
			onEnd(reply)
		}
		copied := submit
		m.carry(m.node.Submit(m.clock(), &copied))
	})
}

// putConfig puts a new configuration; base is checked when it is not nil.
func (o *operator) putConfig(base *uint64) {
	w := o.world
	config := w.nextConfig()
	o.order(control.Submit{Order: control.PutConfig, Config: config, Base: base}, func(reply control.SubmitReply) {
		event := checker.Event{What: checker.ConfigYes, ID: reply.ID, Revision: reply.Revision, Digest: string(config)}
		if reply.Outcome == control.No {
			event.What, event.Reason = checker.ConfigNo, reply.Reason
		} else {
			o.acked[reply.Revision] = string(config)
		}
		w.trace("spec %s: %s %s generation %d", reply.ID, reply.Outcome, reply.Reason, reply.Revision)
		w.take(event)
	})
}

func (o *operator) empty(zone string, span kernel.Micros) {
	w := o.world
	o.order(control.Submit{Order: control.EmptyZone, Zone: zone}, func(reply control.SubmitReply) {
		if reply.Outcome != control.Yes {
			return
		}
		w.trace("zone %s is emptied", zone)
		w.take(checker.Event{What: checker.ZoneEmptied, Zone: zone, Revision: reply.Revision})
		w.in(span, func() {
			w.take(checker.Event{What: checker.ZoneRefilling, Zone: zone})
			o.order(control.Submit{Order: control.RefillZone, Zone: zone}, func(reply control.SubmitReply) {
				w.take(checker.Event{What: checker.ZoneRefilled, Zone: zone, Revision: reply.Revision})
				w.trace("zone %s is refilled", zone)
			})
		})
	})
}

// readBack reads every configuration of the past that the fleet names, as an operator could
// at the end: what was acknowledged has to be there, what was rejected must not.
func (o *operator) readBack() {
	w := o.world
	var chain []control.ConfigMark
	// Any node that may serve may be read, so all are.
	for _, m := range w.machines {
		if !m.isUp || m.isFrozen || m.clock() >= m.node.State(nil).Until {
			continue
		}
		document := m.node.State(nil).Document
		if chain == nil {
			chain = document.Chain
		}
		w.take(checker.Event{What: checker.ConfigCurrent, Node: m.name, Revision: document.ConfigRevision})
		w.take(checker.Event{What: checker.ZonesRead, Node: m.name, Zones: slices.Sorted(maps.Keys(document.Drained))})
	}
	named := map[uint64]bool{}
	for _, mark := range chain {
		named[mark.Revision] = true
		digest := "(unreadable)"
		for _, m := range w.machines {
			if !m.isUp || m.store == nil {
				continue
			}
			if document, err := m.store.ConfigAt(mark); err == nil {
				digest = string(document.Config)
				break
			}
		}
		w.take(checker.Event{What: checker.ConfigRead, Revision: mark.Revision, Digest: digest})
	}
	for _, revision := range slices.Sorted(maps.Keys(o.acked)) {
		// What a fleet keeps of the past is bounded; docs/limits.md says how far.
		isKept := len(chain) > 0 && revision >= chain[0].Revision
		if (isKept || len(chain) == 0) && !named[revision] {
			w.take(checker.Event{What: checker.ConfigRead, Revision: revision, Digest: "(not named)"})
		}
	}
}
