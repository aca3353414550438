package simulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"dunlinloom/internal/drain"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// RoutedPlan holds the parameters of one run of a routed fleet. The run takes all time from the
// time package, so it uses virtual time inside a testing/synctest bubble and real time elsewhere.
type RoutedPlan struct {
	Seed       uint64
	Deployment RoutedDeployment
	Span       kernel.Micros
	Faults     []string // names from RoutedFaults and TenantFaults, each injected at a random time
	// Shape changes the initial configuration of the routers; nil for no change.
	Shape func(*fleetconfig.Config)
	// Load returns the factor of the callers' rates at a part of the span from 0 to 1; nil for
	// constant rates.
	Load func(part float64) float64
	// IsYielding makes routers yield the processor at random around clock reads and connection
	// calls.
	IsYielding bool
	// Tenants are the tenants in the fleet's configurations; without them requests need no keys.
	Tenants *TenantPlan
	// IsRecorded keeps every decision of the routers, for RoutedOutcome.Record.
	IsRecorded bool
}

// RoutedOutcome is the result of a routed run.
type RoutedOutcome struct {
	Report checker.RoutedReport
	Events []checker.RoutedEvent
	// LateSent counts the requests sent in the last two seconds, after all faults have ended, and LateServed those of them
	// that were served at any of their tries.
	LateServed, LateSent int
	// Figures are the engines' statistics by engine ID; Opened counts the connections opened to
	// engines.
	Figures  map[string]emulator.ModelStats
	Opened   uint64
	Rejected map[string]uint64
	Diverts  uint64
	// Record holds what is needed to check the run again. It has decisions only if IsRecorded is set
	// in the plan.
	Record *RoutedRecord
}

// fleetClock counts from the start of the run, which it reads as one second.
type fleetClock struct{ start time.Time }

func (c fleetClock) Now() kernel.Micros { return kernel.MicrosOf(time.Since(c.start)) + sec }

type routedEngine struct {
	model    *emulator.Model
	record   router.Engine
	listener io.Closer
	hasEnded bool
	isFaulty bool
}

type routedRouter struct {
	name              string
	zone              string
	chooser           *router.Chooser
	pool              *router.Pool
	router            *router.Router
	server            *http.Server
	connections       *drain.Listener
	isStopping        atomic.Bool
	isLeaving         bool
	isDown            bool
	deliveredRevision int
}

// routedFleet runs routers in front of engines, with their callers and a stand-in for the control
// plane, which delivers routing tables to each router after a random delay.
type routedFleet struct {
	plan           RoutedPlan
	deployment     RoutedDeployment
	clock          fleetClock
	network        *emulator.Network
	context        context.Context
	lock           sync.Mutex // guards all that follows
	events         []checker.RoutedEvent
	decisions      map[string][]router.Decision // by router
	config         *fleetconfig.Config
	revision       int
	engines        []*routedEngine
	routers        []*routedRouter
	incarnations   int
	rateFactor     float64             // of the callers' rates
	services       map[string][]string // by route: the services that any configuration has routed it to
	pendingChanges []pendingChange
	calls          sync.WaitGroup
	background     sync.WaitGroup           // goroutines that end with the context
	serving        sync.WaitGroup           // goroutines that end with their listeners
	idleConns      map[string][]*callerConn // by router
	figures        map[string]emulator.ModelStats
	opened         uint64
	monitor        *invariant.Monitor
	tenancy        *tenancy // nil: the fleet has no tenants
	keyRevision    int      // of the newest configuration that changed keys
}

// pendingChange is a change that is acknowledged once all routers know its revision: the drain of an
// engine or the revocation of a key.
type pendingChange struct {
	revision int
	event    checker.RoutedEvent
	then     func()
}

func (f *routedFleet) note(event checker.RoutedEvent) {
	f.lock.Lock()
	defer f.lock.Unlock()
	event.At = f.clock.Now()
	f.events = append(f.events, event)
}

// randomOf returns a separate random source for each purpose and number, so that no draw depends on the order in
// which goroutines run.
func (f *routedFleet) randomOf(purpose string, number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.plan.Seed, xxhash.Sum64String(fmt.Sprint(purpose, "/", number))))
}

