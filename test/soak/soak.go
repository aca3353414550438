// Package soak runs a fleet of real node processes on loopback addresses, injects overlapping faults, and checks what
// callers, engines and operators observed. The plan is drawn from a seed, but the operating system schedules the
// processes, so a replay with the same seed is similar and not identical.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/localfleet"
)

// Settings configure a run.
type Settings struct {
	Program string // the daemon, built with -tags faults
	Folder  string // for logs, settings files and data; has to exist and be empty
	Seed    uint64
	// Network is the second byte of the loopback addresses of the run, from 1 to 254. Concurrent runs need different
	// networks.
	Network int
	Span    kernel.Micros // duration of the plan, before the closing fault
	Load    float64       // factor on the default request rates of callers
	// HasTenants makes requests require keys and gives tenants quotas.
	HasTenants bool
	// Nodes is the number of nodes, of which the first Disks have a disk.
	Nodes, Disks int
	// Only limits the faults to these, by name. If it is empty, all kinds of faults are drawn.
	Only []string
	Logf func(format string, words ...any)
}

// Check returns a SettingError for the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.Network < 1 || s.Network > 254:
		return SettingError{"network", "must be from 1 to 254"}
	case s.Span < minSpan:
		return SettingError{"span", fmt.Sprintf("must be at least %d s", minSpan/kernel.Second)}
	case !(s.Load > 0 && s.Load <= 100):
		return SettingError{"load", "must be above 0 and at most 100"}
	case s.Nodes < minNodes || s.Nodes > maxNodes:
		return SettingError{"nodes", fmt.Sprintf("must be from %d to %d", minNodes, maxNodes)}
	}
	if s.Disks < DefaultDisks || s.Disks > min(maxDisks, s.Nodes) {
		return SettingError{"disks", fmt.Sprintf("must be from %d to %d, and at most one for each node", DefaultDisks, maxDisks)}
	}
	for _, name := range s.Only {
		if faultFuncs[name] == nil {
			return SettingError{"only", fmt.Sprintf("names %q, which is none of the faults %s", name, strings.Join(slices.Sorted(maps.Keys(faultFuncs)), ", "))}
		}
	}
	if left, err := os.ReadDir(s.Folder); err != nil || len(left) > 0 {
		return SettingError{"folder", "must exist and be empty"}
	}
	return nil
}

// drawPlan draws the plan of the run.
func (s Settings) drawPlan() plan {
	unplanned := slices.Clone(s.Only)
	if len(unplanned) == 0 {
		unplanned = allActions
	}
	return draw(s.Seed, s.Span, unplanned)
}

// SettingError reports which setting is invalid and why.
type SettingError struct{ Name, Why string }

func (b SettingError) Error() string { return b.Name + " " + b.Why }

// RunError is a failure of the run itself, as opposed to a failure of the fleet under test.
type RunError struct {
	Step  string
	Cause error
}

func (b RunError) Error() string { return b.Step + ": " + b.Cause.Error() }

// Unwrap returns the cause.
func (b RunError) Unwrap() error { return b.Cause }

// fleet is the state of a run.
type fleet struct {
	settings Settings
	clock    kernel.Clock
	client   platform.Client
	faults   *localfleet.FaultTable
	context  context.Context
	tenancy  *tenancy // nil: requests need no keys
	operator *operator

	lock           sync.Mutex // guards the fields below
	random         *rand.Rand
	nodes          []*node
	retired        []*node // nodes that were replaced
	engines        []*engine
	incarnations   int // counter for engine ids and addresses
	replaced       int // number of replacement nodes so far
	lastDiskLossAt kernel.Micros
	routed         []checker.RoutedEvent
	orders         []checker.OperationEvent
	problems       []string
	skipped        map[int]string      // why a step of the plan was skipped, by its index
	services       map[string][]string // the services of each route in any configuration sent so far
	idleConns      map[string][]*callerConnection
	ready          map[string]int // consecutive failed readiness polls by node
	factor         float64        // current factor on the callers' rates
	memoryMB       int64
	work           sync.WaitGroup // engines and misbehaving callers
	calls          sync.WaitGroup
}

// Play executes a run and returns the checked result.
func Play(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	runCtx, end := context.WithCancel(ctx)
	defer end()
	f := &fleet{
		settings: settings, clock: kernel.NewSteadyClock(), context: runCtx,
		client:  platform.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		faults:  localfleet.NewFaultTable(filepath.Join(settings.Folder, "faults.json")),
		random:  rand.New(rand.NewPCG(settings.Seed, 1)),
		skipped: map[int]string{}, services: map[string][]string{}, idleConns: map[string][]*callerConnection{}, ready: map[string]int{}, factor: 1,
	}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	if settings.HasTenants {
		f.tenancy = newTenancy(f)
	}
	f.operator = newOperator(f)
	if err := f.operator.begin(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	f.settings.Logf("all nodes are ready")
	f.runTraffic(runCtx, f.operator)
	end()
	f.endEngines()
	f.work.Wait()
	if err := ctx.Err(); err != nil {
		// The events of a canceled run are incomplete, so they are not checked.
		return nil, RunError{"complete the run", err}
	}
	return f.report(), nil
}

// runTraffic runs callers and operators during the plan and the closing fault, and then checks the nodes.
func (f *fleet) runTraffic(ctx context.Context, operator *operator) {
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var background sync.WaitGroup
	background.Go(func() { f.watchReadiness(traffic) })
	for i, kind := range kinds() {
		if kind.Route.Name != routeConversation {
			f.calls.Go(func() { f.keepCalling(traffic, i) })
		}
	}
	for i := range conversations {
		f.calls.Go(func() { f.keepConversing(traffic, i) })
	}
	f.calls.Go(func() { f.misbehave(traffic) })
	background.Go(func() { operator.read(traffic) })
	operatorCtx, stopOperator := context.WithCancel(traffic)
	var orders sync.WaitGroup
	orders.Go(func() { operator.run(operatorCtx) })
	f.runPlan(f.settings.drawPlan())
	stopOperator()
	orders.Wait()
	f.checkReserve(ctx)
	f.runClosing(ctx, operator)
	endTraffic()
	f.calls.Wait()
	background.Wait()
	operator.readBack(ctx)
	f.inspectNodes(ctx)
	f.checkSecrets(ctx)
}

func (f *fleet) recordEvent(event checker.RoutedEvent) {
	f.lock.Lock()
	defer f.lock.Unlock()
	event.At = f.clock.Now()
	f.routed = append(f.routed, event)
}

func (f *fleet) recordOperation(event checker.OperationEvent) {
	f.lock.Lock()
	defer f.lock.Unlock()
	event.At = f.clock.Now()
	f.orders = append(f.orders, event)
}

// problem records a problem that the checker cannot find in the events.
func (f *fleet) problem(format string, arguments ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, arguments...))
}

// draw returns a random integer from 0 up to but excluding the bound.
func (f *fleet) draw(bound int) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.random.IntN(bound)
}

// pause waits for a span or until the context ends. It reports whether the whole span has passed.
func pause(ctx context.Context, span kernel.Micros) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
