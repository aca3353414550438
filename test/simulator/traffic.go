package simulator

// The arrival of requests at routers.

import (
	"fmt"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
)

const (
	slowStartSpan     = 5 * sec
	slowStartCapacity = 12
)

// request sends a request from a caller, or from no caller when there are no request classes.
func (w *World) request(hot float64) {
	if len(w.options.Kinds) > 0 {
		w.newCaller(hot).call()
		return
	}
	w.send(w.machines[w.random.IntN(len(w.machines))], hot, nil)
}

// send sends one request to a router, for a caller or, if by is nil, for none.
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
	if by != nil && by.cancelAfter > 0 {
		w.after(by.cancelAfter, c.cancel)
	}
	router.do(func() {
		if c.isOver {
			return
		}
		c.arriveAtDispatcher(request)
	})
}

// Traffic sends requests at a rate per second for a span; hot is the share with the same prefix.
func (w *World) Traffic(rate float64, span kernel.Micros, hot float64) {
	end := w.now + span
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.request(hot)
		w.after(kernel.Micros(w.random.ExpFloat64()/rate*float64(sec)), next)
	}
	w.after(0, next)
}
