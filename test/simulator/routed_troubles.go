package simulator

import (
	"context"
	"maps"
	"slices"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// RoutedTroubles names what can be caused.
func RoutedTroubles() []string { return slices.Sorted(maps.Keys(routedTroubles)) }

// anEngine draws one that is up and well.
func (f *routedFleet) anEngine() *routedEngine {
	f.lock.Lock()
	defer f.lock.Unlock()
	well := []*routedEngine{}
	for _, engine := range f.engines {
		if !engine.isGone && !engine.isTrouble && !engine.record.IsLeaving {
			well = append(well, engine)
		}
	}
	// Never the last one of a service.
	well = slices.DeleteFunc(well, func(engine *routedEngine) bool {
		return !slices.ContainsFunc(well, func(other *routedEngine) bool {
			return other != engine && other.record.Service == engine.record.Service
		})
	})
	if len(well) == 0 {
		return nil
	}
	return well[f.random.IntN(len(well))]
}

// ail makes something wrong with an engine for a while.
func ail(why string, wrong func(*emulator.Troubles)) func(*routedFleet, kernel.Micros) {
	return func(f *routedFleet, span kernel.Micros) {
		engine := f.anEngine()
		if engine == nil {
			return
		}
		troubles := emulator.Troubles{}
		wrong(&troubles)
		f.lock.Lock()
		engine.isTrouble = true
		f.lock.Unlock()
		f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: why, Engine: engine.record.ID})
		engine.model.Set(troubles)
		if troubles.Dark {
			f.notice(engine, span)
		}
		f.after(span, func() {
			engine.model.Set(emulator.Troubles{})
			f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: why, Engine: engine.record.ID})
			f.change(func() { engine.isTrouble, engine.record.IsDark = false, false })
		})
	}
}

// notice has the control plane miss an engine's beats.
func (f *routedFleet) notice(engine *routedEngine, span kernel.Micros) {
	if span > f.deal.BeatGone {
		f.after(f.deal.BeatGone, func() {
			f.lock.Lock()
			isTrouble := engine.isTrouble
			f.lock.Unlock()
			if isTrouble {
				f.change(func() { engine.record.IsDark = true })
			}
		})
	}
}

// crash ends an engine; after a while another life starts, at the same address.
func (f *routedFleet) crash(engine *routedEngine, span kernel.Micros, service string) {
	f.lock.Lock()
	engine.isTrouble = true
	f.lock.Unlock()
	f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: "crash", Engine: engine.record.ID})
	f.note(checker.RoutedEvent{What: checker.EngineCrashed, Engine: engine.record.ID})
	f.endEngine(engine)
	f.notice(engine, span)
	f.after(span, func() {
		f.startEngine(service, engine.record.Address)
		f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: "crash", Engine: engine.record.ID})
		f.change(func() { engine.isTrouble, engine.record.IsDark = false, false })
	})
}

// leave has an engine leave in order, and another one come.
func leave(f *routedFleet, span kernel.Micros) {
	engine := f.anEngine()
	if engine == nil {
		return
	}
	engine.model.Leave()
	f.lock.Lock()
	f.waiting = append(f.waiting, leaveWait{f.revision + 1, engine.record.ID, func() {
		f.after(f.deal.Bounds.Drain+kernel.Second/2, func() {
			f.change(func() { engine.record.IsDark = false })
			f.endEngine(engine)
			f.startEngine(engine.record.Service, "")
			f.change(func() {})
		})
	}})
	f.lock.Unlock()
	f.change(func() { engine.record.IsLeaving = true })
}

// stopRouter is a planned stop, in the order in which wings does it.
func stopRouter(f *routedFleet, _ kernel.Micros) {
	f.lock.Lock()
	up := slices.DeleteFunc(slices.Clone(f.routers), func(r *routedRouter) bool { return r.isDown || r.isLeaving })
	if len(up) < 2 {
		f.lock.Unlock()
		return
	}
	router := up[f.random.IntN(len(up))]
	f.lock.Unlock()
	f.note(checker.RoutedEvent{What: checker.RouterLeaving, Router: router.name})
	router.router.Stop()
	// The platform notices after two looks.
	f.after(2*sec, func() { f.lock.Lock(); router.isLeaving = true; f.lock.Unlock() })
	last := f.deal.Bounds.Grace - 400*ms
	f.after(min(2500*ms, last/2), func() {
		left, done := context.WithTimeout(f.context, (last - 2500*ms).Duration())
		defer done()
		// What it had to cut is judged by what callers saw.
		router.server.Shutdown(left)
		f.endRouter(router)
		f.change(func() {})
	})
}

