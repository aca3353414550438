package capacity

// Fleet on virtual time: layout, event loop and deployment constants.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/virtualtime"
)

// Parts by which a node's processor time is accounted.
const (
	Events  = "events"  // control plane logic on messages and ticks
	Encode  = "encode"  // serializing messages
	Decode  = "decode"  // parsing messages
	Publish = "publish" // publishing the state to the data plane after each event
	Disk    = "disk"    // encoding and checksumming saved state, without any device
	Compile = "compile" // compiling configurations, outside the control plane's event loop
)

// Settings of a deployment that tolerates the loss of two voters, and the heartbeat interval of its engines.
const (
	deploymentVoters    = 5
	deploymentHeartbeat = 1200 * ms
	// An engine may lose two heartbeats in a row; the third one that is missing means that it is gone.
	deploymentEngineTimeout = deploymentHeartbeat * 7 / 2
	deploymentSubmitTimeout = 900 * ms
)

// Assumed durations of message delivery and synced writes; they are not measured.
const (
	zoneDelay            = 400 * kernel.Micros(1)
	regionDelay          = 1500 * kernel.Micros(1)
	nextRegionDelay      = 20 * ms // one way, to an adjacent region
	extraRegionDelay     = 12 * ms // for each further region in between
	writeDelay           = 3 * ms
	compileBytesPerMicro = 5 // bytes of a configuration compiled per microsecond, as measured by the "paper" table
)

// Fleet is a measured fleet on virtual time.
type Fleet struct {
	sizes       Sizes
	now         kernel.Micros
	queue       virtualtime.Queue
	random      *rand.Rand
	nodes       []*node
	byAddress   map[string]*node
	zones       []string
	seeds       []string
	starts      uint64
	compiler    fleetconfig.Compiler
	compileNS   map[string]int64
	isMeasured  bool
	cutRegion   int // index of the partitioned region; -1: none
	submissions uint64
	deadline    int64 // wall time in nanoseconds
	step        string
	failed      error
}

// threadNanos returns the processor time of this thread, which excludes the work of other threads and processes.
func threadNanos() int64 {
	var stamp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &stamp); err != nil {
		panic(kernel.ClockError{Cause: err})
	}
	return stamp.Nano()
}

func wallNanos() int64 { return int64(kernel.BootClock{}.Now()) * 1000 }

// NewFleet creates the nodes of a fleet without starting them.
func NewFleet(sizes Sizes, seed uint64) (*Fleet, error) {
	sizes = sizes.WithDefaults()
	if err := sizes.Check(); err != nil {
		return nil, fmt.Errorf("lay out a measured fleet: %w", err)
	}
	f := &Fleet{
		sizes: sizes, now: 1000 * sec, random: rand.New(rand.NewPCG(seed, 0x93ee)), byAddress: map[string]*node{},
		compileNS: map[string]int64{}, cutRegion: -1, deadline: wallNanos() + int64(sizes.Wall)*1000,
	}
	for i := range sizes.Zones {
		f.zones = append(f.zones, fmt.Sprintf("region-%d-zone-%02d", i%sizes.Regions, i))
	}
	for i := range sizes.Nodes {
		zone := i % sizes.Zones
		h := &node{
			fleet: f, region: zone % sizes.Regions, isController: i < sizes.Control, replies: map[string]func(cluster.SubmitResponse){},
			identity: kernel.Identity{
				Fleet: "capacity", Address: fmt.Sprintf("10.%d.%d.%d:7000", zone, i/250, i%250+1),
				Public: fmt.Sprintf("10.%d.%d.%d:8000", zone, i/250, i%250+1), Zone: f.zones[zone],
			},
		}
		if h.isController {
			h.folder = &memoryFolder{files: map[string][]byte{}}
		}
		f.nodes = append(f.nodes, h)
		f.byAddress[h.identity.Address] = h
	}
	for _, h := range f.nodes[:3] {
		f.seeds = append(f.seeds, h.identity.Address)
	}
	return f, nil
}

// after schedules a function after a span of virtual time.
func (f *Fleet) after(span kernel.Micros, run func()) {
	f.queue.Add(f.now+span, run)
}

// run advances virtual time by a span and runs its events. It fails when the limit of wall time is exceeded.
func (f *Fleet) run(span kernel.Micros) error {
	end := f.now + span
	for count := 0; ; count++ {
		event, isThere := f.queue.Next(end)
		if !isThere {
			break
		}
		if count%64 == 0 && wallNanos() > f.deadline {
			return TimeLimitError{f.step, f.sizes.Wall}
		}
		f.now = event.At
		event.Run()
		if f.failed != nil {
			return f.failed
		}
	}
	f.now = end
	return nil
}

