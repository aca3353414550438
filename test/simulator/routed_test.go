package simulator

import (
	"fmt"
	"log"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// runInBubble runs a plan in virtual time.
func runInBubble(t *testing.T, plan RoutedPlan) (outcome RoutedOutcome) {
	synctest.Test(t, func(*testing.T) { outcome = RunRouted(plan) })
	return outcome
}

// checkRouted checks that a run has no violation and that it served enough requests.
func checkRouted(c *qt.C, outcome RoutedOutcome, faults ...string) {
	part := 2
	if slices.Contains(faults, "all-crash") {
		part = 4 // no engine can serve for a quarter of the time
	}
	for i, violation := range outcome.Report.Violations {
		if i < 5 {
			c.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
		}
	}
	c.Check(outcome.Report.Served*part > outcome.Report.Attempts, qt.IsTrue, qt.Commentf("%d of %d served: %v", outcome.Report.Served, outcome.Report.Attempts, outcome.Report.Endings))
	// Callers try a request three times at most, so that nine of ten requests served are three of four tries.
	c.Check(outcome.LateServed*10 > outcome.LateSent*9, qt.IsTrue, qt.Commentf("%d of the last %d requests served", outcome.LateServed, outcome.LateSent))
}

// net/http recovers from a handler's panic and closes the connection, which callers can't distinguish from another fault.
func TestAPanicOfARouterIsAViolation(t *testing.T) {
	c := qt.New(t)
	fleet := &routedFleet{clock: fleetClock{time.Now()}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("planted") }))
	server.Config.ErrorLog = log.New(panicWatch{fleet, "router-1"}, "", 0)
	server.Start()
	_, err := server.Client().Get(server.URL)
	c.Assert(err, qt.IsNotNil)
	server.Close()
	report := checker.CheckRouted(fleet.events, checker.RoutedBounds{})
	c.Assert(report.Violations, qt.HasLen, 1)
	c.Assert(report.Violations[0].Rule, qt.Equals, checker.InvariantFailed)
	c.Assert(report.Violations[0].Detail, qt.Contains, "planted")
}

const routedSpan = 10 * kernel.Second

func TestRoutedCalm(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			outcome := runInBubble(t, RoutedPlan{Seed: seed, Deployment: DrawDeployment(seed), Span: routedSpan})
			checkRouted(c, outcome)
			t.Log(outcome.Report.Endings, outcome.Report.ExtraArrivals, outcome.Rejected, outcome.Diverts, outcome.Opened)
		})
	}
}

// Runs each fault alone and each pair of faults, with fixed seeds that select random deployments.
func TestRoutedFaults(t *testing.T) {
	names := RoutedFaults()
	for i, first := range names {
		for j, second := range names[i:] {
			faults := []string{first, second}
			if first == second {
				faults = faults[:1]
			}
			seed := uint64(1000*i + j)
			t.Run(fmt.Sprint(faults), func(t *testing.T) {
				t.Parallel()
				checkRouted(qt.New(t), runInBubble(t, RoutedPlan{Seed: seed, Deployment: DrawDeployment(seed), Span: routedSpan, Faults: faults}), faults...)
			})
		}
	}
}

// rateMultiplier multiplies the usual request rate, so that requests meet the faults often.
const rateMultiplier = 3

// runRule causes the faults that one rule guards against, at a high rate of requests. The patches in test/mutations
// name the tests that use it.
func runRule(t *testing.T, shape func(*RoutedDeployment), faults ...string) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			deployment := DrawDeployment(seed + 50)
			deployment.Engines = map[string]int{"text": 6, "plain": 4}
			deployment.Routers = 3
			// There are more requests than the engines can serve, so the share of served requests is not checked.
			for i := range deployment.Kinds {
				deployment.Kinds[i].Rate *= rateMultiplier
			}
			if shape != nil {
				shape(&deployment)
			}
			outcome := runInBubble(t, RoutedPlan{Seed: seed, Deployment: deployment, Span: routedSpan, Faults: faults})
			for _, violation := range outcome.Report.Violations {
				t.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
				if len(outcome.Report.Violations) > 3 {
					break
				}
			}
		})
	}
}