var routedTroubles = map[string]func(*routedFleet, kernel.Micros){
	"dark":      ail("dark", func(t *emulator.Troubles) { t.Dark = true }),
	"slow":      ail("slow", func(t *emulator.Troubles) { t.Slow = 6 }),
	"grey":      ail("grey", func(t *emulator.Troubles) { t.GreyShare = 0.5 }),
	"lying":     ail("lying", func(t *emulator.Troubles) { t.IsLying = true }),
	"lost":      ail("lost", func(t *emulator.Troubles) { t.LoseShare = 0.3 }),
	"cut":       ail("cut", func(t *emulator.Troubles) { t.CutShare = 0.4 }),
	"junk":      ail("junk", func(t *emulator.Troubles) { t.JunkShare = 0.3 }),
	"twice":     ail("twice", func(t *emulator.Troubles) { t.TwiceShare = 0.5 }),
	"late":      ail("late", func(t *emulator.Troubles) { t.LateShare = 0.5 }),
	"nameless":  ail("nameless", func(t *emulator.Troubles) { t.TwiceShare, t.LateShare, t.IsNameless = 0.3, 0.5, true }),
	"unframed":  ail("unframed", func(t *emulator.Troubles) { t.UnframedShare = 0.3 }),
	"early":     ail("early", func(t *emulator.Troubles) { t.EarlyShare = 0.4 }),
	"full":      ail("full", func(t *emulator.Troubles) { t.FullShare = 0.6 }),
	"deaf":      ail("deaf", func(t *emulator.Troubles) { t.IsDeaf = true }),
	"idle-drop": ail("idle-drop", func(t *emulator.Troubles) { t.DropIdle = 300 * ms }),
	"crash": func(f *routedFleet, span kernel.Micros) {
		if engine := f.anEngine(); engine != nil {
			f.crash(engine, span, engine.record.Service)
		}
	},
	// Another service's engine takes the address before the routers know.
	"reuse": func(f *routedFleet, span kernel.Micros) {
		if engine := f.anEngine(); engine != nil {
			other := f.deal.Services[0].Name
			if other == engine.record.Service {
				other = f.deal.Services[1].Name
			}
			f.lock.Lock()
			engine.isTrouble = true
			f.lock.Unlock()
			f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: "reuse", Engine: engine.record.ID})
			f.note(checker.RoutedEvent{What: checker.EngineCrashed, Engine: engine.record.ID})
			f.endEngine(engine)
			f.startEngine(other, engine.record.Address)
			f.after(span, func() {
				f.startEngine(engine.record.Service, "")
				f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: "reuse", Engine: engine.record.ID})
				f.change(func() { engine.isTrouble = false })
			})
		}
	},
	"flap": func(f *routedFleet, span kernel.Micros) {
		for i := range kernel.Micros(3) {
			f.after(i*span/2, func() {
				if engine := f.anEngine(); engine != nil {
					f.crash(engine, max(span/4, 200*ms), engine.record.Service)
				}
			})
		}
	},
	"all-crash": func(f *routedFleet, span kernel.Micros) {
		f.lock.Lock()
		up := slices.DeleteFunc(slices.Clone(f.engines), func(e *routedEngine) bool { return e.isGone || e.isTrouble })
		f.lock.Unlock()
		for _, engine := range up {
			f.crash(engine, span, engine.record.Service)
		}
	},
	"unreachable": func(f *routedFleet, span kernel.Micros) {
		engine := f.anEngine()
		if engine == nil {
			return
		}
		f.lock.Lock()
		engine.isTrouble = true
		f.lock.Unlock()
		f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: "unreachable", Engine: engine.record.ID})
		f.network.Cut(engine.record.Address, true)
		f.after(span, func() {
			f.network.Cut(engine.record.Address, false)
			f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: "unreachable", Engine: engine.record.ID})
			f.change(func() { engine.isTrouble = false })
		})
	},
	"leave": leave,
	"stop":  stopRouter,
	"router-crash": func(f *routedFleet, span kernel.Micros) {
		f.lock.Lock()
		up := slices.DeleteFunc(slices.Clone(f.routers), func(r *routedRouter) bool { return r.isDown || r.isLeaving })
		if len(up) < 2 {
			f.lock.Unlock()
			return
		}
		router := up[f.random.IntN(len(up))]
		f.lock.Unlock()
		f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: "router-crash", Router: router.name})
		f.endRouter(router)
		f.change(func() {})
	},
	"burst": func(f *routedFleet, span kernel.Micros) {
		f.lock.Lock()
		f.factor *= 4
		f.lock.Unlock()
		f.note(checker.RoutedEvent{What: checker.TroubleStruck, Why: "burst"})
		f.after(span, func() {
			f.lock.Lock()
			f.factor /= 4
			f.lock.Unlock()
			f.note(checker.RoutedEvent{What: checker.TroubleOver, Why: "burst"})
		})
	},
	// A configuration moves a route to another service and back.
	"spec": func(f *routedFleet, span kernel.Micros) {
		move := func(service string) {
			f.lock.Lock()
			routes := slices.Clone(f.config.Routes)
			f.lock.Unlock()
			at := slices.IndexFunc(routes, func(r fleetconfig.Route) bool { return r.Name == "safe" })
			routes[at].Splits = []fleetconfig.Split{{Service: service, Weight: 1}}
			f.setConfig(routes)
			f.change(func() {})
		}
		move("text")
		f.after(span, func() { move("plain") })
	},
}
