package simulator

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// playBubble plays a plan in virtual time.
func playBubble(t *testing.T, plan RoutedPlan) (outcome RoutedOutcome) {
	synctest.Test(t, func(*testing.T) { outcome = PlayRouted(plan) })
	return outcome
}

// checkRouted holds a run against every rule, and sees that it served.
func checkRouted(c *qt.C, outcome RoutedOutcome, troubles ...string) {
	part := 2
	if slices.Contains(troubles, "all-crash") {
		part = 4 // for a quarter of the time there is nobody who could serve
	}
	for i, violation := range outcome.Review.Violations {
		if i < 5 {
			c.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
		}
	}
	c.Check(outcome.Review.Served*part > outcome.Review.Tries, qt.IsTrue, qt.Commentf("%d of %d served: %v", outcome.Review.Served, outcome.Review.Tries, outcome.Review.Endings))
	c.Check(outcome.Late*4 > outcome.LateAll*3, qt.IsTrue, qt.Commentf("at the end %d of %d served", outcome.Late, outcome.LateAll))
}

const routedSpan = 10 * kernel.Second

func TestRoutedCalm(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			outcome := playBubble(t, RoutedPlan{Seed: seed, Deployment: DealRouted(seed), Span: routedSpan})
			checkRouted(c, outcome)
			t.Log(outcome.Review.Endings, outcome.Review.Extras, outcome.Refused, outcome.Diverts, outcome.Opened)
		})
	}
}

// Each trouble alone, and each pair of troubles, by fixed seeds: the deployments are dealt.
func TestRoutedTroubles(t *testing.T) {
	names := RoutedTroubles()
	for i, first := range names {
		for j, second := range names[i:] {
			troubles := []string{first, second}
			if first == second {
				troubles = troubles[:1]
			}
			seed := uint64(1000*i + j)
			t.Run(fmt.Sprint(troubles), func(t *testing.T) {
				t.Parallel()
				checkRouted(qt.New(t), playBubble(t, RoutedPlan{Seed: seed, Deployment: DealRouted(seed), Span: routedSpan, Troubles: troubles}), troubles...)
			})
		}
	}
}

// Each of the following causes one rule's troubles thickly; the broken builds name them.
func playRule(t *testing.T, shape func(*RoutedDeployment), troubles ...string) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			deployment := DealRouted(seed + 50)
			deployment.Engines = map[string]int{"text": 6, "plain": 4}
			deployment.Routers = 3
			if shape != nil {
				shape(&deployment)
			}
			outcome := playBubble(t, RoutedPlan{Seed: seed, Deployment: deployment, Span: routedSpan, Troubles: troubles})
			for _, violation := range outcome.Review.Violations {
				t.Errorf("%s: at %d us: %s", violation.Rule, violation.At, violation.Detail)
				if len(outcome.Review.Violations) > 3 {
					break
				}
			}
		})
	}
}

func TestRoutedAnswersStayApart(t *testing.T) {
	playRule(t, nil, "late", "late", "late", "twice", "junk")
}

// Further answers that don't say whose they are.
func TestRoutedAnswersWithoutAnIDStayApart(t *testing.T) {
	playRule(t, nil, "nameless", "nameless", "nameless", "idle-drop")
}

// Whatever goes wrong with engines, on how many a request runs is bounded by its route.
func TestRoutedTriesHold(t *testing.T) {
	playRule(t, func(d *RoutedDeployment) {
		d.Bounds.RetryRatio, d.Bounds.RetrySlack = 1, 1000
		for i := range d.Kinds {
			d.Kinds[i].Route.Tries = 1
		}
	}, "lost", "lost", "cut", "cut", "slow", "dark")
}

// On a machine with several cores goroutines take turns at any point.
func TestRoutedThreadsTakeTurnsAnywhere(t *testing.T) {
	troubles := [][]string{
		{"late", "twice", "nameless", "cut"}, {"lost", "dark", "crash", "late"}, {"reuse", "late", "idle-drop", "leave"}, {"stop", "nameless", "full", "flap"},
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			names := troubles[seed%uint64(len(troubles))]
			outcome := playBubble(t, RoutedPlan{Seed: seed, Deployment: DealRouted(seed + 90), Span: routedSpan, Troubles: names, IsYielding: true})
			checkRouted(qt.New(t), outcome, names...)
		})
	}
}

func TestRoutedRequestsRunOnce(t *testing.T) {
	playRule(t, nil, "crash", "crash", "lost", "lost", "cut", "cut", "dark")
}

func TestRoutedStreamsGoOnAtAnEvent(t *testing.T) { playRule(t, nil, "cut", "cut", "cut", "crash") }

func TestRoutedLeavingEnginesAreLeft(t *testing.T) { playRule(t, nil, "leave", "leave") }

func TestRoutedAddressOfAnotherService(t *testing.T) { playRule(t, nil, "reuse", "reuse") }

func TestRoutedStopsDropNothing(t *testing.T) { playRule(t, nil, "stop", "stop") }

func TestRoutedBudgetHolds(t *testing.T) {
	playRule(t, func(d *RoutedDeployment) {
		d.Bounds.RetryRatio, d.Bounds.RetrySlack = 0.05, 2
		for i := range d.Kinds {
			d.Kinds[i].Route.Tries = 4
		}
	}, "full", "full", "full", "full", "full", "full")
}

// A third engine has to go on after what the caller got, not after what the second began.
func TestRoutedStreamsGoOnPastDeafEngines(t *testing.T) {
	playRule(t, func(d *RoutedDeployment) { d.Kinds[1].Route.Tries = 4 }, "cut", "cut", "cut", "deaf", "deaf")
}
