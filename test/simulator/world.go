package simulator

// The simulated fleet: its state, its event queue and its setup.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/test/checker"
	"dunlinloom/test/virtualtime"
)

const (
	ms  = kernel.Millisecond
	sec = kernel.Second
	// beginning of virtual time; not zero, so that no code can rely on a start at zero.
	beginning = 1000 * sec
)

// World is one simulated fleet with its network, engines, operator and callers.
type World struct {
	Seed      uint64
	now       kernel.Micros
	queue     virtualtime.Queue
	random    *rand.Rand
	machines  []*machine
	byAddress map[string]*machine
	engines   []*engine
	seeds     []string
	zones     []string
	events    []checker.Event
	// The network: the blocked connections by sender and receiver, and its other faults.
	blocked            map[[2]string]int
	lossShare          float64
	dupShare           float64
	networkDelay       kernel.Micros
	listings           []timedListing
	revision           uint64
	listLag            kernel.Micros
	committedDigests   map[uint64]string // by revision: the digest of its committed document
	internalViolations []string          // violations that only show in the internal state of nodes
	callCount          int
	configCount        int
	operator           *operator
	startTick          uint64
	Trace              func(at kernel.Micros, line string)
	CrossZoneBytes     map[string]int // bytes between zones by kind of message
	InZoneBytes        int
	retired            relay.Counts // the counts of processes that have ended
	// hasTriggeredFaults injects faults right after decisions that protections have to cover, see
	// faultTriggers; areFaultsOver ends all faults.
	hasTriggeredFaults, areFaultsOver bool
	// ProtectionCounts counts the actions of each protection, FaultCounts the injections of each fault.
	ProtectionCounts, FaultCounts map[string]int
	// afterAccepted, if set, is called once, shortly after the next accepted submission.
	afterAccepted     func(accepting *machine)
	callers           callers
	lastFault         string
	lastFaultAt       kernel.Micros
	lastLeaderAt      kernel.Micros
	lastDiskLossAt    kernel.Micros
	hasTightElections bool // election timeouts nearly coincide
	options           Options
	figures           measured
	compiler          fleetconfig.Compiler
}

// Options sets the load and the performance of the engines.
type Options struct {
	Prefixes, PrefixLen int
	TailLow, TailHigh   int // prompt tokens after the prefix
	OutLow, OutHigh     int
	Prefill, Decode     kernel.Micros // time per uncached prompt token and per output token
	Cache               int           // prefixes that an engine's cache holds
	Kinds               []callKind    // request classes of callers; if empty, requests have random sizes and no caller
	Pools               int           // number of pools of engines; each configuration omits one
	Slots               int
	ReportLag           kernel.Micros
	TTFTLimit           kernel.Micros
	Policy              map[string]any // of the configuration
	Overrides           func(m *machine) relay.PolicyOverrides
	AdmissionWait       kernel.Micros
	ColdSlowdown        int // factor by which a restarted engine is slower at first
	DataBytes           bool
	Operations          operationMix
	AnnouncedFounders   bool // the fleet is bootstrapped by members that announce themselves
	Voters              int  // least number of voters; zero: three, by the strict rule
}

func defaultOptions() Options {
	return Options{
		Prefixes: 24, PrefixLen: 80, TailHigh: 300, OutLow: 5, OutHigh: 125, Prefill: 60, Decode: 4 * ms,
		Cache: 64, Slots: 8, ReportLag: 500 * ms, ColdSlowdown: 1,
	}
}

// measured holds the figures that the measurements report.
type measured struct {
	ttft         []kernel.Micros
	hits, misses int              // prefix tokens that were cached, and that were not
	work         map[string]int64 // assigned tokens by engine
	coldPeak     int              // the most requests that a restarted engine had in slow start
	lateRejects  []kernel.Micros  // the time from sending to rejection as late
	crossed      int64            // bytes of requests and responses between zones
	within       int64
	errors       []float64 // relative errors of the load that a router estimated
}

// NewWorld sets up a fleet with ordinary request classes. The first machines have disks, and
// machines are assigned to the zones in turn.
func NewWorld(seed uint64, zones, nodes, disks, engines int) *World {
	options := defaultOptions()
	options.Kinds, options.Pools = runCallKinds, 6
	return newWorld(seed, zones, nodes, disks, engines, options)
}

