package router

import (
	"maps"
	"sync"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// Chooser owns the state of a router's requests and decides on it: which engine gets an attempt, and whether another
// attempt follows. It does no I/O and reads no clock. Its methods may be called from any goroutine; each holds the
// one lock for a single decision.
type Chooser struct {
	lock              sync.Mutex
	retry             RetryBudget
	routingTable      *RoutingTable
	tableNumber       uint64 // counts the routing tables so far
	maxRouters        int    // the most routers known to serve at once so far
	engines           map[string]*engineState
	services          map[string][]*engineState // sorted by engine ID
	buffers           candidateBuffers
	budgets           map[string]*budget
	depths            prefixDepths
	splits            map[*fleetconfig.Route]*splitShares // by the routes of the current configuration
	meanPromptTokens  float64                             // running mean of the prompt tokens of a request
	meanAttemptTokens float64                             // running mean of the outstanding tokens of an attempt
	isDraining        bool
	drainUntil        kernel.Micros // set if isDraining: when the router stops
	invariants        *invariant.Monitor
	counts            Counts
	recorder          *decisionRecorder // nil: decisions are not recorded
}

// NewChooser makes a Chooser that rejects every request until SetRoutingTable is called. The ID and the zone of the
// router are ignored, since all routers have to prefer the same engine for a prefix.
func NewChooser(_, _ string, retry RetryBudget) *Chooser {
	return &Chooser{
		retry: retry, routingTable: &RoutingTable{}, engines: map[string]*engineState{},
		services: map[string][]*engineState{}, budgets: map[string]*budget{}, splits: map[*fleetconfig.Route]*splitShares{},
		counts: Counts{Refused: map[string]uint64{}, Endings: map[string]uint64{}, EndedAfterSilence: map[string]uint64{}},
	}
}

// Drain makes the Chooser reject new requests that may last beyond until, when the router stops; zero: all new requests.
// Requests that were admitted before may still be retried until then.
func (c *Chooser) Drain(until kernel.Micros) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isDraining, c.drainUntil = true, until
	if c.recorder != nil {
		c.recorder.write(Decision{At: until, Kind: DecisionDrain})
	}
}

// mayOutlast reports whether a request may last beyond the stop of a draining router; the lock is held.
func (c *Chooser) mayOutlast(request *Request) bool {
	return c.isDraining && request.Deadline+deadlineGrace > c.drainUntil
}

// hasStopped reports whether the router makes no further attempts; the lock is held.
func (c *Chooser) hasStopped(now kernel.Micros) bool { return c.isDraining && now >= c.drainUntil }

// Counts are the totals of a Chooser since it was made. Extras are the retries charged to the retry budget. Diverts are
// requests that were diverted from their preferred engine, and Spared those that were not, because that engine was
// predicted to meet the latency target. Refused counts rejections by reason, Endings the ended attempts by outcome.
// EndedAfterSilence counts the requests that got no complete answer although they had time left, after one of their
// engines had sent nothing for its timeout; the key says what the caller got and how the last attempt ended.
type Counts struct {
	Requests, Attempts, Extras, Diverts, Spared uint64
	Refused                                     map[string]uint64
	Endings                                     map[string]uint64
	EndedAfterSilence                           map[string]uint64
}

// Counts returns a copy of the totals.
func (c *Chooser) Counts() Counts {
	c.lock.Lock()
	defer c.lock.Unlock()
	counts := c.counts
	counts.Refused, counts.Endings = maps.Clone(c.counts.Refused), maps.Clone(c.counts.Endings)
	counts.EndedAfterSilence = maps.Clone(c.counts.EndedAfterSilence)
	return counts
}
