package simulator

// The simulated network between machines: latency, loss, duplicates and partitions.

import (
	"encoding/json"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

func (w *World) block(from, to string) { w.blocked[[2]string{from, to}]++ }

func (w *World) unblock(from, to string) {
	link := [2]string{from, to}
	w.blocked[link] = max(w.blocked[link]-1, 0)
}

// cut blocks all messages between two groups for a span, or only those from the first to the
// second.
func (w *World) cut(one, other []*machine, isOneWay bool, span kernel.Micros) {
	edit := func(change func(from, to string)) {
		for _, a := range one {
			for _, b := range other {
				if a == b {
					continue
				}
				change(a.identity.Address, b.identity.Address)
				if !isOneWay {
					change(b.identity.Address, a.identity.Address)
				}
			}
		}
	}
	edit(w.block)
	w.after(span, func() {
		edit(w.unblock)
		w.trace("a network partition ends")
	})
}

func (w *World) sendMessage(from *machine, envelope wire.Envelope) {
	to := w.byAddress[envelope.To]
	// Messages are encoded and decoded as between processes, so that nothing is shared by
	// pointer and fields that are not encoded do not arrive.
	content, err := json.Marshal(envelope)
	if err != nil {
		panic(kernel.ServiceError{Name: "wire", Reason: err.Error()})
	}
	if to == nil {
		return
	}
	if to.identity.Zone != from.identity.Zone {
		w.CrossZoneBytes[envelope.Message.Kind()] += len(content)
	} else {
		w.InZoneBytes += len(content)
	}
	copies := 1
	if w.random.Float64() < w.dupShare {
		copies = 2
	}
	for range copies {
		if w.blocked[[2]string{envelope.From, envelope.To}] > 0 || w.random.Float64() < w.lossShare {
			continue
		}
		latency := w.between(200, 2*ms)
		if to.identity.Zone != from.identity.Zone {
			latency += w.between(500, 4*ms)
		}
		if w.networkDelay > 0 {
			latency += w.between(0, w.networkDelay)
		}
		w.after(latency, func() {
			to.do(func() {
				var arrived wire.Envelope
				if err := json.Unmarshal(content, &arrived); err != nil {
					panic(kernel.ServiceError{Name: "wire", Reason: err.Error()})
				}
				to.deliver(arrived)
			})
		})
	}
}