// runUntil advances virtual time until unmet returns "", and checks that at each interval. It fails with the reason
// that unmet returns if the span ends before.
func (f *Fleet) runUntil(step string, interval, span kernel.Micros, unmet func() string) error {
	f.step = step
	for end := f.now + span; ; {
		why := unmet()
		if why == "" {
			return nil
		}
		if f.now >= end {
			return UnsettledError{step, span, why}
		}
		if err := f.run(interval); err != nil {
			return err
		}
	}
}

func (f *Fleet) jitter(span kernel.Micros) kernel.Micros {
	return kernel.Micros(f.random.Int64N(int64(span)))
}

// networkDelay draws the delivery time of a message between two nodes.
func (f *Fleet) networkDelay(from, to *node) kernel.Micros {
	if from.identity.Zone == to.identity.Zone {
		return zoneDelay + f.jitter(zoneDelay)
	}
	if from.region == to.region {
		return regionDelay + f.jitter(regionDelay)
	}
	apart := (from.region - to.region + f.sizes.Regions) % f.sizes.Regions
	apart = min(apart, f.sizes.Regions-apart)
	return nextRegionDelay + kernel.Micros(apart-1)*extraRegionDelay + f.jitter(2*ms)
}

// config returns an operator's configuration with the numbers of routes and tenants in the fleet's sizes.
// Configurations of different numbers differ.
func (f *Fleet) config(number uint64) []byte { return buildConfig(f.sizes, number) }

func buildConfig(sizes Sizes, number uint64) []byte {
	var text strings.Builder
	text.WriteString(`{"bindings":[`)
	for i := range sizes.Routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%05d","match":{"kind":"tenant-%05d","model":"model-%04d"},"shares":[{"pool":"pool-%02d","weight":%d}]}`,
			i, i%sizes.Tenants, i/sizes.Tenants, i%15, 1+(uint64(i)+number)%1000)
	}
	text.WriteString(`],"policy":{"prefixLength":64,"maxImbalance":2.0}}`)
	return []byte(text.String())
}

func (f *Fleet) router(index int) *node {
	return f.nodes[f.sizes.Control+index%(f.sizes.Nodes-f.sizes.Control)]
}

// submit sends a submission to a node and passes the reply to onReply.
func (f *Fleet) submit(at *node, operation cluster.Operation, config []byte, onReply func(cluster.SubmitResponse)) {
	f.submissions++
	submit := &cluster.Submit{ID: fmt.Sprintf("order-%06d", f.submissions), Operation: operation, Config: config}
	at.replies[submit.ID] = onReply
	at.event(func() []commands.Command { return at.node.Submit(f.now, submit) })
}

// startReports starts the periodic reports of a simulated engine, which never end. Under Strict rules it reports its
// load to a random node of its zone, and under Deployment rules it registers with a random node of the fleet.
func (f *Fleet) startReports(index int, after kernel.Micros) {
	zone := index % f.sizes.Zones
	at := f.nodesOf(f.zones[zone])
	if f.sizes.Rules == Deployment {
		at = f.nodes
	}
	record := registry.EngineRecord{
		ID: fmt.Sprintf("engine-%04d", index), Address: fmt.Sprintf("10.%d.200.%d:9000", zone, index/f.sizes.Zones%250),
		Zone: f.zones[zone], Pool: fmt.Sprintf("pool-%02d", index%15), Start: 1,
	}
	var report func()
	report = func() {
		record.Seq++
		h := at[f.random.IntN(len(at))]
		switch {
		case !h.isUp:
		case f.sizes.Rules == Deployment:
			h.event(func() []commands.Command { return h.node.Register(f.now, 0, record) })
		default:
			record.Uptime += f.sizes.Report
			record.Load, record.Streams = f.random.Int64N(60000), f.random.Int64N(64)
			h.event(func() []commands.Command { return h.node.ReportEngines(f.now, []registry.EngineRecord{record}) })
		}
		f.after(f.sizes.Report, report)
	}
	f.after(after, report)
}

func (f *Fleet) nodesOf(zone string) []*node {
	found := []*node{}
	for _, h := range f.nodes {
		if h.identity.Zone == zone {
			found = append(found, h)
		}
	}
	return found
}

// roles groups the running nodes by their current role.
func (f *Fleet) roles() map[Role][]*node {
	found := map[Role][]*node{}
	for _, h := range f.nodes {
		if !h.isUp {
			continue
		}
		state := h.node.State(nil)
		role := Router
		switch {
		case state.IsLeader:
			role = Leader
		case state.Document != nil && slices.ContainsFunc(state.Document.Voters, func(member cluster.Member) bool { return member.Address == h.identity.Address }):
			role = Voter
		case h.isController:
			role = Standby
		case state.IsCoordinator:
			role = Coordinator
		}
		found[role] = append(found[role], h)
	}
	return found
}
