package simulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// RoutedFaults returns the names of the faults that can be injected into a routed fleet.
func RoutedFaults() []string { return slices.Sorted(maps.Keys(routedFaults)) }

// faultInjector is a fleet with the random source of one fault.
type faultInjector struct {
	*routedFleet
	random *rand.Rand
}

// routedFault injects a fault that lasts for a span.
type routedFault func(f *faultInjector, span kernel.Micros)

// pickEngine returns a random healthy engine, or nil if there is none.
func (f *faultInjector) pickEngine() *routedEngine {
	f.lock.Lock()
	defer f.lock.Unlock()
	healthy := []*routedEngine{}
	for _, engine := range f.engines {
		if !engine.hasEnded && !engine.isFaulty && !engine.record.IsDraining {
			healthy = append(healthy, engine)
		}
	}
	// Never choose the last healthy engine of a service.
	healthy = slices.DeleteFunc(healthy, func(engine *routedEngine) bool {
		return !slices.ContainsFunc(healthy, func(other *routedEngine) bool {
			return other != engine && other.record.Service == engine.record.Service
		})
	})
	if len(healthy) == 0 {
		return nil
	}
	return healthy[f.random.IntN(len(healthy))]
}

// makeFaulty returns a fault that sets the model faults of one engine for a span.
func makeFaulty(why string, setFault func(*emulator.ModelFaults)) routedFault {
	return func(f *faultInjector, span kernel.Micros) {
		engine := f.pickEngine()
		if engine == nil {
			return
		}
		modelFaults := emulator.ModelFaults{}
		setFault(&modelFaults)
		f.lock.Lock()
		engine.isFaulty = true
		f.lock.Unlock()
		f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: why, Engine: engine.record.ID})
		engine.model.SetFaults(modelFaults)
		if modelFaults.IsUnresponsive {
			f.detectFailure(engine, span)
		}
		f.after(span, func() {
			engine.model.SetFaults(emulator.ModelFaults{})
			f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: why, Engine: engine.record.ID})
			f.change(func() { engine.isFaulty, engine.record.IsUnresponsive = false, false })
		})
	}
}

// detectFailure makes the control plane mark an engine as unresponsive after the heartbeat timeout, if
// the engine is still faulty.
func (f *routedFleet) detectFailure(engine *routedEngine, span kernel.Micros) {
	if span > f.deployment.HeartbeatTimeout {
		f.after(f.deployment.HeartbeatTimeout, func() {
			f.lock.Lock()
			isFaulty := engine.isFaulty
			f.lock.Unlock()
			if isFaulty {
				f.change(func() { engine.record.IsUnresponsive = true })
			}
		})
	}
}

// crash ends an engine process and starts a new one of the given service at the same address
// after a span.
func (f *routedFleet) crash(engine *routedEngine, span kernel.Micros, service string) {
	f.lock.Lock()
	engine.isFaulty = true
	f.lock.Unlock()
	f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "crash", Engine: engine.record.ID})
	f.note(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: engine.record.ID})
	f.endEngine(engine)
	f.detectFailure(engine, span)
	f.after(span, func() {
		f.startEngine(service, engine.record.Address)
		f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "crash", Engine: engine.record.ID})
		f.change(func() { engine.isFaulty, engine.record.IsUnresponsive = false, false })
	})
}

// leave drains an engine and replaces it by a new one.
func leave(f *faultInjector, _ kernel.Micros) {
	if engine := f.pickEngine(); engine != nil {
		f.leave(engine)
	}
}

// leaveDuringCut cuts an engine off from all routers, and has it leave meanwhile. The cut ends after the engine's drain
// timeout, so what was sent before must not arrive any more.
func leaveDuringCut(f *faultInjector, _ kernel.Micros) {
	engine := f.pickEngine()
	if engine == nil {
		return
	}
	const cutLead = 300 * ms // from the cut to the drain
	f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "cut-leave", Engine: engine.record.ID})
	f.cut(engine)
	f.after(cutLead, func() { f.leave(engine) })
	f.after(cutLead+f.deployment.Bounds.DrainTimeout+kernel.Second/4, func() {
		f.heal(engine)
		f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "cut-leave", Engine: engine.record.ID})
	})
}

