package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// quotaFleet is a stable fleet with one tenant that has a quota of limit.Rate requests per second.
type quotaFleet struct {
	*fleet
	bounds       quota.Bounds
	limit        quota.Limit
	accounts     map[*fleetNode]*quota.Account
	openTickets  []openTicket
	grantedAt    []kernel.Micros
	refused      int
	incarnations uint64
	failed       string
}

// watch checks every 10 ms that at most one node may allocate quotas.
func (q *quotaFleet) watch() {
	allocators := []string{}
	for _, n := range q.nodes {
		if n.isUp && !n.isFrozen && n.node.core != nil && n.node.core.mayAllocate(q.now) {
			allocators = append(allocators, n.identity.Address)
		}
	}
	if len(allocators) > 1 && q.failed == "" {
		q.failed = fmt.Sprintf("at %d ms all of %v may allocate quotas", q.now/ms, allocators)
	}
	q.schedule(10*ms, q.watch)
}

type openTicket struct {
	account *quota.Account
	ticket  *quota.Ticket
	until   kernel.Micros
}

func newQuotaFleet(c *qt.C, seed uint64, rate float64) *quotaFleet {
	q := &quotaFleet{limit: quota.Limit{Tenant: "ann", Rate: rate, Burst: rate}, accounts: map[*fleetNode]*quota.Account{},
		bounds: quota.Bounds{Window: 5 * kernel.Second, Over: 0.1, Slack: 20}}
	q.fleet = newFleet(c, seed, 3, 9, firstHaveFolders(4))
	q.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		q.incarnations++
		account := quota.NewAccount(q.bounds, q.incarnations)
		q.accounts[q.byAddress(settings.Identity.Address)] = account
		settings.Quota, settings.QuotaBounds = account, q.bounds
		settings.LimitsOf = func([]byte) []quota.Limit { return []quota.Limit{q.limit} }
	}
	q.bootAll(300 * ms)
	q.awaitStable(8 * kernel.Second)
	q.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, q.nodes[5])
	q.advance(2 * kernel.Second)
	return q
}

// request makes one client request at a node.
func (q *quotaFleet) request(n *fleetNode) {
	if !n.isUp || n.isFrozen {
		return
	}
	account := q.accounts[n]
	ticket, isUrgent := account.Claim(q.now, q.limit.Tenant, 1)
	q.openTickets = append(q.openTickets, openTicket{account, ticket, q.now + 100*ms})
	if isUrgent {
		n.do(func() []commands.Command { return n.node.RequestQuota(q.now) })
	}
}

// traffic runs for a duration and offers the given multiple of the tenant's rate at random nodes.
func (q *quotaFleet) traffic(span kernel.Micros, factor float64) {
	for end := q.now + span; q.now < end; {
		wait := kernel.Micros(q.random.ExpFloat64() / (q.limit.Rate * factor) * float64(kernel.Second))
		q.advance(max(wait, 1))
		q.request(q.nodes[q.random.IntN(len(q.nodes))])
		q.settleTickets()
	}
}

func (q *quotaFleet) settleTickets() {
	remaining := q.openTickets[:0]
	for _, open := range q.openTickets {
		outcome, _ := open.account.Outcome(open.ticket)
		if outcome == quota.Pending && q.now >= open.until {
			open.account.Abandon(q.now, open.ticket)
			outcome = quota.NoAllocator
		}
		switch outcome {
		case quota.Pending:
			remaining = append(remaining, open)
		case quota.Granted:
			q.grantedAt = append(q.grantedAt, q.now)
		default:
			q.refused++
		}
	}
	q.openTickets = remaining
}

// maxInWindow returns the largest number of requests that were granted within any window.
func (q *quotaFleet) maxInWindow() int {
	most, first := 0, 0
	for i, at := range q.grantedAt {
		for q.grantedAt[first] < at-q.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (q *quotaFleet) tolerated() float64 {
	return (q.limit.Rate*float64(q.bounds.Window)/float64(kernel.Second)+q.limit.Burst)*(1+q.bounds.Over) + q.bounds.Slack
}

// Leaders fail and are partitioned, other nodes are partitioned and restarted, and a tenant offers far more than its
// quota: no window grants more requests than the tolerance allows.
func TestQuotasHoldThroughChangesOfLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		c := qt.New(t)
		q := newQuotaFleet(c, 300+seed, 40)
		q.watch()
		for range 10 {
			n := q.nodes[q.random.IntN(len(q.nodes))]
			if lead := q.leader(); lead != nil && q.random.IntN(2) == 0 {
				n = lead
			}
			switch q.random.IntN(4) {
			case 0:
				if n.isUp {
					n.kill()
					q.schedule(kernel.Second, n.boot)
				}
			case 1:
				n.cutFrom(direction(q.random.IntN(3)), q.nodes[:1+q.random.IntN(len(q.nodes))]...)
				q.schedule(3*kernel.Second, q.heal)
			case 2:
				if n.isUp && !n.isFrozen {
					n.freeze(2 * kernel.Second)
				}
			}
			q.traffic(2*kernel.Second, []float64{0.7, 4}[q.random.IntN(2)])
		}
		c.Check(q.failed, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Check(float64(q.maxInWindow()) <= q.tolerated(), qt.IsTrue, qt.Commentf("seed %d: %d requests of %.0f tolerated", seed, q.maxInWindow(), q.tolerated()))
	}
}

// A tenant within its quota is served, also during a change of leader. A tenant that exceeds its quota gets its
// quota.
func TestQuotasAreServedThroughAChangeOfLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	q := newQuotaFleet(c, 5, 40)
	q.traffic(10*kernel.Second, 0.7)
	c.Check(q.refused*100 < len(q.grantedAt), qt.IsTrue, qt.Commentf("%d refused, %d granted without a fault", q.refused, len(q.grantedAt)))
	q.grantedAt, q.refused = nil, 0
	q.leader().kill()
	q.traffic(6*kernel.Second, 0.7)
	c.Check(q.refused*4 < len(q.grantedAt), qt.IsTrue, qt.Commentf("%d refused, %d granted during an election", q.refused, len(q.grantedAt)))
	q.grantedAt = nil
	q.traffic(10*kernel.Second, 5)
	c.Check(float64(len(q.grantedAt)) > 0.9*q.limit.Rate*10, qt.IsTrue, qt.Commentf("%d granted of %.0f", len(q.grantedAt), q.limit.Rate*10))
}

// Restarted members elect a new leader at once, before the old leader, which they can no longer reach, stops
// allocating. The new leader waits until the old one must have stopped.
func TestANewLeaderWaitsUntilTheOldOneAllocatesNoMore(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := qt.New(t)
		q := newQuotaFleet(c, 400+seed, 40)
		q.watch()
		lead := q.leader()
		lead.cutFrom(bothWays, q.nodes...)
		for _, n := range q.nodes[:4] {
			if n != lead {
				n.kill()
				n.boot()
			}
		}
		q.traffic(3*kernel.Second, 2)
		c.Check(q.failed, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Check(q.leader() != nil && q.leader() != lead, qt.IsTrue)
	}
}
