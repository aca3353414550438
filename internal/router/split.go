package router

import (
	"math"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// splitShares are the requests that this router has sent to each service of a split lately, decayed.
type splitShares struct {
	byService map[string]float64
	total     float64
	updatedAt kernel.Micros
}

// What a service may have got beyond its share before requests go to others: one request, and a few in a
// hundred. The hash of a prompt keeps a session at one service; where few sessions send many requests, it
// would keep the shares far from their weights.
const (
	splitDecay     = 30 * kernel.Second // in which a request loses most of its weight
	splitAllowance = 1.0
	splitTolerance = 0.03
)

// pickService picks a request's service of its route: by its prompt, unless that service has got more than its
// weight's share lately; then the one furthest below its share.
func (c *Chooser) pickService(now kernel.Micros, route *fleetconfig.Route, hash uint64) string {
	picked := route.Pick(hash)
	if len(route.Splits) < 2 {
		return picked
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	shares := c.splits[route]
	if shares == nil {
		shares = &splitShares{byService: map[string]float64{}, updatedAt: now}
		c.splits[route] = shares
	}
	shares.decay(now)
	weights, sum := weightsOf(route)
	due := func(service string) float64 { return weights[service] / sum * (shares.total + 1) }
	if shares.byService[picked]+1-due(picked) > splitAllowance+splitTolerance*shares.total {
		picked = shares.mostUnderserved(route, due)
	}
	shares.byService[picked]++
	shares.total++
	if c.recorder != nil {
		ref := c.recorder.routes[route]
		c.recorder.write(Decision{At: now, Kind: DecisionService, Route: &ref, Hash: hash, Chosen: picked})
	}
	return picked
}

// weightsOf sums the weights of each service of a split; a service may appear several times.
func weightsOf(route *fleetconfig.Route) (weights map[string]float64, sum float64) {
	weights = map[string]float64{}
	for _, split := range route.Splits {
		weights[split.Service] += float64(split.Weight)
		sum += float64(split.Weight)
	}
	return weights, sum
}

// decay has older requests count less.
func (s *splitShares) decay(now kernel.Micros) {
	remaining := math.Exp(-float64(now-s.updatedAt) / float64(splitDecay))
	for service := range s.byService {
		s.byService[service] *= remaining
	}
	s.total *= remaining
	s.updatedAt = now
}

// mostUnderserved gives the service that is furthest below what is due to it.
func (s *splitShares) mostUnderserved(route *fleetconfig.Route, due func(service string) float64) string {
	found, most := "", math.Inf(-1)
	for _, split := range route.Splits {
		if lack := due(split.Service) - s.byService[split.Service]; split.Weight > 0 && lack > most {
			found, most = split.Service, lack
		}
	}
	return found
}