func newWorld(seed uint64, zones, nodes, disks, engines int, options Options) *World {
	w := &World{
		Seed: seed, now: beginning, random: rand.New(rand.NewPCG(seed, 0x7a9)),
		byAddress: map[string]*machine{}, blocked: map[[2]string]int{}, committedDigests: map[uint64]string{},
		listLag: 2 * sec, startTick: 1, CrossZoneBytes: map[string]int{},
		options: options, figures: measured{work: map[string]int64{}},
		ProtectionCounts: map[string]int{}, FaultCounts: map[string]int{},
	}
	for i := range zones {
		w.zones = append(w.zones, fmt.Sprintf("z%d", i+1))
	}
	for i := range nodes {
		w.addMachine(w.zones[i%zones], i < disks)
	}
	for _, m := range w.machines[:3] {
		w.seeds = append(w.seeds, m.identity.Address)
	}
	for _, m := range w.machines {
		m.seeds = w.seeds
	}
	for i := range engines {
		w.engines = append(w.engines, &engine{
			world: w, id: fmt.Sprintf("e%02d", i), zone: w.zones[i%zones], pool: w.pool(i), start: 1, isUp: true, startedAt: beginning - 100*sec,
			runs: map[string]*call{}, cache: map[uint32]uint64{},
		})
	}
	w.operator = &operator{world: w, acknowledged: map[uint64]string{}, pending: map[string]bool{}}
	w.updateListing()
	for _, m := range w.machines {
		m.boot()
	}
	for _, e := range w.engines {
		e.report()
	}
	return w
}

func (w *World) addMachine(zone string, hasDisk bool) *machine {
	index := len(w.machines)
	m := &machine{
		world: w, name: fmt.Sprintf("m%02d", index), isRouter: true, isCore: hasDisk,
		identity: kernel.Identity{Fleet: "sim", Address: fmt.Sprintf("10.0.0.%d:7000", index+1), Public: fmt.Sprintf("10.0.0.%d:8000", index+1), Zone: zone},
		offset:   kernel.Micros(w.random.Int64N(int64(1000 * sec))), rate: 1 + (w.random.Float64()-0.5)*0.004,
	}
	if hasDisk {
		m.disk = newDisk()
	}
	w.machines = append(w.machines, m)
	w.byAddress[m.identity.Address] = m
	m.seeds = w.seeds
	return m
}

// pool returns the name of an engine's pool.
func (w *World) pool(index int) string {
	if w.options.Pools == 0 {
		return "main"
	}
	return fmt.Sprintf("p%d", index%w.options.Pools)
}

func (w *World) trace(line string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now-beginning, fmt.Sprintf(line, args...))
	}
}

func (w *World) addInternalViolation(line string, args ...any) {
	w.internalViolations = append(w.internalViolations, fmt.Sprintf("%.3f s: ", float64(w.now-beginning)/1e6)+fmt.Sprintf(line, args...))
}

func (w *World) record(event checker.Event) {
	event.At = w.now
	w.events = append(w.events, event)
}

// after calls do after a span of the simulation's time.
func (w *World) after(span kernel.Micros, do func()) {
	w.queue.Add(w.now+max(span, 0), do)
}

// Run advances virtual time by a span and runs the events that are due.
func (w *World) Run(span kernel.Micros) {
	end := w.now + span
	for {
		event, isThere := w.queue.Next(end)
		if !isThere {
			break
		}
		w.now = event.At
		event.Run()
	}
	w.now = end
}

func (w *World) between(low, high kernel.Micros) kernel.Micros {
	return low + kernel.Micros(w.random.Int64N(int64(high-low)+1))
}

// recordLostLeader records the time at which a leader was last present.
func (w *World) recordLostLeader(m *machine) {
	if m.isLeader {
		m.isLeader, w.lastLeaderAt = false, w.now
	}
}

// discardLostMarks removes the events of draining marks that were lost because every process ended
// before a leader could store them. docs/limits.md allows this loss, and the engine reports the
// mark again.
func (w *World) discardLostMarks() {
	for _, m := range w.machines {
		if m.isUp {
			return
		}
	}
	w.events = slices.DeleteFunc(w.events, func(event checker.Event) bool {
		return event.EventKind == checker.EngineDraining && !event.IsAcknowledged && w.lastLeaderAt-event.At < 1500*ms
	})
}

func digestOf(document *cluster.Document) string {
	settled := *document
	settled.Term = 0 // the same content is proposed again under later terms
	content, err := json.Marshal(settled)
	if err != nil {
		panic(kernel.ServiceError{Name: "digest", Reason: err.Error()})
	}
	return string(content)
}
