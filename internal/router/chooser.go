package router

import (
	"maps"
	"sync"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
)

// Chooser owns the state of a router's requests: what happens to them goes in, what is to be done comes out.
// It does no I/O and reads no clock. Its methods may be called from any goroutine; its one lock is taken for
// one decision.
type Chooser struct {
	lock              sync.Mutex
	retry             RetryBudget
	routingTable      *RoutingTable
	tableNumber       uint64 // counts routing tables
	maxRouters        int    // that were ever known to serve at once
	engines           map[string]*engineState
	services          map[string][]*engineState // in order of ids
	buffers           candidateBuffers
	budgets           map[string]*budget
	depths            prefixDepths
	splits            map[*fleetconfig.Route]*splitShares // of the configuration in force
	meanPromptTokens  float64                             // tokens of a prompt, on the mean
	meanAttemptTokens float64                             // tokens outstanding of an attempt, on the mean
	isShutdown        bool
	invariants        *invariant.Monitor
	counts            Counts
	recorder          *decisionRecorder // nil: decisions are not recorded
}

// NewChooser makes a chooser that rejects every request until it is shown a routing table. The router's own
// id and zone have no part in the choice: all routers choose alike.
func NewChooser(_, _ string, retry RetryBudget) *Chooser {
	return &Chooser{
		retry: retry, routingTable: &RoutingTable{}, engines: map[string]*engineState{},
		services: map[string][]*engineState{}, budgets: map[string]*budget{}, splits: map[*fleetconfig.Route]*splitShares{},
		counts: Counts{Rejections: map[string]uint64{}, Outcomes: map[string]uint64{}},
	}
}

// Shutdown makes the chooser refuse new requests.
func (c *Chooser) Shutdown() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isShutdown = true
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionShutdown})
	}
}

// Counts are the chooser's running figures.
type Counts struct {
	Requests, Attempts, Retries, Diverts, AvoidedDiverts uint64
	Rejections                                           map[string]uint64
	Outcomes                                             map[string]uint64
}

// Counts gives a copy of the figures.
func (c *Chooser) Counts() Counts {
	c.lock.Lock()
	defer c.lock.Unlock()
	counts := c.counts
	counts.Rejections, counts.Outcomes = maps.Clone(c.counts.Rejections), maps.Clone(c.counts.Outcomes)
	return counts
}