// cut cuts an engine off from all routers.
func (f *faultInjector) cut(engine *routedEngine) {
	f.note(checker.RoutedEvent{EventKind: checker.EngineCutOff, Engine: engine.record.ID})
	f.network.Cut(engine.record.Address, true)
}

// heal ends a cut.
func (f *faultInjector) heal(engine *routedEngine) {
	f.network.Cut(engine.record.Address, false)
	f.note(checker.RoutedEvent{EventKind: checker.EngineReachable, Engine: engine.record.ID})
}

// leave drains an engine, ends it after the drain timeout, and starts another.
func (f *faultInjector) leave(engine *routedEngine) {
	engine.model.Drain()
	f.lock.Lock()
	f.pendingChanges = append(f.pendingChanges, pendingChange{f.revision + 1, checker.RoutedEvent{EventKind: checker.DrainAcknowledged, Engine: engine.record.ID}, func() {
		f.after(f.deployment.Bounds.DrainTimeout+kernel.Second/2, func() {
			f.change(func() { engine.record.IsUnresponsive = false })
			f.endEngine(engine)
			f.startEngine(engine.record.Service, "")
			f.change(func() {})
		})
	}})
	f.lock.Unlock()
	f.change(func() { engine.record.IsDraining = true })
}

// stopRouter shuts a router down in the order that the hosting platform, wings, uses.
func stopRouter(f *faultInjector, _ kernel.Micros) {
	f.lock.Lock()
	up := slices.DeleteFunc(slices.Clone(f.routers), func(r *routedRouter) bool { return r.isDown || r.isStopping.Load() })
	if len(up) < 2 {
		f.lock.Unlock()
		return
	}
	router := up[f.random.IntN(len(up))]
	f.lock.Unlock()
	f.note(checker.RoutedEvent{EventKind: checker.RouterStopping, Router: router.name})
	router.isStopping.Store(true)
	stoppedAt := f.clock.Now()
	// The platform notices after two health checks.
	f.after(2*sec, func() { f.lock.Lock(); router.isLeaving = true; f.lock.Unlock() })
	last := f.deployment.Bounds.GracePeriod - 400*ms
	f.after(min(2500*ms, last/2), func() {
		router.router.Drain(stoppedAt + last)
		// The listener's error is ignored: nothing else closes it before the router ends.
		router.connections.Drain()
		f.awaitConnections(router, stoppedAt+last)
		router.router.Stop()
		f.awaitConnections(router, stoppedAt+last+lastAnswersTimeout)
		f.endRouter(router)
		f.change(func() {})
	})
}

// lastAnswersTimeout limits how long a stopping router's last answers may take.
const lastAnswersTimeout = 100 * ms

// awaitConnections waits until a router has no connections of callers, until a moment, or until the run ends.
func (f *faultInjector) awaitConnections(router *routedRouter, until kernel.Micros) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !router.connections.IsEmpty() && f.clock.Now() < until {
		select {
		case <-ticker.C:
		case <-f.context.Done():
			return
		}
	}
}

