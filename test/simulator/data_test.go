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
		if event.What == checker.CallEnded && event.Began >= from {
			counts[event.Outcome]++
		}
	}
	return counts
}

// One prefix draws nearly everything, on every node at once: without the divert
// rule it would all go to one engine.
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
		if event.What == checker.RunBegan && event.At >= begun {
			ran[event.Engine]++
			total++
			most = max(most, ran[event.Engine])
		}
	}
	c.Assert(len(ran) >= 12, qt.IsTrue, qt.Commentf("only %d engines had work: %v", len(ran), ran))
	c.Assert(most*3 < total, qt.IsTrue, qt.Commentf("one engine had %d of %d", most, total))
	finish(c, w)
}

func TestAColdEngineIsNotFlooded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 32)
	w.options.Decode = 25 * ms // streams of seconds, so that they pile up
	for _, e := range w.engines[:9] {
		e.halt()
	}
	w.Run(sec)
	// A crowd is there when they come back, and all of them have the least load.
	w.Traffic(150, 8*sec, 0.5)
	w.Run(3 * sec)
	for _, e := range w.engines[:9] {
		e.boot()
	}
	w.Run(15 * sec)
	finish(c, w)
}

func TestAllEnginesGoneThenBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 33)
	for _, e := range w.engines {
		e.halt()
	}
	begun := w.now
	w.Run(10 * sec)
	counts := w.outcomes(begun + 2*sec)
	// Rejected at once, with the promise that nothing ran, and none left hanging.
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

// Engines that broke and come back as the same process must be tried again by every
// router, not only by those that had nothing on them.
func TestAllEnginesDarkThenBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 40)
	w.Traffic(40, 60*sec, 0)
	w.Run(2 * sec)
	for _, e := range w.engines {
		e.goDark(3 * sec)
	}
	// Enough of a crowd that every router loses something on nearly every engine.
	w.Traffic(900, sec, 0)
	w.Run(3 * sec)
	w.take(w.repaired())
	w.Run(checker.PromisedBounds().Broken + 500*ms)
	w.probeAll()
	w.Run(sec)
	finish(c, w)
}

func TestADarkEngineIsLeftAloneSoon(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 34)
	w.Traffic(40, 30*sec, 0)
	w.Run(2 * sec)
	dark := w.engines[4]
	dark.isDark = true
	w.take(checker.Event{What: checker.EngineFailed, Engine: dark.id})
	w.Run(3 * sec)
	for _, m := range w.machines {
		for _, known := range m.node.State(nil).Engines {
			if known.ID == dark.id {
				c.Assert(known.IsDark, qt.IsTrue, qt.Commentf("%s does not know", m.name))
			}
		}
	}
	dark.isDark = false
	begun := w.now
	w.await(c, "it serves again", 10*sec, func() bool {
		for _, event := range w.events {
			if event.What == checker.RunBegan && event.Engine == dark.id && event.At > begun {
				return true
			}
		}
		return false
	})
	finish(c, w)
}

func TestARouterFrozenMidRoundWakesToNothingOld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 35)
	w.Traffic(100, 10*sec, 0)
	w.Run(sec)
	frozen := w.machines[9]
	frozen.freeze(6 * sec)
	w.operator.at = w.machines[5]
	yes := w.operator.Yes
	w.operator.empty("z1", 20*sec)
	w.await(c, "the zone is emptied", 5*sec, func() bool { return w.operator.Yes > yes })
	w.Run(10 * sec)
	w.operator.at = nil
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
	// The checker finds a request that a stop dropped; here there is not one torn at all.
	counts := w.outcomes(0)
	c.Assert(counts[checker.Torn]+counts[checker.NoAck], qt.Equals, 0, qt.Commentf("%v", counts))
	finish(c, w)
}

func TestTheRetryBudgetHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 37)
	w.Traffic(120, 30*sec, 0)
	w.Run(5 * sec) // the budget fills from first rounds alone
	for i, e := range w.engines {
		w.in(kernel.Micros(i)*sec, func() {
			e.halt()
			w.in(8*sec, e.boot)
		})
	}
	w.Run(25 * sec)
	w.totals()
	totals := w.events[len(w.events)-1]
	c.Assert(totals.Retries > 0, qt.IsTrue)
	c.Assert(float64(totals.Retries) <= 0.1*float64(totals.First), qt.IsTrue, qt.Commentf("%d on %d", totals.Retries, totals.First))
	finish(c, w)
}

// What a quiet minute saved up must not come back as a storm of retries: with every
// engine declining, each request would be tried four times.
func TestAQuietMinuteDoesNotPayForAStormOfRetries(t *testing.T) {
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
	c.Assert(w.Tally["c decline retry_budget"] > 50, qt.IsTrue)
	c.Assert(w.Tally["c round 2"] > 5, qt.IsTrue) // and yet some are tried again
	finish(c, w)
}

func TestEnginesThatSendNoReportsStillWork(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := WorldOf(38, "cronometro")
	for _, e := range w.engines {
		e.isMute = true
	}
	c.Assert(w.Open(), qt.IsTrue)
	w.Traffic(30, 10*sec, 0.3)
	w.Run(15 * sec)
	counts := w.outcomes(0)
	c.Assert(counts[checker.Served] > 200, qt.IsTrue, qt.Commentf("%v", counts))
	finish(c, w)
}
