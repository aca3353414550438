package simulator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

func (w *World) outcomes(from kernel.Micros) map[checker.Outcome]int {
	counts := map[checker.Outcome]int{}
	for _, event := range w.events {
		if event.EventKind == checker.CallEnded && event.StartedAt >= from {
			counts[event.Outcome]++
		}
	}
	return counts
}

// Nearly all requests have the same prefix, on every node at once. Without the rule that
// diverts requests from a busy engine, all of them would go to one engine.
func TestAHotPrefixIsSpread(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 31)
	begun := w.now
	w.Traffic(80, 10*sec, 0.95)
	w.Run(20 * sec)
	ran := map[string]int{}
	most, total := 0, 0
	for _, event := range w.events {
		if event.EventKind == checker.RunStarted && event.At >= begun {
			ran[event.Engine]++
			total++
			most = max(most, ran[event.Engine])
		}
	}
	c.Assert(len(ran) >= 12, qt.IsTrue, qt.Commentf("only %d engines had work: %v", len(ran), ran))
	c.Assert(most*3 < total, qt.IsTrue, qt.Commentf("one engine had %d of %d", most, total))
	finish(c, w)
}

func TestAStartingEngineIsNotOverloaded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 32)
	w.options.Decode = 25 * ms // makes streams last seconds, so that they accumulate
	for _, e := range w.engines[:9] {
		e.halt()
	}
	w.Run(sec)
	// Many requests are under way when the engines restart, and the restarted engines have the
	// least load.
	w.Traffic(150, 8*sec, 0.5)
	w.Run(3 * sec)
	for _, e := range w.engines[:9] {
		e.boot()
	}
	w.Run(15 * sec)
	finish(c, w)
}

func TestAllEnginesLostThenBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 33)
	for _, e := range w.engines {
		e.halt()
	}
	begun := w.now
	w.Run(10 * sec)
	counts := w.outcomes(begun + 2*sec)
	// Requests are rejected at once as not run, and none is left without an outcome.
	c.Assert(counts[checker.Served], qt.Equals, 0)
	c.Assert(counts[checker.NotRun] > 50, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts[checker.MayHaveRun], qt.Equals, 0)
	for _, e := range w.engines {
		e.boot()
	}
	back := w.now
	w.await(c, "service again", 12*sec, func() bool { return w.servedBetween(back, w.now) > 10 })
	finish(c, w)
}

// Engines that stopped responding and recover as the same process must be tried again by
// every router, also by routers that lost requests on them.
func TestAllEnginesUnresponsiveThenBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 40)
	w.Traffic(40, 60*sec, 0)
	w.Run(2 * sec)
	for _, e := range w.engines {
		e.becomeUnresponsive(3 * sec)
	}
	// Enough requests that every router loses one on nearly every engine.
	w.Traffic(900, sec, 0)
	w.Run(3 * sec)
	w.record(w.recoveryEvent())
	w.Run(checker.DefaultBounds().RecoveryTimeout + 500*ms)
	w.probeAll()
	w.Run(sec)
	finish(c, w)
}

func TestAnUnresponsiveEngineIsAvoidedSoon(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 34)
	w.Traffic(40, 30*sec, 0)
	w.Run(2 * sec)
	unresponsive := w.engines[4]
	unresponsive.isUnresponsive = true
	w.record(checker.Event{EventKind: checker.EngineFailed, Engine: unresponsive.id})
	w.Run(3 * sec)
	for _, m := range w.machines {
		for _, known := range m.node.State(nil).Engines {
			if known.ID == unresponsive.id {
				c.Assert(known.IsUnresponsive, qt.IsTrue, qt.Commentf("%s does not know that the engine is unresponsive", m.name))
			}
		}
	}
	unresponsive.isUnresponsive = false
	begun := w.now
	w.await(c, "the engine serves again", 10*sec, func() bool {
		for _, event := range w.events {
			if event.EventKind == checker.RunStarted && event.Engine == unresponsive.id && event.At > begun {
				return true
			}
		}
		return false
	})
	finish(c, w)
}

func TestAResumedRouterUsesNoStaleState(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 35)
	w.Traffic(100, 10*sec, 0)
	w.Run(sec)
	frozen := w.machines[9]
	frozen.freeze(6 * sec)
	w.operator.target = w.machines[5]
	accepted := w.operator.Accepted
	w.operator.drainZone("z1", 20*sec)
	w.await(c, "the drain of the zone accepted", 5*sec, func() bool { return w.operator.Accepted > accepted })
	w.Run(10 * sec)
	w.operator.target = nil
	finish(c, w)
}

func TestAPlannedStopAnswersEverything(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 36)
	w.Traffic(60, 12*sec, 0)
	for _, m := range []*machine{w.machines[4], w.leader(), w.machines[7]} {
		w.Run(2 * sec)
		w.leave(m)
	}
	w.Run(15 * sec)
	// The checker finds requests that a stop dropped. Here no response may be truncated either.
	counts := w.outcomes(0)
	c.Assert(counts[checker.Truncated]+counts[checker.NoResponse], qt.Equals, 0, qt.Commentf("%v", counts))
	finish(c, w)
}

func TestTheRetryBudgetHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 37)
	w.Traffic(120, 30*sec, 0)
	w.Run(5 * sec) // first attempts alone fill the budget
	for i, e := range w.engines {
		w.after(kernel.Micros(i)*sec, func() {
			e.halt()
			w.after(8*sec, e.boot)
		})
	}
	w.Run(25 * sec)
	w.totals()
	totals := w.events[len(w.events)-1]
	c.Assert(totals.Retries > 0, qt.IsTrue)
	c.Assert(float64(totals.Retries) <= 0.1*float64(totals.First), qt.IsTrue, qt.Commentf("%d retries for %d first attempts", totals.Retries, totals.First))
	finish(c, w)
}

// Budget saved up in a quiet minute must not pay for a burst of retries: with every engine
// rejecting, each request would be tried four times.
func TestAQuietMinuteDoesNotPayForABurstOfRetries(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 39)
	w.Traffic(20, 100*sec, 0)
	w.Run(70 * sec)
	for _, e := range w.engines {
		e.isRejecting = true
	}
	w.Run(5 * sec)
	for _, e := range w.engines {
		e.isRejecting = false
	}
	w.Run(10 * sec)
	c.Assert(w.ProtectionCounts["c decline retry_budget"] > 50, qt.IsTrue)
	c.Assert(w.ProtectionCounts["c round 2"] > 5, qt.IsTrue) // some requests are still retried
	finish(c, w)
}

func TestEnginesThatSendNoReportsStillWork(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := WorldOf(38, "cronometro")
	for _, e := range w.engines {
		e.isReportless = true
	}
	c.Assert(w.Open(), qt.IsTrue)
	w.Traffic(30, 10*sec, 0.3)
	w.Run(15 * sec)
	counts := w.outcomes(0)
	c.Assert(counts[checker.Served] > 200, qt.IsTrue, qt.Commentf("%v", counts))
	finish(c, w)
}
