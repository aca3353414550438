package capacity

import (
	"fmt"
	"maps"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
	"dunlinloom/test/virtualtime"
)

// Rate is of messages of one kind, a second and node.
type Rate struct {
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// RoleMetrics are one role's, for one node of it.
type RoleMetrics struct {
	Nodes     int                `json:"nodes"`
	Sent      map[string]Rate    `json:"sent"`
	Got       map[string]Rate    `json:"got"`
	Processor map[string]float64 `json:"processor"` // share of a core by part
	Memory    float64            `json:"memory"`    // bytes of heap that go with the node
}

// TotalRate sums up rates.
func TotalRate(rates map[string]Rate) Rate {
	sum := Rate{}
	for _, rate := range rates {
		sum.Messages += rate.Messages
		sum.Bytes += rate.Bytes
	}
	return sum
}

// Cores sums up the parts of the processor time.
func (f RoleMetrics) Cores() float64 {
	sum := 0.0
	for _, share := range f.Processor {
		sum += share
	}
	return sum
}

// Outcome is what one run found.
type Outcome struct {
	Sizes Sizes                `json:"sizes"`
	Seed  uint64               `json:"seed"`
	Roles map[Role]RoleMetrics `json:"roles"`
	// Of each order: from its submission to its yes, and from the yes to its force on the
	// last node; below zero when the last node had it before the yes.
	AckLatency     []kernel.Micros `json:"to_yes_us,omitempty"`
	ApplyDelay     []kernel.Micros `json:"to_force_us,omitempty"`
	Unacknowledged int             `json:"unproved,omitempty"`
	Open           kernel.Micros   `json:"open_us"` // virtual time until the fleet stood
	Settle         kernel.Micros   `json:"settle_us,omitempty"`
	Restarted      int             `json:"restarted,omitempty"`
	// At the end of a cut, of the region's routers and of the others, the share that may serve.
	ServingInside  float64 `json:"serving_inside,omitempty"`
	ServingOutside float64 `json:"serving_outside,omitempty"`
	// The whole process's processor time while costs were counted, by what was counted: the
	// rest is the collector's, the event queue's and the network's.
	Overhead float64       `json:"overhead"`
	Wall     kernel.Micros `json:"wall_us"`
	Heap     float64       `json:"heap"`
	Failed   string        `json:"failed,omitempty"`
}

func processNanos() int64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(kernel.ClockError{Cause: err})
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Run runs one fleet and measures it.
func Run(sizes Sizes, seed uint64) (*Outcome, error) {
	f, err := NewFleet(sizes, seed)
	if err != nil {
		return nil, err
	}
	// The thread's clock counts only what runs on this thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := wallNanos()
	outcome := &Outcome{Sizes: f.sizes, Seed: seed, Roles: map[Role]RoleMetrics{}}
	defer func() { outcome.Wall = kernel.Micros((wallNanos() - begun) / 1000) }()
	opened := f.now
	if err := f.start(); err != nil {
		return outcome, fmt.Errorf("open the fleet: %w", err)
	}
	outcome.Open = f.now - opened
	if err := f.measure(outcome); err != nil {
		return outcome, fmt.Errorf("measure: %w", err)
	}
	if f.sizes.Restart > 0 {
		if err := f.restart(outcome); err != nil {
			return outcome, fmt.Errorf("restart: %w", err)
		}
	}
	if f.sizes.Cut > 0 {
		if err := f.cut(outcome); err != nil {
			return outcome, fmt.Errorf("cut a region off: %w", err)
		}
	}
	outcome.Heap = heapBytes()
	f.measureMemory(outcome)
	return outcome, nil
}

// publishersPerRole is how many nodes of a role publish while they are measured: every event of a
// node ends with its state, and at hundreds of nodes that is most of the run's time.
const publishersPerRole = 1

func (f *Fleet) measure(outcome *Outcome) error {
	f.step = "measure"
	roles := f.roles()
	for _, role := range Roles() {
		for _, h := range roles[role][:min(publishersPerRole, len(roles[role]))] {
			h.isPublishing = true
			if !h.isController {
				h.dispatcher = relay.NewDispatcher(h.identity.Address, h.identity.Zone, func(kernel.Micros, string, string, string) {})
			}
			h.publish()
		}
	}
	if err := f.run(sec); err != nil {
		return err
	}
	for _, h := range f.nodes {
		h.cost = newCost()
	}
	var told []submission
	if f.sizes.Changes > 0 {
		f.submitChanges(&told)
	}
	f.isMeasured = true
	process, begun := processNanos(), f.now
	err := f.run(f.sizes.Span)
	process = processNanos() - process
	f.isMeasured = false
	if err != nil {
		return err
	}
	seconds := float64(f.now-begun) / float64(sec)
	billed := int64(0)
	for _, h := range f.nodes {
		for _, nanos := range h.cost.nanos {
			billed += nanos
		}
	}
	outcome.Overhead = float64(process) / float64(max(billed, 1))
	for role, nodes := range roles {
		figures := RoleMetrics{Nodes: len(nodes), Sent: map[string]Rate{}, Got: map[string]Rate{}, Processor: map[string]float64{}}
		published := 0
		for _, h := range nodes {
			addRates(figures.Sent, h.cost.sent, seconds*float64(len(nodes)))
			addRates(figures.Got, h.cost.got, seconds*float64(len(nodes)))
			if h.isPublishing {
				published++
			}
		}
		for _, h := range nodes {
			for part, nanos := range h.cost.nanos {
				of := len(nodes)
				if part == Publish {
					of = published
				}
				figures.Processor[part] += float64(nanos) / 1e9 / seconds / float64(of)
			}
		}
		outcome.Roles[role] = figures
	}
	if f.sizes.Changes > 0 {
		return f.awaitSubmissions(outcome, &told)
	}
	return nil
}

func addRates(sum map[string]Rate, counts map[string]traffic, by float64) {
	for kind, seen := range counts {
		rate := sum[kind]
		sum[kind] = Rate{rate.Messages + float64(seen.messages)/by, rate.Bytes + float64(seen.bytes)/by}
	}
}

type submission struct {
	submitted, answered kernel.Micros
	reply               cluster.SubmitResponse
}

// submitChanges gives orders at an even pace, each at another router.
func (f *Fleet) submitChanges(told *[]submission) {
	pause := 1000 * sec / kernel.Micros(f.sizes.Changes)
	end := f.now + f.sizes.Span
	var again func()
	number := 0
	again = func() {
		if f.now >= end {
			return
		}
		number++
		index := len(*told)
		*told = append(*told, submission{submitted: f.now})
		f.submit(f.router(number*37), cluster.PutConfig, f.config(uint64(number)), func(reply cluster.SubmitResponse) {
			(*told)[index].answered, (*told)[index].reply = f.now, reply
		})
		f.after(pause, again)
	}
	f.after(f.jitter(min(pause, sec)), again)
}

func (f *Fleet) awaitSubmissions(outcome *Outcome, told *[]submission) error {
	if err := f.runUntil("wait for acknowledgements", 200*ms, 30*sec, func() string {
		for _, one := range *told {
			if one.answered == 0 {
				return "an order has no acknowledgement"
			}
		}
		return f.unsettledReason(f.sizes.Engines)
	}); err != nil {
		return err
	}
	for _, one := range *told {
		if one.reply.Outcome != cluster.Accepted {
			outcome.Unacknowledged++
			continue
		}
		last := kernel.Micros(0)
		for _, h := range f.nodes {
			for _, applied := range h.applied {
				if applied.revision >= one.reply.Revision {
					last = max(last, applied.at)
					break
				}
			}
		}
		outcome.AckLatency = append(outcome.AckLatency, one.answered-one.submitted)
		outcome.ApplyDelay = append(outcome.ApplyDelay, last-one.answered)
	}
	slices.Sort(outcome.AckLatency)
	slices.Sort(outcome.ApplyDelay)
	return nil
}

// restart ends a share of the routers at once and starts them again after a second.
func (f *Fleet) restart(outcome *Outcome) error {
	routers := slices.Clone(f.nodes[f.sizes.Control:])
	f.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	gone := max(1, len(routers)*f.sizes.Restart/100)
	for _, h := range routers[:gone] {
		h.stop()
		f.after(sec, h.start)
	}
	outcome.Restarted = gone
	if err := f.run(sec + ms); err != nil {
		return err
	}
	begun := f.now
	if err := f.runUntil("settle after restarts", 50*ms, 120*sec, func() string { return f.unsettledReason(f.sizes.Engines) }); err != nil {
		return err
	}
	outcome.Settle = f.now - begun
	return nil
}

// cut parts the last region from the others, and waits after it is healed.
func (f *Fleet) cut(outcome *Outcome) error {
	f.step = "cut"
	f.cutRegion = f.sizes.Regions - 1
	if err := f.run(f.sizes.Cut); err != nil {
		return err
	}
	counts, serving := [2]int{}, [2]int{}
	for _, h := range f.nodes[f.sizes.Control:] {
		side := 0
		if h.region == f.cutRegion {
			side = 1
		}
		counts[side]++
		if h.node.State(nil).Until > f.now {
			serving[side]++
		}
	}
	outcome.ServingOutside, outcome.ServingInside = float64(serving[0])/float64(max(counts[0], 1)), float64(serving[1])/float64(max(counts[1], 1))
	f.cutRegion = -1
	begun := f.now
	if err := f.runUntil("settle after a cut", 50*ms, 300*sec, func() string { return f.unsettledReason(f.sizes.Engines) }); err != nil {
		return err
	}
	outcome.Settle = f.now - begun
	return nil
}

// measureMemory takes nodes of each role away and looks how much heap goes with them. It ends the fleet.
func (f *Fleet) measureMemory(outcome *Outcome) {
	roles := f.roles()
	f.queue = virtualtime.Queue{}
	// Only roles that publish, so that what the data plane holds is in it.
	for _, role := range slices.Sorted(maps.Keys(roles)) {
		if !slices.Contains(f.sizes.Roles, role) {
			continue
		}
		taken := []*node{}
		for _, h := range roles[role] {
			if h.isPublishing && h.state != nil {
				taken = append(taken, h)
			}
		}
		if len(taken) == 0 {
			continue
		}
		before := heapBytes()
		for _, h := range taken {
			h.stop()
			h.store, h.compiled = nil, nil
			h.replies, h.cost, h.applied = nil, cost{}, nil
			h.tableBuilder = server.TableBuilder{}
		}
		figures := outcome.Roles[role]
		figures.Memory = (before - heapBytes()) / float64(len(taken))
		outcome.Roles[role] = figures
	}
}
