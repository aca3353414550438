package router

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// retryFleet is a fleet of routers whose attempts all fail, so that each router retries whenever its budget allows.
type retryFleet struct {
	monitor  *invariant.Monitor
	retry    RetryBudget
	tables   []*RoutingTable
	choosers []*Chooser
	requests []kernel.Micros
	retries  []kernel.Micros
}

const retryFleetSize = 6

func newRetryFleet(t *testing.T) *retryFleet {
	t.Helper()
	f := &retryFleet{monitor: invariant.NewMonitor(func(violation invariant.ViolationError) { t.Error(violation) }), retry: RetryBudget{Ratio: 0.2, Window: 10 * kernel.Second, Slack: 60}}
	route := fleetconfig.Route{Name: "r", Host: "h.example", Prefix: "/p/", Kind: fleetconfig.Safe, MaxAttempts: 2, Splits: []fleetconfig.Split{{Service: "svc", Weight: 1}}}
	config := fleetconfig.NewRouteConfig([]fleetconfig.Route{route}, []fleetconfig.Service{{Name: "svc"}})
	for range retryFleetSize {
		table := &RoutingTable{Config: config, Routers: retryFleetSize}
		for engine := range 3 {
			table.Engines = append(table.Engines, Engine{ID: fmt.Sprint("e", engine), Address: fmt.Sprint("e", engine, ":1"), Service: "svc"})
		}
		f.tables, f.choosers = append(f.tables, table), append(f.choosers, nil)
	}
	for router := range f.choosers {
		f.start(0, router)
	}
	return f
}

// start starts a router, or restarts it as a new process without the counts of the earlier one.
func (f *retryFleet) start(now kernel.Micros, router int) {
	f.choosers[router] = NewChooser(fmt.Sprint("router", router), "z", f.retry.StartingAt(now))
	f.choosers[router].invariants = f.monitor
	f.choosers[router].SetRoutingTable(f.tables[router])
}

// setVisibleRouters sets the number of routers that a router sees.
func (f *retryFleet) setVisibleRouters(router, routers int) {
	changed := *f.tables[router]
	changed.Routers = routers
	f.tables[router] = &changed
	f.choosers[router].SetRoutingTable(&changed)
}

// request fails the first attempt of a request at a router, and records the retry if there is one.
func (f *retryFleet) request(now kernel.Micros, router int) {
	f.requests = append(f.requests, now)
	chooser := f.choosers[router]
	route := &f.tables[router].Config.Routes[0]
	call, rejection := chooser.Admit(now, Request{ID: fmt.Sprint("r", len(f.requests)), Deadline: now + kernel.Second, Route: route, Service: "svc"})
	if rejection != nil {
		return
	}
	chooser.Sent(now, call.Attempt)
	if next := chooser.Close(now, call.Attempt, ConnectionLost, "reset"); next.Attempt != nil {
		chooser.Sent(now, next.Attempt)
		f.retries = append(f.retries, now)
		chooser.Close(now, next.Attempt, ConnectionLost, "reset")
	}
}

// check fails the test if a window that begins at a retry has more retries than the budget allows. The requests are
// counted in that window and in the ones that begin half a window and a whole window earlier; the largest count
// applies.
func (f *retryFleet) check(c *qt.C) {
	within := func(times []kernel.Micros, from kernel.Micros) int {
		count := 0
		for _, at := range times {
			if at >= from && at <= from+f.retry.Window {
				count++
			}
		}
		return count
	}
	for _, from := range f.retries {
		requests := max(within(f.requests, from), within(f.requests, from-f.retry.Window/2), within(f.requests, from-f.retry.Window))
		allowed := f.retry.Ratio*float64(requests) + f.retry.Slack
		if retries := within(f.retries, from); float64(retries) > allowed {
			c.Fatalf("window from %d us: %d retries, but %.1f are allowed for %d requests", from, retries, allowed, requests)
		}
	}
}

// run sends ten requests per second to each router; event is called at the start of each second.
func (f *retryFleet) run(seconds int, event func(now kernel.Micros, second int)) {
	const perSecond = 10
	for second := range seconds {
		now := kernel.Micros(second) * kernel.Second
		event(now, second)
		for turn := range perSecond * retryFleetSize {
			f.request(now+kernel.Micros(turn)*kernel.Second/(perSecond*retryFleetSize), turn%retryFleetSize)
		}
	}
}

// A router that restarts may have used its share of the slack just before, so it must not use the share again at once.
func TestRestartedRoutersAddNothingToTheRetryBudget(t *testing.T) {
	for _, every := range []int{1, 2, 5, 11, 13} {
		t.Run(fmt.Sprint("restarted every ", every, " s"), func(t *testing.T) {
			f := newRetryFleet(t)
			f.run(60, func(now kernel.Micros, second int) {
				for router := range retryFleetSize {
					if second >= 20 && (second+router%2)%every == 0 {
						f.start(now, router)
					}
				}
			})
			f.check(qt.New(t))
		})
	}
}

// Partitioned routers no longer see each other, but keep retrying. Each one must not take a larger share of the slack
// because it sees fewer routers.
func TestPartitionedRoutersStayWithinRetryBudget(t *testing.T) {
	for _, known := range []int{1, 2, 3} {
		t.Run(fmt.Sprint("each sees ", known), func(t *testing.T) {
			f := newRetryFleet(t)
			f.run(60, func(_ kernel.Micros, second int) {
				switch second {
				case 20:
					for router := range retryFleetSize {
						f.setVisibleRouters(router, known)
					}
				case 45:
					for router := range retryFleetSize {
						f.setVisibleRouters(router, retryFleetSize)
					}
				}
			})
			f.check(qt.New(t))
		})
	}
}

// A router that has just started uses no slack until the window and windowMargin have passed, here 12 s after its
// start.
func TestARouterUsesItsPartOfTheSlackAfterAWindow(t *testing.T) {
	c := qt.New(t)
	retry := RetryBudget{Window: 10 * kernel.Second, Slack: 10}.StartingAt(5 * kernel.Second)
	spent := &budget{}
	c.Assert(spent.spend(16*kernel.Second, retry, 1), qt.IsFalse)
	c.Assert(spent.spend(17*kernel.Second, retry, 1), qt.IsTrue)
}
