package simulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// RoutedPlan is one run of a routed fleet. It uses the time package alone, so it takes
// virtual time within a bubble of testing/synctest, and real time outside of one.
type RoutedPlan struct {
	Seed       uint64
	Deployment RoutedDeployment
	Span       kernel.Micros
	Troubles   []string // of RoutedTroubles, each at a drawn moment
	// Shape changes what the routers are told before the start; nil: nothing.
	Shape func(*fleetconfig.Config)
	// Load scales the callers' rates over the span: 0 to 1 to a factor; nil: evenly.
	Load func(part float64) float64
	// IsYielding has routers give up the processor at random wherever they hand over.
	IsYielding bool
}

// RoutedOutcome is what came of it.
type RoutedOutcome struct {
	Review  checker.RoutedReview
	Events  []checker.RoutedEvent
	Late    int // served of those sent in the last two seconds, when all is well again
	LateAll int
	// Figures are the engines' own, by the address; Opened are connections made to them.
	Figures map[string]emulator.ModelFigures
	Opened  uint64
	Refused map[string]uint64
	Diverts uint64
}

// fleetClock counts from the start of the run.
type fleetClock struct{ start time.Time }

func (c fleetClock) Now() kernel.Micros { return kernel.MicrosOf(time.Since(c.start)) + sec }

type routedEngine struct {
	model     *emulator.Model
	record    router.Engine
	listener  io.Closer
	isGone    bool
	isTrouble bool
}

type routedRouter struct {
	name      string
	zone      string
	chooser   *router.Chooser
	pool      *router.Pool
	router    *router.Router
	server    *http.Server
	isLeaving bool
	isDown    bool
	shownRev  int
}

// routedFleet is routers before engines, with their callers and a stand-in for the control
// plane: it shows scenes to routers, each a drawn while later.
type routedFleet struct {
	plan     RoutedPlan
	deal     RoutedDeployment
	clock    fleetClock
	network  *emulator.Network
	context  context.Context
	lock     sync.Mutex // guards all that follows
	random   *rand.Rand
	events   []checker.RoutedEvent
	config   *fleetconfig.Config
	revision int
	engines  []*routedEngine
	routers  []*routedRouter
	lives    int
	factor   float64             // of the callers' rates
	services map[string][]string // by route: those that any configuration ever led it to
	waiting  []leaveWait
	calls    sync.WaitGroup
	chores   sync.WaitGroup           // end with the context
	serving  sync.WaitGroup           // end with their listeners
	kept     map[string][]*callerConn // idle, by router
	figures  map[string]emulator.ModelFigures
	opened   uint64
	monitor  *invariant.Monitor
}

// leaveWait is an engine whose leaving is acknowledged once all routers know.
type leaveWait struct {
	revision int
	engine   string
	then     func()
}

func (f *routedFleet) note(event checker.RoutedEvent) {
	f.lock.Lock()
	defer f.lock.Unlock()
	event.At = f.clock.Now()
	f.events = append(f.events, event)
}

func (f *routedFleet) between(low, high kernel.Micros) kernel.Micros {
	f.lock.Lock()
	defer f.lock.Unlock()
	return low + kernel.Micros(f.random.Int64N(int64(high-low+1)))
}

// after does something later, unless the run is over.
func (f *routedFleet) after(span kernel.Micros, do func()) {
	f.chores.Go(func() {
		timer := time.NewTimer(span.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
			do()
		case <-f.context.Done():
		}
	})
}

