package router

import (
	"math"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// splitShares counts the recent requests that this router has sent to each service of a split. The counts decay.
type splitShares struct {
	byService map[string]float64
	total     float64
	updatedAt kernel.Micros
}

// A service may exceed its share by splitAllowance requests, plus the fraction splitTolerance of all recent requests.
// Beyond that, requests are moved to other services. A prompt's hash keeps a session at one service. If few sessions
// send many requests, the hash alone would keep the shares far from the weights.
const (
	splitDecay     = 30 * kernel.Second // time constant of the decay of a request
	splitAllowance = 1.0
	splitTolerance = 0.03
)

// pickService picks the service of a request by the hash of its prompt. If the request would put that service too far
// above its share (see splitAllowance), the service furthest below its share is picked instead. A service's share is
// its weight's part of the route's recent requests at this router.
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

// weightsOf sums the weights of each service of a split, since a service may appear several times.
func weightsOf(route *fleetconfig.Route) (weights map[string]float64, sum float64) {
	weights = map[string]float64{}
	for _, split := range route.Splits {
		weights[split.Service] += float64(split.Weight)
		sum += float64(split.Weight)
	}
	return weights, sum
}

// decay reduces all counts by the time that has passed since the last update.
func (s *splitShares) decay(now kernel.Micros) {
	remaining := math.Exp(-float64(now-s.updatedAt) / float64(splitDecay))
	for service := range s.byService {
		s.byService[service] *= remaining
	}
	s.total *= remaining
	s.updatedAt = now
}

// mostUnderserved returns the service with a weight above zero that is furthest below its due number of requests.
func (s *splitShares) mostUnderserved(route *fleetconfig.Route, due func(service string) float64) string {
	selected, maxDeficit := "", math.Inf(-1)
	for _, split := range route.Splits {
		if deficit := due(split.Service) - s.byService[split.Service]; split.Weight > 0 && deficit > maxDeficit {
			selected, maxDeficit = split.Service, deficit
		}
	}
	return selected
}