var routedFaults = map[string]routedFault{
	"dark":  makeFaulty("dark", func(t *emulator.ModelFaults) { t.IsUnresponsive = true }),
	"slow":  makeFaulty("slow", func(t *emulator.ModelFaults) { t.SlowFactor = 6 }),
	"grey":  makeFaulty("grey", func(t *emulator.ModelFaults) { t.ErrorShare = 0.5 }),
	"lying": makeFaulty("lying", func(t *emulator.ModelFaults) { t.HasInvertedHealth = true }),
	"lost":  makeFaulty("lost", func(t *emulator.ModelFaults) { t.LostAnswerShare = 0.3 }),
	"cut":   makeFaulty("cut", func(t *emulator.ModelFaults) { t.TruncatedShare = 0.4 }),
	"junk":  makeFaulty("junk", func(t *emulator.ModelFaults) { t.MalformedShare = 0.3 }),
	"twice": makeFaulty("twice", func(t *emulator.ModelFaults) { t.DuplicateShare = 0.5 }),
	"late":  makeFaulty("late", func(t *emulator.ModelFaults) { t.LateDuplicateShare = 0.5 }),
	"nameless": makeFaulty("nameless", func(t *emulator.ModelFaults) {
		t.DuplicateShare, t.LateDuplicateShare, t.AreDuplicatesAnonymous = 0.3, 0.5, true
	}),
	"unframed":  makeFaulty("unframed", func(t *emulator.ModelFaults) { t.UnframedShare = 0.3 }),
	"early":     makeFaulty("early", func(t *emulator.ModelFaults) { t.EarlyRejectShare = 0.4 }),
	"full":      makeFaulty("full", func(t *emulator.ModelFaults) { t.OverloadShare = 0.6 }),
	"deaf":      makeFaulty("deaf", func(t *emulator.ModelFaults) { t.IgnoresResume = true }),
	"idle-drop": makeFaulty("idle-drop", func(t *emulator.ModelFaults) { t.IdleDropTimeout = 300 * ms }),
	"crash": func(f *faultInjector, span kernel.Micros) {
		if engine := f.pickEngine(); engine != nil {
			f.crash(engine, span, engine.record.Service)
		}
	},
	// An engine of another service reuses the address before the routers know.
	"reuse": func(f *faultInjector, span kernel.Micros) {
		if engine := f.pickEngine(); engine != nil {
			other := f.deployment.Services[0].Name
			if other == engine.record.Service {
				other = f.deployment.Services[1].Name
			}
			f.lock.Lock()
			engine.isFaulty = true
			f.lock.Unlock()
			f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "reuse", Engine: engine.record.ID})
			f.note(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: engine.record.ID})
			f.endEngine(engine)
			f.startEngine(other, engine.record.Address)
			f.after(span, func() {
				f.startEngine(engine.record.Service, "")
				f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "reuse", Engine: engine.record.ID})
				f.change(func() { engine.isFaulty = false })
			})
		}
	},
	"flap": func(f *faultInjector, span kernel.Micros) {
		for i := range kernel.Micros(3) {
			f.after(i*span/2, func() {
				if engine := f.pickEngine(); engine != nil {
					f.crash(engine, max(span/4, 200*ms), engine.record.Service)
				}
			})
		}
	},
	"all-crash": func(f *faultInjector, span kernel.Micros) {
		f.lock.Lock()
		up := slices.DeleteFunc(slices.Clone(f.engines), func(e *routedEngine) bool { return e.hasEnded || e.isFaulty })
		f.lock.Unlock()
		for _, engine := range up {
			f.crash(engine, span, engine.record.Service)
		}
	},
	"unreachable": func(f *faultInjector, span kernel.Micros) {
		engine := f.pickEngine()
		if engine == nil {
			return
		}
		f.lock.Lock()
		engine.isFaulty = true
		f.lock.Unlock()
		f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "unreachable", Engine: engine.record.ID})
		f.cut(engine)
		f.after(span, func() {
			f.heal(engine)
			f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "unreachable", Engine: engine.record.ID})
			f.change(func() { engine.isFaulty = false })
		})
	},
	"leave":     leave,
	"cut-leave": leaveDuringCut,
	"stop":      stopRouter,
	"router-crash": func(f *faultInjector, span kernel.Micros) {
		f.lock.Lock()
		up := slices.DeleteFunc(slices.Clone(f.routers), func(r *routedRouter) bool { return r.isDown || r.isStopping.Load() })
		if len(up) < 2 {
			f.lock.Unlock()
			return
		}
		router := up[f.random.IntN(len(up))]
		f.lock.Unlock()
		f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "router-crash", Router: router.name})
		f.endRouter(router)
		f.change(func() {})
	},
	"burst": func(f *faultInjector, span kernel.Micros) {
		f.lock.Lock()
		f.rateFactor *= 4
		f.lock.Unlock()
		f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "burst"})
		f.after(span, func() {
			f.lock.Lock()
			f.rateFactor /= 4
			f.lock.Unlock()
			f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "burst"})
		})
	},
	// A configuration moves a route to another service and back.
	"spec": func(f *faultInjector, span kernel.Micros) {
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
