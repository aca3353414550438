package simulator

// The simulated engine: slots, prefix cache, speed and load reports.

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// engine is a simulated engine process.
type engine struct {
	world                *World
	id, zone, pool       string
	start                uint64
	startedAt            kernel.Micros
	isUp, isUnresponsive bool
	isDraining           bool // sent in its reports
	isListedDraining     bool
	isUnlisted           bool
	isReportless         bool             // sends no reports
	isRejecting          bool             // rejects every request as not run
	runs                 map[string]*call // waiting and running
	queue                []*call
	running              int
	cache                map[uint32]uint64 // prefix to its last use
	cacheUse             uint64
	tokens               int64
	seq                  uint64
}

// report periodically sends a load report to a random node; the report arrives ReportLag old.
func (e *engine) report() {
	w := e.world
	w.after(500*ms+w.between(0, 20*ms), e.report)
	if !e.isUp || e.isUnresponsive || e.isReportless {
		return
	}
	e.seq++
	reportLag := w.options.ReportLag
	record := registry.EngineRecord{
		ID: e.id, Address: "10.1.0.1:" + e.id[1:], Zone: e.zone, Pool: e.pool, Start: e.start, Seq: e.seq,
		Load: e.tokens, Streams: int64(len(e.runs)), Age: reportLag, Uptime: w.now - e.startedAt + reportLag, IsDraining: e.isDraining,
	}
	target := w.machines[w.random.IntN(len(w.machines))]
	w.after(reportLag, func() {
		target.do(func() {
			if record.IsDraining {
				w.record(checker.Event{EventKind: checker.EngineDraining, Engine: e.id, Start: record.Start})
			}
			target.execute(target.node.ReportEngines(target.clock(), []registry.EngineRecord{record}))
		})
	})
}

func (e *engine) halt() {
	if !e.isUp {
		return
	}
	e.world.trace("engine %s down", e.id)
	e.world.record(checker.Event{EventKind: checker.EngineFailed, Engine: e.id})
	e.isUp = false
	e.tokens = 0
	for _, tag := range slices.Sorted(maps.Keys(e.runs)) {
		e.runs[tag].engineDied("connection reset")
	}
	e.runs, e.queue, e.running, e.cache = map[string]*call{}, nil, 0, map[uint32]uint64{}
}

func (e *engine) boot() {
	if e.isUp {
		return
	}
	e.start++
	e.isUp, e.isUnresponsive, e.isDraining, e.isListedDraining, e.isUnlisted = true, false, false, false, false
	e.startedAt, e.seq = e.world.now, 0
	e.world.record(checker.Event{EventKind: checker.EngineRecovered, Engine: e.id})
	e.world.trace("engine %s up, start %d", e.id, e.start)
	e.world.updateListing()
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
		if e.lookupPrefix(c.prefix) {
			fresh -= w.options.PrefixLen
			w.figures.hits += w.options.PrefixLen
		} else {
			w.figures.misses += w.options.PrefixLen
		}
		w.after(kernel.Micros(fresh)*w.options.Prefill*e.slowness(), func() { c.produce(e, e.start) })
	}
}

func (e *engine) slowness() kernel.Micros {
	if e.start > 1 && e.world.now-e.startedAt < slowStartSpan {
		return kernel.Micros(e.world.options.ColdSlowdown)
	}
	return 1
}

// lookupPrefix reports whether a prefix is cached, and caches it. A full cache evicts the least
// recently used prefix.
func (e *engine) lookupPrefix(prefix uint32) bool {
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

func (e *engine) release(c *call) {
	if e.runs[c.tag] == c {
		delete(e.runs, c.tag)
		e.tokens -= c.assignedTokens - int64(c.tokens)
		if c.isRun {
			e.running--
		}
		e.pull()
	}
}
