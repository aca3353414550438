package simulator

import (
	"encoding/json"
	"slices"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
)

// callKind is a class of requests, with the size ranges of their prompts and responses.
type callKind struct {
	name              string
	weight            int
	tailLow, tailHigh int
	outLow, outHigh   int
	cancelPercent     int
}

// runCallKinds are the request classes of an ordinary run: long prompts, short prompts, and
// streams that stay open long enough to span restarts, configuration changes and freezes.
var runCallKinds = []callKind{
	{name: "log", weight: 45, tailLow: 100, tailHigh: 600, outLow: 20, outHigh: 160, cancelPercent: 2},
	{name: "quote", weight: 50, tailLow: 5, tailHigh: 80, outLow: 5, outHigh: 60, cancelPercent: 1},
	{name: "held", weight: 5, tailLow: 5, tailHigh: 80, outLow: 1000, outHigh: 3000, cancelPercent: 10},
}

// callers models how the platform distributes requests to nodes. It selects nodes by zone
// from a list of ready nodes that is up to readyLag old, and reuses open connections.
type callers struct {
	begun, served int
	ready         map[string][]*machine
	refreshedAt   kernel.Micros
	connections   map[string][]*machine // by zone
}

const readyLag = sec

// caller is a client that sends one request and retries it when it was not run.
type caller struct {
	world       *World
	kind        callKind
	zone        string
	hot         float64 // the probability that the request has the hot prefix
	attempts    int     // sent so far
	cancelAfter kernel.Micros
}

func (w *World) newCaller(hot float64) *caller {
	w.callers.begun++
	by := &caller{world: w, zone: w.anyZone(), hot: hot}
	total := 0
	for _, kind := range w.options.Kinds {
		total += kind.weight
	}
	at := w.random.IntN(total)
	for _, kind := range w.options.Kinds {
		if by.kind = kind; at < kind.weight {
			break
		}
		at -= kind.weight
	}
	if w.random.IntN(100) < by.kind.cancelPercent {
		by.cancelAfter = w.between(ms, 2*sec)
	}
	return by
}

// call sends the request to a node of the caller's zone.
func (by *caller) call() {
	by.attempts++
	by.world.send(by.world.pickNode(by.zone), by.hot, by)
}

// onEnd handles the outcome of an attempt. A request that was not run is retried at most twice.
func (by *caller) onEnd(outcome checker.Outcome) {
	w := by.world
	switch outcome {
	case checker.Served:
		w.callers.served++
	case checker.NotRun, checker.Unreached:
		if by.attempts < 3 {
			w.after(sec+w.between(0, 200*ms), by.call)
		}
	}
}

// pickNode picks the node for a new request of a zone.
func (w *World) pickNode(zone string) *machine {
	c := &w.callers
	if c.ready == nil || w.now-c.refreshedAt >= readyLag {
		c.ready, c.refreshedAt = map[string][]*machine{}, w.now
		for _, m := range w.machines {
			if m.isUp && !m.isFrozen && !m.isLeaving && m.serves() {
				c.ready[m.identity.Zone] = append(c.ready[m.identity.Zone], m)
			}
		}
	}
	if c.connections == nil {
		c.connections = map[string][]*machine{}
	}
	// Each zone keeps three connections; one request in ten opens a new one.
	kept := c.connections[zone]
	if len(kept) == 3 && w.random.IntN(10) > 0 {
		if at := w.random.IntN(3); slices.Contains(c.ready[zone], kept[at]) {
			return kept[at]
		}
	}
	nodes := c.ready[zone]
	if len(nodes) == 0 {
		// No node of the zone is ready: use any machine of the zone that was not removed.
		for _, m := range w.inZone(zone) {
			if !m.isRemoved {
				nodes = append(nodes, m)
			}
		}
	}
	chosen := nodes[w.random.IntN(len(nodes))]
	if len(kept) == 3 {
		kept = kept[1:]
	}
	c.connections[zone] = append(slices.Clone(kept), chosen)
	return chosen
}

// serves reports whether the router accepts requests now.
func (m *machine) serves() bool {
	state := m.node.State(nil)
	return m.clock() < state.LeaseExpiresAt && state.Document.ConfigRevision > 0 && len(state.Engines) > 0
}

// probeAll sends one short request of each kind to each node, so that the checks after a
// recovery do not depend on how the callers are distributed.
func (w *World) probeAll() {
	for _, m := range w.machines {
		if m.isRemoved {
			continue
		}
		for _, kind := range w.options.Kinds {
			kind.outLow, kind.outHigh = 20, 40
			w.send(m, 0, &caller{world: w, kind: kind, zone: m.identity.Zone, attempts: 3})
		}
	}
}

// cancel disconnects the caller before the response is complete.
func (c *call) cancel() {
	if c.isOver || !c.router.isUp || c.call == nil {
		return
	}
	c.router.do(func() {
		if c.isOver {
			return
		}
		if c.engine != nil && c.engine.start == c.start {
			c.engine.release(c)
		}
		c.router.dispatcher.CloseAttempt(c.router.clock(), c.call, relay.CallerDisconnected, "")
		c.end(checker.Abandoned, "")
	})
}

// poolsOf returns the pools that a configuration routes requests to.
func poolsOf(config []byte) []string {
	var read struct {
		Bindings []struct {
			Shares []struct {
				Pool string `json:"pool"`
			} `json:"shares"`
		} `json:"bindings"`
	}
	pools := []string{}
	if err := json.Unmarshal(config, &read); err != nil {
		return pools // an invalid configuration allows no pool
	}
	for _, binding := range read.Bindings {
		for _, share := range binding.Shares {
			if !slices.Contains(pools, share.Pool) {
				pools = append(pools, share.Pool)
			}
		}
	}
	return pools
}
