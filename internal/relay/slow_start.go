package relay

import (
	"fmt"
	"math"

	"dunlinloom/internal/kernel"
	"github.com/cespare/xxhash/v2"
)

// slowStartShare is how many streams this router may have on an engine that started lately. The cap
// is one for the whole fleet; each registered router computes the same split of it, so the
// parts add up to the cap without any exchange between them.
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

// rankOf orders the routers differently for each engine and start, so that the remainder of
// a small cap does not always fall to the same routers.
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