func TestRoutedAnswersStayApart(t *testing.T) {
	runRule(t, nil, "late", "late", "late", "twice", "junk")
}

// Engines send duplicate responses that do not name their request.
func TestRoutedAnswersWithoutAnIDStayApart(t *testing.T) {
	runRule(t, nil, "nameless", "nameless", "nameless", "idle-drop")
}

// Whatever fault engines have, the route limits the number of engines that a request runs on.
func TestRoutedMaxAttemptsHold(t *testing.T) {
	runRule(t, func(d *RoutedDeployment) {
		d.Bounds.RetryRatio, d.Bounds.RetrySlack = 1, 1000
		for i := range d.Kinds {
			d.Kinds[i].Route.MaxAttempts = 1
		}
	}, "lost", "lost", "cut", "cut", "slow", "dark")
}

// On several cores goroutines may interleave at any point, so routers yield at random.
func TestRoutedGoroutinesInterleaveAnywhere(t *testing.T) {
	faults := [][]string{
		{"late", "twice", "nameless", "cut"}, {"lost", "dark", "crash", "late"}, {"reuse", "late", "idle-drop", "leave"}, {"stop", "nameless", "full", "flap"},
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			names := faults[seed%uint64(len(faults))]
			outcome := runInBubble(t, RoutedPlan{Seed: seed, Deployment: DrawDeployment(seed + 90), Span: routedSpan, Faults: names, IsYielding: true})
			checkRouted(qt.New(t), outcome, names...)
		})
	}
}

func TestRoutedRequestsRunOnce(t *testing.T) {
	runRule(t, nil, "crash", "crash", "lost", "lost", "cut", "cut", "dark")
}

func TestRoutedStreamsResumeAtAnEvent(t *testing.T) { runRule(t, nil, "cut", "cut", "cut", "crash") }

func TestRoutedDrainingEnginesAreLeft(t *testing.T) { runRule(t, nil, "leave", "leave") }

// Guards against a request that its router had given up, during a cut, and that reached its engine once the cut had ended:
// seconds later, after the engine's drain.
func TestRoutedRequestsGivenUpInACutNeverArrive(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			outcome := runInBubble(t, RoutedPlan{Seed: seed, Deployment: DrawDeployment(50 + seed), Span: routedSpan, Faults: []string{"cut-leave", "cut-leave"}})
			for _, violation := range outcome.Report.Violations {
				t.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
			}
		})
	}
}

func TestRoutedAddressOfAnotherService(t *testing.T) { runRule(t, nil, "reuse", "reuse") }

func TestRoutedStopsDropNothing(t *testing.T) { runRule(t, nil, "stop", "stop") }

// Guards against requests that a router began during its stop, on connections whose answers had begun before it, and that
// the end of the stop broke off.
func TestRoutedStopsBeginNothingThatTheyCut(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := DrawDeployment(90 + seed)
			long := &d.Kinds[0]
			long.Out = int(4 * sec / d.Step)
			long.Deadline, long.Route.Timeout = 40*sec, 40*sec
			long.Rate = 6
			outcome := runInBubble(t, RoutedPlan{Seed: seed, Deployment: d, Span: 3 * routedSpan, Faults: []string{"stop", "stop", "stop"}})
			for _, violation := range outcome.Report.Violations {
				t.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
			}
		})
	}
}

func TestRoutedBudgetHolds(t *testing.T) {
	runRule(t, func(d *RoutedDeployment) {
		d.Bounds.RetryRatio, d.Bounds.RetrySlack = 0.05, 2
		for i := range d.Kinds {
			d.Kinds[i].Route.MaxAttempts = 4
		}
	}, "full", "full", "full", "full", "full", "full")
}

// A third engine has to resume after the last event that the caller received, not where the second engine started.
func TestRoutedStreamsResumePastDeafEngines(t *testing.T) {
	runRule(t, func(d *RoutedDeployment) { d.Kinds[1].Route.MaxAttempts = 4 }, "cut", "cut", "cut", "deaf", "deaf")
}