// PlayRouted plays a plan and judges it by what callers and engines saw.
func PlayRouted(plan RoutedPlan) RoutedOutcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &routedFleet{
		plan: plan, deal: plan.Deployment, clock: fleetClock{time.Now()}, network: emulator.NewNetwork(plan.Deployment.Delay.Duration()),
		context: ctx, random: rand.New(rand.NewPCG(plan.Seed, 5)), factor: 1, services: map[string][]string{},
		kept: map[string][]*callerConn{}, figures: map[string]emulator.ModelFigures{},
	}
	f.monitor = invariant.NewMonitor(func(violation invariant.Violation) {
		f.note(checker.RoutedEvent{What: checker.InvariantBroken, Why: violation.Error()})
	})
	routes := []fleetconfig.Route{}
	for _, kind := range f.deal.Kinds {
		routes = append(routes, kind.Route)
	}
	f.setConfig(routes)
	if plan.Shape != nil {
		plan.Shape(f.config)
	}
	for _, service := range f.deal.Services {
		for range f.deal.Engines[service.Name] {
			f.startEngine(service.Name, "")
		}
	}
	for i := range f.deal.Routers {
		f.startRouter(i)
	}
	f.reveal(0)
	end := f.clock.Now() + plan.Span
	for i := range f.deal.Kinds {
		f.calls.Go(func() { f.keepCalling(i, end) })
	}
	for _, name := range plan.Troubles {
		trouble := routedTroubles[name]
		// In the first half, so that all is well for a while at the end.
		at := f.between(plan.Span/8, plan.Span*3/8)
		f.after(at, func() { trouble(f, f.between(sec, plan.Span/4)) })
	}
	f.calls.Wait()
	cancel()
	f.chores.Wait()
	f.close()
	f.serving.Wait()
	return f.outcome(end)
}

func (f *routedFleet) close() {
	for _, router := range f.routers {
		f.endRouter(router)
	}
	for _, engine := range f.engines {
		f.endEngine(engine)
	}
	for _, conns := range f.kept {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

func (f *routedFleet) outcome(end kernel.Micros) RoutedOutcome {
	outcome := RoutedOutcome{Events: f.events, Figures: f.figures, Opened: f.opened, Refused: map[string]uint64{}}
	for _, router := range f.routers {
		counts := router.chooser.Counts()
		outcome.Diverts += counts.Diverts
		for reason, count := range counts.Refused {
			outcome.Refused[reason] += count
		}
	}
	outcome.Review = checker.JudgeRouted(f.events, f.deal.Bounds)
	sent := map[string]kernel.Micros{}
	for _, event := range f.events {
		switch event.What {
		case checker.TrySent:
			sent[event.ID] = event.At
		case checker.TryOver:
			if sent[event.ID] > end-2*sec {
				outcome.LateAll++
				if event.Ended == checker.Whole && event.Status == http.StatusOK {
					outcome.Late++
				}
			}
		}
	}
	return outcome
}

// setConfig makes a configuration of routes; the callers' rules count every service it ever named.
func (f *routedFleet) setConfig(routes []fleetconfig.Route) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.config = fleetconfig.NewRouteConfig(routes, f.deal.Services)
	f.revision++
	for _, route := range routes {
		for _, split := range route.Splits {
			if !slices.Contains(f.services[route.Name], split.Service) {
				f.services[route.Name] = append(f.services[route.Name], split.Service)
			}
		}
	}
}

// startEngine starts a life of an engine, at an address of its own or at one that is free.
func (f *routedFleet) startEngine(service, address string) *routedEngine {
	f.lock.Lock()
	f.lives++
	id := fmt.Sprintf("engine-%d", f.lives)
	if address == "" {
		address = fmt.Sprintf("10.0.1.%d:80", f.lives)
	}
	at := slices.IndexFunc(f.deal.Services, func(s fleetconfig.Service) bool { return s.Name == service })
	said := f.deal.Services[at]
	zone := f.deal.Zones[f.lives%len(f.deal.Zones)]
	f.lock.Unlock()
	model := emulator.NewModel(emulator.ModelSettings{
		ID: id, Service: service, Wire: routedWire, HealthPath: "/health", InstanceHeader: "Engine-Id",
		Slots: said.Slots, Queue: f.deal.Queue, Chunk: f.deal.Chunk, Step: f.deal.Step, StepEach: f.deal.StepEach, ReadPerMs: f.deal.Reads,
		Memory: int(said.MemoryTokens), Stride: said.Stride, Idle: f.deal.Idle, MaxConns: said.MaxConnections, CloseOneIn: 50,
		TellsLoad: f.deal.TellLoad, Note: f.note,
	})
	listener, err := f.network.Listen(address)
	if err != nil {
		panic(fmt.Errorf("start an engine: %w", err))
	}
	f.serving.Go(func() { model.Serve(listener) })
	engine := &routedEngine{model: model, listener: listener,
		record: router.Engine{ID: id, Address: address, Zone: zone, Service: service, Slots: said.Slots}}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.engines = append(f.engines, engine)
	f.revision++
	return engine
}

// endEngine ends an engine's process as a crash does.
func (f *routedFleet) endEngine(engine *routedEngine) {
	f.lock.Lock()
	if engine.isGone {
		f.lock.Unlock()
		return
	}
	engine.isGone = true
	f.lock.Unlock()
	engine.listener.Close()
	engine.model.Close()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.figures[engine.record.ID] = engine.model.Figures()
}

func (f *routedFleet) startRouter(number int) {
	name := fmt.Sprintf("router-%d", number)
	zone := f.deal.Zones[number%len(f.deal.Zones)]
	bounds := f.deal.Bounds
	chooser := router.NewChooser(name, zone, router.Retry{Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack})
	var clock kernel.Clock = f.clock
	dial := router.Dialer(f.network.Dial)
	if f.plan.IsYielding {
		clock, dial = yieldingClock{clock}, yieldingDialer(dial)
	}
	pool := router.NewPool(clock, dial, 300*ms, 10*sec)
	served := &routedRouter{name: name, zone: zone, chooser: chooser, pool: pool}
	served.router = router.NewRouter(router.Settings{
		Env:  kernel.Env{Context: f.context, Clock: clock, Log: klog.Background(), Journal: kernel.NewJournal(64)},
		Wire: routedWire, Chooser: chooser, Pool: pool, Invariants: f.monitor, MaxLive: 2000, MaxBodies: 64 << 20,
	})
	listener, err := f.network.Listen(name)
	if err != nil {
		panic(fmt.Errorf("start a router: %w", err))
	}
	served.server = &http.Server{Handler: served.router, ErrorLog: log.New(io.Discard, "", 0), IdleTimeout: 60 * time.Second}
	f.serving.Go(func() {
		// It ends with its listener, which is how every router here ends.
		served.server.Serve(listener)
	})
	f.chores.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				served.router.Sweep()
			case <-f.context.Done():
				return
			}
		}
	})
	f.routers = append(f.routers, served)
}

