package relay

import (
	"fmt"
	"math"

	"dunlinloom/internal/kernel"
	"github.com/cespare/xxhash/v2"
)

// slowStartShare returns how many streams this router may have on an engine. The number is limited only for
// RampDuration after the engine's start. During that time, the whole fleet may have RampStreams streams on the engine,
// doubled in each RampDoublingTime. All registered routers split this cap in the same way, so that their shares add up
// to it without coordination.
func (d *Dispatcher) slowStartShare(now kernel.Micros, engine Engine) int {
	policy := d.routingTable.Config.Policy
	age := now - engine.StartedAt
	if !engine.IsStartKnown || age >= policy.RampDuration {
		return math.MaxInt
	}
	total := int(float64(policy.RampStreams) * math.Pow(2, float64(max(age, 0))/float64(policy.RampDoublingTime)))
	routers := max(len(d.routingTable.Routers), 1)
	share := total / routers
	rank := rankOf(d.self, d.routingTable.Routers, engine)
	if rank < total%routers {
		share++
	}
	return share
}

// rankOf returns this router's rank in an order of the routers. The order differs for each engine and start; otherwise
// the remainder of a small cap would always go to the same routers.
func rankOf(self string, routers []string, engine Engine) int {
	score := func(router string) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", router, engine.ID, engine.Start))
	}
	own, rank := score(self), 0
	for _, router := range routers {
		if router != self && score(router) > own {
			rank++
		}
	}
	return rank
}
