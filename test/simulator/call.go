package simulator

// One request of a caller, from the router's choice to its end.

import (
	"fmt"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
)

// call is one caller's request at one router.
type call struct {
	world          *World
	tag            string
	began          kernel.Micros
	router         *machine
	call           *relay.Call
	engine         *engine
	start          uint64
	isFirst        bool // the caller has a first part of the answer
	isOver         bool
	attempt        int
	tokens         int
	assignedTokens int64
	prefix         uint32
	isRun          bool // on a slot of the engine
	kind           string
	caller         *caller
}

func (c *call) end(outcome checker.Outcome, reason string) {
	if c.isOver {
		return
	}
	c.isOver = true
	delete(c.router.calls, c.tag)
	event := checker.Event{EventKind: checker.CallEnded, Tag: c.tag, Node: c.router.name, Kind: c.kind, StartedAt: c.began, Outcome: outcome, Reason: reason}
	if c.call != nil && c.call.Attempt != nil && outcome != checker.NotRun {
		event.Revision, event.Engine = c.call.Attempt.Revision, c.call.Attempt.Engine.ID
	}
	c.world.record(event)
	if c.caller != nil {
		c.caller.onEnd(outcome)
	}
}

// ran tells the checker that an engine began, or may have begun, to run the request.
func (c *call) ran(e *engine) {
	c.world.record(checker.Event{EventKind: checker.RunStarted, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone, Pool: e.pool})
}

func (c *call) arriveAtDispatcher(request relay.Request) {
	w, router := c.world, c.router
	made, rejection := router.dispatcher.Admit(router.clock(), request)
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
		outcome = checker.Truncated
	}
	c.end(outcome, rejection.Reason)
}

// open dials the round's engine and writes the request.
func (c *call) open() {
	w, m := c.world, c.router
	c.attempt++
	turn := c.attempt
	var chosen *engine
	for _, e := range w.engines {
		if e.id == c.call.Attempt.Engine.ID {
			chosen = e
		}
	}
	// The dial takes a moment, in which the machine may freeze; what it then wakes
	// to do is judged again before the first byte.
	m.later(w.between(200, 3*ms), func() {
		if c.isOver || turn != c.attempt {
			return
		}
		if chosen == nil || !chosen.isUp {
			w.record(checker.Event{EventKind: checker.AttemptSent, Tag: c.tag, Node: m.name, Engine: c.call.Attempt.Engine.ID})
			c.close(relay.NotSent, "connection refused")
			return
		}
		if why := m.dispatcher.MayWrite(m.clock(), c.call); why != "" {
			c.close(relay.Canceled, why)
			return
		}
		w.record(checker.Event{EventKind: checker.AttemptSent, Tag: c.tag, Node: m.name, Engine: chosen.id})
		w.after(w.between(100, 500), func() { c.arrive(chosen, turn) })
	})
}

func (c *call) close(ending relay.Outcome, why string) {
	if m, engine := c.router, c.call.Attempt.Engine; ending == relay.NotSent {
		defer func() { m.carry(m.node.Suspect(m.clock(), engine.ID, engine.Start)) }()
	}
	isAgain, rejection := c.router.dispatcher.CloseAttempt(c.router.clock(), c.call, ending, why)
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
		if e.isUp && !e.isUnresponsive {
			c.ran(e)
		}
		return
	}
	if c.isOver || turn != c.attempt {
		return
	}
	if !e.isUp {
		c.router.do(func() { c.lost("the channel was reset") })
		return
	}
	if e.isUnresponsive {
		// It has the request and says nothing: for all that anyone knows, it runs.
		c.ran(e)
		c.router.later(8*sec, func() {
			if turn == c.attempt {
				c.lost("the engine sent nothing")
			}
		})
		return
	}
	if len(e.runs) >= 64 || e.isRejecting {
		w.record(checker.Event{EventKind: checker.RunRejected, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone})
		c.router.later(w.between(200, ms), func() {
			if !c.isOver && turn == c.attempt {
				c.close(relay.RejectedByEngine, "status 429")
			}
		})
		return
	}
	c.ran(e)
	c.engine, c.start = e, e.start
	c.assignedTokens = int64(c.call.Request.PromptTokens + c.call.Request.MaxTokens)
	e.tokens += c.assignedTokens
	e.runs[c.tag] = c
	if isCold := w.now-e.startedAt < slowStartSpan; isCold && len(e.runs) > slowStartCapacity {
		w.record(checker.Event{EventKind: checker.RunOverloaded, Engine: e.id, Reason: fmt.Sprintf("%d at once", len(e.runs))})
	}
	w.figures.work[e.id] += c.assignedTokens
	if w.now-e.startedAt < slowStartSpan && e.start > 1 {
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

// produce sends the next few tokens, until the end.
func (c *call) produce(e *engine, start uint64) {
	w := c.world
	if c.isOver || !e.isUp || e.start != start || e.runs[c.tag] != c {
		return
	}
	if e.isUnresponsive {
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
			c.router.dispatcher.ResponseStarted(c.call)
			if engine := c.call.Attempt.Engine; start > engine.Start {
				c.router.carry(c.router.node.Restarted(c.router.clock(), engine.ID, start))
			}
			c.isFirst = true
			w.figures.ttft = append(w.figures.ttft, w.now-c.began)
		}
		c.router.dispatcher.CountTokens(c.router.clock(), c.call, step)
		if isLast {
			c.router.dispatcher.CloseAttempt(c.router.clock(), c.call, relay.Served, "")
			c.end(checker.Served, "")
		}
	})
	if !isLast {
		w.after(kernel.Micros(step)*w.options.Decode*e.slowness(), func() { c.produce(e, start) })
	}
}

func (c *call) lost(why string) {
	if c.isOver {
		return
	}
	if c.engine != nil && c.engine.start == c.start {
		c.engine.release(c)
	}
	c.close(relay.ConnectionLost, why)
}

func (c *call) engineDied(why string) {
	c.router.later(c.world.between(200, ms), func() { c.lost(why) })
}

// routerDied ends the call for its caller; the engine sees the channel close.
func (c *call) routerDied() {
	if c.engine != nil && c.engine.start == c.start {
		c.engine.release(c)
	}
	outcome := checker.NoResponse
	if c.isFirst {
		outcome = checker.Truncated
	}
	c.end(outcome, "the router died")
}
