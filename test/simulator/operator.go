package simulator

// The simulated operator: sends submissions, retries them, and remembers what was acknowledged.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

type operator struct {
	world        *World
	target       *machine // the node that receives submissions; nil for a random one
	count        int
	acknowledged map[uint64]string
	pending      map[string]bool
	register     *registerClient
	Accepted     int
	Rejected     int
	Unknown      int
}

func (w *World) nextConfig() []byte {
	w.configCount++
	shares := []any{}
	for i := range max(w.options.Pools, 1) {
		// Each configuration omits one pool, so that the engine of a run shows which configuration was used.
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
		panic(kernel.ServiceError{Name: "configuration", Reason: err.Error()})
	}
	return content
}

// submit sends a submission to a node, and retries it at other nodes under the same ID until it
// is accepted or rejected.
func (o *operator) submit(submit cluster.Submit, onEnd func(cluster.SubmitResponse)) {
	o.count++
	submit.ID = fmt.Sprintf("s%d", o.count)
	o.pending[submit.ID] = true
	if submit.Operation == cluster.PutConfig {
		event := checker.Event{EventKind: checker.ConfigSent, ID: submit.ID, Digest: string(submit.Config), Pools: poolsOf(submit.Config)}
		if submit.Base != nil {
			event.HasBase, event.Base = true, *submit.Base
		}
		o.world.record(event)
	}
	o.attempt(submit, 0, onEnd)
}

func (o *operator) attempt(submit cluster.Submit, retries int, onEnd func(cluster.SubmitResponse)) {
	w := o.world
	if retries > 25 {
		o.Unknown++
		return
	}
	isDone := false
	again := func() {
		if !isDone {
			isDone = true
			o.attempt(submit, retries+1, onEnd)
		}
	}
	m := w.machines[w.random.IntN(len(w.machines))]
	if o.target != nil {
		m = o.target
	}
	// The operator's timeout, and a shorter delay when the node is down.
	timeout := 11 * sec
	if !m.isUp {
		timeout = 300 * ms
	}
	w.after(timeout, again)
	m.do(func() {
		m.replies[submit.ID] = func(reply cluster.SubmitResponse) {
			if isDone {
				return
			}
			if reply.Outcome == cluster.Unknown {
				again()
				return
			}
			isDone = true
			delete(o.pending, submit.ID)
			if reply.Outcome == cluster.Accepted {
				o.Accepted++
				if inject := w.afterAccepted; inject != nil && !w.areFaultsOver {
					w.afterAccepted = nil
					w.after(w.between(0, 20*ms), func() { inject(m) })
				}
			} else {
				o.Rejected++
			}
			onEnd(reply)
			if reply.Outcome == cluster.Accepted {
				o.register.onAccepted(submit)
			}
		}
		copied := submit
		m.execute(m.node.Submit(m.clock(), &copied))
	})
}

// putConfig submits a new configuration. If base is not nil, the configuration is accepted only
// when base is the current revision.
func (o *operator) putConfig(base *uint64) {
	w := o.world
	config := w.nextConfig()
	o.submit(cluster.Submit{Operation: cluster.PutConfig, Config: config, Base: base}, func(reply cluster.SubmitResponse) {
		event := checker.Event{EventKind: checker.ConfigAccepted, ID: reply.ID, Revision: reply.Revision, Digest: string(config)}
		if reply.Outcome == cluster.Rejected {
			event.EventKind, event.Reason = checker.ConfigRejected, reply.Reason
		} else {
			o.acknowledged[reply.Revision] = string(config)
		}
		w.trace("configuration %s: %s %s revision %d", reply.ID, reply.Outcome, reply.Reason, reply.Revision)
		w.record(event)
	})
}

// putTwoOnOneBase submits two configurations based on the newest acknowledged one; at most one
// of them may be acknowledged.
func (o *operator) putTwoOnOneBase() {
	base := uint64(1)
	for revision := range o.acknowledged {
		base = max(base, revision)
	}
	o.putConfig(&base)
	o.putConfig(&base)
}

func (o *operator) drainZone(zone string, span kernel.Micros) {
	w := o.world
	o.submit(cluster.Submit{Operation: cluster.DrainZone, Zone: zone}, func(reply cluster.SubmitResponse) {
		if reply.Outcome != cluster.Accepted {
			return
		}
		w.trace("zone %s is drained", zone)
		w.record(checker.Event{EventKind: checker.ZoneDrained, Zone: zone, Revision: reply.Revision})
		w.after(span, func() {
			w.record(checker.Event{EventKind: checker.ZoneUndraining, Zone: zone})
			o.submit(cluster.Submit{Operation: cluster.UndrainZone, Zone: zone}, func(reply cluster.SubmitResponse) {
				w.record(checker.Event{EventKind: checker.ZoneUndrained, Zone: zone, Revision: reply.Revision})
				w.trace("zone %s is undrained", zone)
			})
		})
	})
}

// readBack records every past configuration that the fleet lists, as an operator could read it
// at the end of the run. Acknowledged configurations have to be present, rejected ones absent.
func (o *operator) readBack() {
	w := o.world
	var chain []cluster.ConfigRef
	// An operator may read any node that may serve, so all of them are read.
	for _, m := range w.machines {
		if !m.isUp || m.isFrozen || m.clock() >= m.node.State(nil).LeaseExpiresAt {
			continue
		}
		document := m.node.State(nil).Document
		if chain == nil {
			chain = document.ConfigChain
		}
		w.record(checker.Event{EventKind: checker.ConfigCurrent, Node: m.name, Revision: document.ConfigRevision})
		w.record(checker.Event{EventKind: checker.ZonesRead, Node: m.name, Zones: slices.Sorted(maps.Keys(document.DrainedZones))})
	}
	named := map[uint64]bool{}
	for _, ref := range chain {
		named[ref.Revision] = true
		digest := "(unreadable)"
		for _, m := range w.machines {
			if !m.isUp || m.store == nil {
				continue
			}
			if document, err := m.store.ConfigAt(ref); err == nil {
				digest = string(document.Config)
				break
			}
		}
		w.record(checker.Event{EventKind: checker.ConfigRead, Revision: ref.Revision, Digest: digest})
	}
	for _, revision := range slices.Sorted(maps.Keys(o.acknowledged)) {
		// The fleet keeps a limited number of past configurations; see docs/limits.md.
		isKept := len(chain) > 0 && revision >= chain[0].Revision
		if (isKept || len(chain) == 0) && !named[revision] {
			w.record(checker.Event{EventKind: checker.ConfigRead, Revision: revision, Digest: "(not named)"})
		}
	}
}
