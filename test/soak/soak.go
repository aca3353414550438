// Package soak plays a fleet of deployed nodes, real processes on loopback addresses, under troubles that
// overlap in time, and judges what callers, engines and operators saw. A seed draws the plan; how
// goroutines and processes are scheduled is the machine's, so that a replay is close and not exact.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/localfleet"
)

// Settings say what is played, and where.
type Settings struct {
	Program string // the daemon, built with -tags faults
	Folder  string // for logs, settings files and data; it has to be empty
	Seed    uint64
	// Network is the second byte of the loopback addresses that are used, from 1 to 254: runs side by side
	// need networks of their own.
	Network int
	Span    kernel.Micros // of troubles, before the closing fault
	Load    float64       // times the usual rates of callers
	// HasTenants has requests need keys, and tenants have quotas.
	HasTenants bool
	Logf       func(format string, words ...any)
}

// Check names every fault of the settings.
func (s Settings) Check() error {
	switch {
	case s.Network < 1 || s.Network > 254:
		return SettingError{"network", "has to be from 1 to 254"}
	case s.Span < minSpan:
		return SettingError{"span", fmt.Sprintf("has to be %d s at least", minSpan/kernel.Second)}
	case !(s.Load > 0 && s.Load <= 100):
		return SettingError{"load", "has to be above 0 and at most 100"}
	}
	if left, err := os.ReadDir(s.Folder); err != nil || len(left) > 0 {
		return SettingError{"folder", "has to be there and empty"}
	}
	return nil
}

// SettingError says which setting can't be used.
type SettingError struct{ Name, Why string }

func (b SettingError) Error() string { return b.Name + " " + b.Why }

// RunError says what of the run itself went wrong, as opposed to the fleet.
type RunError struct {
	Step  string
	Cause error
}

func (b RunError) Error() string { return b.Step + ": " + b.Cause.Error() }

// Unwrap gives the cause.
func (b RunError) Unwrap() error { return b.Cause }

// fleet is a run.
type fleet struct {
	settings Settings
	clock    kernel.Clock
	client   platform.Client
	faults   *localfleet.FaultTable
	context  context.Context
	tenancy  *tenancy // nil: requests need no keys
	operator *operator

	lock           sync.Mutex // guards all that follows
	random         *rand.Rand
	nodes          []*node
	retired        []*node // whose machines were taken away for good
	engines        []*engine
	incarnations   int // of engines
	replaced       int // machines that took others' places
	lastDiskLossAt kernel.Micros
	routed         []checker.RoutedEvent
	orders         []checker.OperationEvent
	problems       []string
	skipped        map[int]string      // why a step of the plan was not carried out, by its index
	services       map[string][]string // by route: those that any configuration ever led it to
	idleConns      map[string][]*callerConnection
	ready          map[string]int // by node: how many looks in a row it missed
	factor         float64        // of the callers' rates
	memoryMB       int64
	work           sync.WaitGroup // of troubles, engines and misbehaving callers
	calls          sync.WaitGroup
}

// Play plays a run and judges it.
func Play(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	living, end := context.WithCancel(ctx)
	defer end()
	f := &fleet{
		settings: settings, clock: kernel.NewSteadyClock(), context: living,
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
	f.playTraffic(living, f.operator)
	end()
	f.endEngines()
	f.work.Wait()
	if err := ctx.Err(); err != nil {
		// Ended by hand: what was seen until then says nothing of the rest.
		return nil, RunError{"play to the end", err}
	}
	return f.report(), nil
}

// playTraffic plays the span with its troubles, the closing fault and the time after it.
func (f *fleet) playTraffic(ctx context.Context, operator *operator) {
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var chores sync.WaitGroup
	chores.Go(func() { f.watchReadiness(traffic) })
	for i := range kinds() {
		f.calls.Go(func() { f.keepCalling(traffic, i) })
	}
	f.calls.Go(func() { f.misbehave(traffic) })
	chores.Go(func() { operator.read(traffic) })
	ordering, endOrders := context.WithCancel(traffic)
	var orders sync.WaitGroup
	orders.Go(func() { operator.run(ordering) })
	f.runPlan(draw(f.settings.Seed, f.settings.Span))
	endOrders()
	orders.Wait()
	f.playClosing(ctx, operator)
	endTraffic()
	f.calls.Wait()
	chores.Wait()
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

// problem notes what no judge looks at.
func (f *fleet) problem(format string, arguments ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, arguments...))
}

// draw gives a whole number below a bound.
func (f *fleet) draw(bound int) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.random.IntN(bound)
}

// pause waits for a span, or until the context ends; it tells whether the span is over.
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
