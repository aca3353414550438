package capacity

// A measured fleet on virtual time: its layout, its event loop and its deployment constants.

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

// The parts of a node's processor time.
const (
	Events  = "events"  // the owners' own work on messages and ticks
	Encode  = "encode"  // messages to bytes
	Decode  = "decode"  // and back
	Publish = "publish" // the state for the data plane after each event
	Disk    = "disk"    // encoding and sums of what is saved; no device
	Compile = "compile" // configurations, beside the owners
)

// What a deployment with room for two lost machines sets, and the engines' pace there.
const (
	deploymentVoters    = 5
	deploymentHeartbeat = 1200 * ms
	// Two heartbeats may be lost on the way; the third says that there is nobody.
	deploymentEngineTimeout = deploymentHeartbeat * 7 / 2
	deploymentSubmitTimeout = 900 * ms
)

// Guessed: how long a message and a synced write take.
const (
	zoneDelay            = 400 * kernel.Micros(1)
	regionDelay          = 1500 * kernel.Micros(1)
	nextRegionDelay      = 20 * ms // to the next region, one way
	extraRegionDelay     = 12 * ms // for each region farther away
	writeDelay           = 3 * ms
	compileBytesPerMicro = 5 // of a configuration in a microsecond, as measured by the table of configurations
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
	cutRegion   int // -1: none
	submissions uint64
	deadline    int64 // of the wall, in nanoseconds
	step        string
	failed      error
}

// threadNanos is this thread's processor time: what others do on the machine is not in it.
func threadNanos() int64 {
	var stamp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &stamp); err != nil {
		panic(kernel.ClockError{Cause: err})
	}
	return stamp.Nano()
}

func wallNanos() int64 { return int64(kernel.BootClock{}.Now()) * 1000 }

// NewFleet lays out a measured fleet; nothing runs yet.
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

// after rings after a span of virtual time.
func (f *Fleet) after(span kernel.Micros, ring func()) {
	f.queue.Add(f.now+span, ring)
}

// run lets virtual time pass, as long as the wall allows.
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

// runUntil runs on until a test holds, looking so often.
func (f *Fleet) runUntil(step string, look, span kernel.Micros, isMet func() string) error {
	f.step = step
	for end := f.now + span; ; {
		why := isMet()
		if why == "" {
			return nil
		}
		if f.now >= end {
			return UnsettledError{step, span, why}
		}
		if err := f.run(look); err != nil {
			return err
		}
	}
}

func (f *Fleet) jitter(span kernel.Micros) kernel.Micros {
	return kernel.Micros(f.random.Int64N(int64(span)))
}

// networkDelay is how long a message takes from one node to another.
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

// config makes an operator's document with so many routes for so many tenants.
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

// submit gives an order to a node and tells its reply.
func (f *Fleet) submit(at *node, order cluster.Operation, config []byte, onReply func(cluster.SubmitResponse)) {
	f.submissions++
	submit := &cluster.Submit{ID: fmt.Sprintf("order-%06d", f.submissions), Operation: order, Config: config}
	at.replies[submit.ID] = onReply
	at.event(func() []commands.Command { return at.node.Submit(f.now, submit) })
}

// startReports lets a simulated engine report for ever: under strict rules its figures, each time at
// a node of its zone; under the deployment's that it is there, each time at any node.
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
	var again func()
	again = func() {
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
		f.after(f.sizes.Report, again)
	}
	f.after(after, again)
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

// roles sorts the nodes by what they do now.
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
