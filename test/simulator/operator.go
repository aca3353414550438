package simulator

// The simulated operator: sends orders, sends them again, and remembers what was acknowledged.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

type operator struct {
	world    *World
	at       *machine // whom orders go to; anyone when nil
	count    int
	acked    map[uint64]string
	open     map[string]bool
	register *registerClient
	Yes      int
	No       int
	Unsure   int
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
		panic(kernel.ServiceError{Name: "configuration", Why: err.Error()})
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
		event := checker.Event{What: checker.ConfigSent, ID: submit.ID, Digest: string(submit.Config), Pools: poolsOf(submit.Config)}
		if submit.Base != nil {
			event.HasBase, event.Base = true, *submit.Base
		}
		o.world.take(event)
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
			if reply.Outcome == control.Yes {
				o.register.acknowledged(submit)
			}
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
		w.trace("configuration %s: %s %s revision %d", reply.ID, reply.Outcome, reply.Reason, reply.Revision)
		w.take(event)
	})
}

// putTwoOnOneBase puts two configurations on the newest acknowledged one; at most one may
// be acknowledged.
func (o *operator) putTwoOnOneBase() {
	base := uint64(1)
	for revision := range o.acked {
		base = max(base, revision)
	}
	o.putConfig(&base)
	o.putConfig(&base)
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