// between returns a random span from low to high.
func between(random *rand.Rand, low, high kernel.Micros) kernel.Micros {
	return low + kernel.Micros(random.Int64N(int64(high-low+1)))
}

// after calls do after a span, unless the run ends first.
func (f *routedFleet) after(span kernel.Micros, do func()) {
	f.background.Go(func() {
		timer := time.NewTimer(span.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
			do()
		case <-f.context.Done():
		}
	})
}

// RunRouted runs a plan and checks the events that callers and engines recorded.
func RunRouted(plan RoutedPlan) RoutedOutcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &routedFleet{
		plan: plan, deployment: plan.Deployment, clock: fleetClock{time.Now()}, network: emulator.NewNetwork(plan.Deployment.NetworkDelay.Duration()),
		context: ctx, decisions: map[string][]router.Decision{}, rateFactor: 1, services: map[string][]string{},
		idleConns: map[string][]*callerConn{}, figures: map[string]emulator.ModelStats{},
	}
	if plan.Tenants != nil {
		f.tenancy = newTenancy(f, plan.Tenants)
		f.deployment.Bounds.Tenants = plan.Tenants.Bounds
		f.tenancy.every(freshnessInterval, f.tenancy.refresh)
	}
	f.monitor = invariant.NewMonitor(func(violation invariant.ViolationError) {
		f.note(checker.RoutedEvent{EventKind: checker.InvariantBroken, Why: violation.Error()})
	})
	routes := []fleetconfig.Route{}
	for _, kind := range f.deployment.Kinds {
		routes = append(routes, kind.Route)
	}
	f.setConfig(routes)
	if plan.Shape != nil {
		plan.Shape(f.config)
	}
	for _, service := range f.deployment.Services {
		for range f.deployment.Engines[service.Name] {
			f.startEngine(service.Name, "")
		}
	}
	for i := range f.deployment.Routers {
		f.startRouter(i)
	}
	f.publishRoutingTable(0)
	end := f.clock.Now() + plan.Span
	for i := range f.deployment.Kinds {
		f.calls.Go(func() { f.keepCalling(i, end) })
	}
	for index, name := range plan.Faults {
		fault := routedFaults[name]
		if fault == nil {
			fault = tenantFaults[name]
		}
		random := f.randomOf("fault", uint64(index))
		// Faults start early enough that there are none in the last part of the run.
		at := between(random, plan.Span/8, plan.Span*3/8)
		span := between(random, sec, plan.Span/4)
		f.after(at, func() { fault(&faultInjector{f, random}, span) })
	}
	f.calls.Wait()
	cancel()
	f.background.Wait()
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
	for _, conns := range f.idleConns {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

func (f *routedFleet) outcome(end kernel.Micros) RoutedOutcome {
	outcome := RoutedOutcome{Events: f.events, Figures: f.figures, Opened: f.opened, Rejected: map[string]uint64{}}
	for _, router := range f.routers {
		counts := router.chooser.Counts()
		outcome.Diverts += counts.Diverts
		for reason, count := range counts.Refused {
			outcome.Rejected[reason] += count
		}
	}
	outcome.Report = checker.CheckRouted(f.events, f.deployment.Bounds)
	outcome.Record = &RoutedRecord{
		Seed: f.plan.Seed, Bounds: f.deployment.Bounds, Budget: f.retryBudget(), Events: f.events, Decisions: f.decisions,
		Violations: outcome.Report.Violations,
	}
	outcome.countLate(f.events, end-2*sec)
	return outcome
}

// countLate counts the requests of which a try was sent after a moment.
func (o *RoutedOutcome) countLate(events []checker.RoutedEvent, after kernel.Micros) {
	sentAt, isServed := map[string]kernel.Micros{}, map[string]bool{}
	for _, event := range events {
		switch event.EventKind {
		case checker.AttemptSentByCaller:
			sentAt[event.ID] = event.At
		case checker.AttemptEnded:
			if sentAt[event.ID] <= after {
				continue
			}
			request, _, _ := strings.Cut(event.ID, ".")
			isServed[request] = isServed[request] || event.Ending == checker.Complete && event.Status == http.StatusOK
		}
	}
	o.LateSent = len(isServed)
	for _, served := range isServed {
		if served {
			o.LateServed++
		}
	}
}

// setConfig makes a configuration with the given routes the current one. A route's requests may
// be served by any service that a configuration has ever routed them to.
func (f *routedFleet) setConfig(routes []fleetconfig.Route) {
	config := fleetconfig.NewRouteConfig(routes, f.deployment.Services)
	if f.tenancy != nil {
		tenants := f.tenancy.nextTenants()
		f.tenancy.recordKeys(tenants)
		config.SetTenants(tenants)
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.config = config
	f.revision++
	f.keyRevision = f.revision
	for _, route := range routes {
		for _, split := range route.Splits {
			if !slices.Contains(f.services[route.Name], split.Service) {
				f.services[route.Name] = append(f.services[route.Name], split.Service)
			}
		}
	}
}

// startEngine starts an engine process at the given address, or at a new one if it is empty.
func (f *routedFleet) startEngine(service, address string) *routedEngine {
	f.lock.Lock()
	f.incarnations++
	id := fmt.Sprintf("engine-%d", f.incarnations)
	if address == "" {
		address = fmt.Sprintf("10.0.1.%d:80", f.incarnations)
	}
	at := slices.IndexFunc(f.deployment.Services, func(s fleetconfig.Service) bool { return s.Name == service })
	serviceConfig := f.deployment.Services[at]
	zone := f.deployment.Zones[f.incarnations%len(f.deployment.Zones)]
	f.lock.Unlock()
	model := emulator.NewModel(emulator.ModelSettings{
		ID: id, Service: service, Wire: routedWire, HealthPath: "/health", InstanceHeader: "Engine-Id",
		Slots: serviceConfig.Slots, Queue: f.deployment.Queue, PrefillChunk: f.deployment.PrefillChunk, Step: f.deployment.Step, StepPerRequest: f.deployment.StepPerRequest, PrefillTokensPerMs: f.deployment.PrefillTokensPerMs,
		CacheTokens: int(serviceConfig.MemoryTokens), TokensPerEvent: serviceConfig.Stride, IdleTimeout: f.deployment.IdleTimeout, MaxConns: serviceConfig.MaxConnections, CloseOneIn: 50,
		ReportsLoad: f.deployment.ReportsLoad, OnEvent: f.note,
	})
	listener, err := f.network.Listen(address)
	if err != nil {
		panic(fmt.Errorf("start an engine: %w", err))
	}
	f.serving.Go(func() { model.Serve(listener) })
	engine := &routedEngine{model: model, listener: listener,
		record: router.Engine{ID: id, Address: address, Zone: zone, Service: service, Slots: serviceConfig.Slots}}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.engines = append(f.engines, engine)
	f.revision++
	return engine
}

// endEngine ends an engine process as a crash does.
func (f *routedFleet) endEngine(engine *routedEngine) {
	f.lock.Lock()
	if engine.hasEnded {
		f.lock.Unlock()
		return
	}
	engine.hasEnded = true
	f.lock.Unlock()
	engine.listener.Close()
	engine.model.Close()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.figures[engine.record.ID] = engine.model.Stats()
}

// retryBudget returns the retry budget of the fleet, of which each router uses its share.
func (f *routedFleet) retryBudget() router.RetryBudget {
	bounds := f.deployment.Bounds
	return router.RetryBudget{Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack}
}

// recordDecision is called by a chooser that holds its own lock, and acquires the fleet's lock.
func (f *routedFleet) recordDecision(name string, decision router.Decision) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.decisions[name] = append(f.decisions[name], decision)
}

func (f *routedFleet) startRouter(number int) {
	name := fmt.Sprintf("router-%d", number)
	zone := f.deployment.Zones[number%len(f.deployment.Zones)]
	chooser := router.NewChooser(name, zone, f.retryBudget())
	if f.plan.IsRecorded {
		chooser.RecordDecisions(func(decision router.Decision) { f.recordDecision(name, decision) })
	}
	var clock kernel.Clock = f.clock
	dial := router.Dialer(f.network.Dial)
	if f.plan.IsYielding {
		clock, dial = yieldingClock{clock}, yieldingDialer(dial)
	}
	pool := router.NewPool(clock, dial, 300*ms, 10*sec)
	served := &routedRouter{name: name, zone: zone, chooser: chooser, pool: pool}
	settings := router.Settings{
		Env:  kernel.Env{Context: f.context, Clock: clock, Log: klog.Background(), Journal: kernel.NewJournal(64)},
		Wire: routedWire, Chooser: chooser, Pool: pool, Invariants: f.monitor, MaxInFlight: 2000, MaxBodyBytesTotal: 64 << 20,
	}
	if f.tenancy != nil {
		f.tenancy.addRouter(name, &settings)
	}
	served.router = router.NewRouter(settings)
	listener, err := f.network.Listen(name)
	if err != nil {
		panic(fmt.Errorf("start a router: %w", err))
	}
	served.connections = drain.NewListener(name, listener)
	served.server = &http.Server{
		Handler: drain.CloseWhenStopping(served.isStopping.Load, served.router), ErrorLog: log.New(panicWatch{f, name}, "", 0), IdleTimeout: 60 * time.Second,
		ConnState: served.connections.SetState, ConnContext: drain.ConnContext,
	}
	f.serving.Go(func() {
		// Serve returns when the listener is closed, so its error is ignored.
		served.server.Serve(served.connections)
	})
	f.background.Go(func() {
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

// panicWatch receives the log of a router's HTTP server and records panics. net/http recovers from a panic in a
// handler and closes the connection, which callers can't distinguish from an injected fault.
type panicWatch struct {
	fleet  *routedFleet
	router string
}

func (p panicWatch) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		p.fleet.note(checker.RoutedEvent{EventKind: checker.InvariantBroken, Router: p.router, Why: string(line)})
	}
	return len(line), nil
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

// routingTable returns the routing table that the control plane knows now, and its revision.
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
		if !engine.hasEnded || engine.record.IsUnresponsive {
			routingTable.Engines = append(routingTable.Engines, engine.record)
		} else if engine.isFaulty {
			// The control plane has not detected the failure yet.
			routingTable.Engines = append(routingTable.Engines, engine.record)
		}
	}
	return routingTable, f.revision
}

// publishRoutingTable delivers the current routing table to every router, each after a random delay of at
// most within.
func (f *routedFleet) publishRoutingTable(within kernel.Micros) {
	f.lock.Lock()
	revision := f.revision
	f.lock.Unlock()
	for _, router := range f.routers {
		deliver := func() {
			if f.tenancy.isCutOff(router.name) {
				return
			}
			routingTable, revision := f.routingTable()
			router.chooser.SetRoutingTable(routingTable)
			f.lock.Lock()
			router.deliveredRevision = max(router.deliveredRevision, revision)
			f.lock.Unlock()
			f.acknowledge()
		}
		if within == 0 {
			deliver()
			continue
		}
		f.after(between(f.randomOf(router.name, uint64(revision)), 0, within), deliver)
	}
}

// acknowledge records the waiting changes that every running router knows now. Routers cut off
// from the control plane are not waited for.
func (f *routedFleet) acknowledge() {
	f.lock.Lock()
	least := f.revision
	for _, router := range f.routers {
		if !router.isDown && !f.tenancy.isCutOff(router.name) {
			least = min(least, router.deliveredRevision)
		}
	}
	known := []pendingChange{}
	f.pendingChanges = slices.DeleteFunc(f.pendingChanges, func(wait pendingChange) bool {
		if wait.revision <= least {
			known = append(known, wait)
			return true
		}
		return false
	})
	f.lock.Unlock()
	for _, wait := range known {
		f.note(wait.event)
		wait.then()
	}
}

// change alters what the control plane knows and delivers it to the routers.
func (f *routedFleet) change(alter func()) {
	f.lock.Lock()
	alter()
	f.revision++
	f.lock.Unlock()
	f.publishRoutingTable(f.deployment.PropagationDelay)
}