// endRouter ends a router's process at once.
func (f *routedFleet) endRouter(router *routedRouter) {
	f.lock.Lock()
	if !router.isDown {
		f.opened += router.pool.Opened()
	}
	router.isDown = true
	f.lock.Unlock()
	router.server.Close()
	router.pool.Sweep(func(string) bool { return false })
}

// scene is what the control plane knows now.
func (f *routedFleet) routingTable() (*router.RoutingTable, int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	routingTable := &router.RoutingTable{Config: f.config}
	for _, router := range f.routers {
		if !router.isDown {
			routingTable.Routers++
		}
	}
	for _, engine := range f.engines {
		if !engine.isGone || engine.record.IsDark {
			routingTable.Engines = append(routingTable.Engines, engine.record)
		} else if engine.isTrouble {
			// Nobody has noticed yet.
			routingTable.Engines = append(routingTable.Engines, engine.record)
		}
	}
	return routingTable, f.revision
}

// reveal shows the present to every router, each within so long.
func (f *routedFleet) reveal(within kernel.Micros) {
	for _, router := range f.routers {
		show := func() {
			routingTable, revision := f.routingTable()
			router.chooser.Show(routingTable)
			f.lock.Lock()
			router.shownRev = max(router.shownRev, revision)
			f.lock.Unlock()
			f.acknowledge()
		}
		if within == 0 {
			show()
			continue
		}
		f.after(f.between(0, within), show)
	}
}

// acknowledge tells of those that leave once every running router knows.
func (f *routedFleet) acknowledge() {
	f.lock.Lock()
	least := f.revision
	for _, router := range f.routers {
		if !router.isDown {
			least = min(least, router.shownRev)
		}
	}
	known := []leaveWait{}
	f.waiting = slices.DeleteFunc(f.waiting, func(wait leaveWait) bool {
		if wait.revision <= least {
			known = append(known, wait)
			return true
		}
		return false
	})
	f.lock.Unlock()
	for _, wait := range known {
		f.note(checker.RoutedEvent{What: checker.LeaveKnown, Engine: wait.engine})
		wait.then()
	}
}

// change alters what the control plane knows of an engine and shows it.
func (f *routedFleet) change(alter func()) {
	f.lock.Lock()
	alter()
	f.revision++
	f.lock.Unlock()
	f.reveal(f.deal.Reveal)
}
