package simulator

// A caller's request, from admission at the router to its outcome.

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
	hasFirstPart   bool // the caller has received the first part of the response
	isOver         bool // its outcome is recorded
	attempt        int
	tokens         int
	assignedTokens int64
	prefix         uint32
	isRun          bool // occupies a slot of the engine
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

// recordRun records that an engine started, or may have started, to run the request.
func (c *call) recordRun(e *engine) {
	c.world.record(checker.Event{EventKind: checker.RunStarted, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone, Pool: e.pool})
}

func (c *call) arriveAtDispatcher(request relay.Request) {
	w, router := c.world, c.router
	admitted, rejection := router.dispatcher.Admit(router.clock(), request)
	if rejection != nil && rejection.Reason == "late" {
		// If a measurement sets AdmissionWait, a request that is rejected as late requests
		// admission again every 100 ms, and is rejected only once that time has passed.
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
	c.call = admitted
	c.open()
}

func (c *call) rejected(rejection *relay.Rejection) {
	outcome := checker.NotRun
	if rejection.Run == relay.MayHaveRun {
		outcome = checker.MayHaveRun
	}
	if c.hasFirstPart {
		outcome = checker.Truncated
	}
	c.end(outcome, rejection.Reason)
}

// open connects to the engine of the current attempt and writes the request.
func (c *call) open() {
	w, m := c.world, c.router
	c.attempt++
	attempt := c.attempt
	var chosen *engine
	for _, e := range w.engines {
		if e.id == c.call.Attempt.Engine.ID {
			chosen = e
		}
	}
	// The machine may freeze while the connection is being opened. MayWrite therefore
	// checks the attempt again before the first byte is written.
	m.later(w.between(200, 3*ms), func() {
		if c.isOver || attempt != c.attempt {
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
		w.after(w.between(100, 500), func() { c.arrive(chosen, attempt) })
	})
}

func (c *call) close(ending relay.Outcome, why string) {
	if m, engine := c.router, c.call.Attempt.Engine; ending == relay.NotSent {
		defer func() { m.execute(m.node.Suspect(m.clock(), engine.ID, engine.Start)) }()
	}
	isRetried, rejection := c.router.dispatcher.CloseAttempt(c.router.clock(), c.call, ending, why)
	switch {
	case isRetried:
		c.open()
	case rejection != nil:
		c.rejected(rejection)
	}
}

// arrive handles the arrival of the request at the engine.
func (c *call) arrive(e *engine, attempt int) {
	w := c.world
	if c.isOver && !c.router.isUp {
		// The router crashed while the request was in flight; the engine may still receive it.
		if e.isUp && !e.isUnresponsive {
			c.recordRun(e)
		}
		return
	}
	if c.isOver || attempt != c.attempt {
		return
	}
	if !e.isUp {
		c.router.do(func() { c.lost("connection reset") })
		return
	}
	if e.isUnresponsive {
		// The engine has received the request but does not respond, so the request may be running.
		c.recordRun(e)
		c.router.later(8*sec, func() {
			if attempt == c.attempt {
				c.lost("the engine sent no data")
			}
		})
		return
	}
	if len(e.runs) >= 64 || e.isRejecting {
		w.record(checker.Event{EventKind: checker.RunRejected, Tag: c.tag, Engine: e.id, Start: e.start, Zone: e.zone})
		c.router.later(w.between(200, ms), func() {
			if !c.isOver && attempt == c.attempt {
				c.close(relay.RejectedByEngine, "status 429")
			}
		})
		return
	}
	c.recordRun(e)
	c.engine, c.start = e, e.start
	c.assignedTokens = int64(c.call.Request.PromptTokens + c.call.Request.MaxTokens)
	e.tokens += c.assignedTokens
	e.runs[c.tag] = c
	if isCold := w.now-e.startedAt < slowStartSpan; isCold && len(e.runs) > slowStartCapacity {
		w.record(checker.Event{EventKind: checker.RunOverloaded, Engine: e.id, Reason: fmt.Sprintf("%d requests at once", len(e.runs))})
	}
	w.figures.work[e.id] += c.assignedTokens
	if w.now-e.startedAt < slowStartSpan && e.start > 1 {
		w.figures.coldPeak = max(w.figures.coldPeak, len(e.runs))
	}
	if w.options.DataBytes {
		// The size of the prompt and the streamed tokens on the wire.
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

// produce sends up to ten tokens and schedules itself until the response is complete.
func (c *call) produce(e *engine, start uint64) {
	w := c.world
	if c.isOver || !e.isUp || e.start != start || e.runs[c.tag] != c {
		return
	}
	if e.isUnresponsive {
		// An unresponsive engine's streams stall until the router's timeout ends them.
		c.router.later(8*sec, func() { c.lost("the engine sent no data") })
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
		if !c.hasFirstPart {
			c.router.dispatcher.ResponseStarted(c.call)
			if engine := c.call.Attempt.Engine; start > engine.Start {
				c.router.execute(c.router.node.Restarted(c.router.clock(), engine.ID, start))
			}
			c.hasFirstPart = true
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

// routerDied ends the call for its caller and releases it at the engine, which sees the
// connection close.
func (c *call) routerDied() {
	if c.engine != nil && c.engine.start == c.start {
		c.engine.release(c)
	}
	outcome := checker.NoResponse
	if c.hasFirstPart {
		outcome = checker.Truncated
	}
	c.end(outcome, "the router crashed")
}
