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

// Rate is the traffic of one kind of message, per second and node.
type Rate struct {
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// RoleMetrics are the measured costs of one role, averaged over its nodes.
type RoleMetrics struct {
	Nodes     int                `json:"nodes"`
	Sent      map[string]Rate    `json:"sent"`
	Got       map[string]Rate    `json:"got"`
	Processor map[string]float64 `json:"processor"` // fraction of a core for each part, such as Events
	Memory    float64            `json:"memory"`    // heap bytes that are freed with the node
}

// TotalRate returns the sum over all kinds of messages.
func TotalRate(rates map[string]Rate) Rate {
	sum := Rate{}
	for _, rate := range rates {
		sum.Messages += rate.Messages
		sum.Bytes += rate.Bytes
	}
	return sum
}

// Cores returns the sum of the parts of the processor time, in cores.
func (f RoleMetrics) Cores() float64 {
	sum := 0.0
	for _, share := range f.Processor {
		sum += share
	}
	return sum
}

// Outcome is the result of one run.
type Outcome struct {
	Sizes Sizes                `json:"sizes"`
	Seed  uint64               `json:"seed"`
	Roles map[Role]RoleMetrics `json:"roles"`
	// For each accepted submission, AckLatency is the time from its submission to its acknowledgement, and ApplyDelay
	// the time from there until the last node applied it, which is negative if the acknowledgement came later.
	AckLatency     []kernel.Micros `json:"to_yes_us,omitempty"`
	ApplyDelay     []kernel.Micros `json:"to_force_us,omitempty"`
	Unacknowledged int             `json:"unproved,omitempty"`
	Open           kernel.Micros   `json:"open_us"` // virtual time until the fleet had started
	Settle         kernel.Micros   `json:"settle_us,omitempty"`
	Restarted      int             `json:"restarted,omitempty"`
	// At the end of a partition, the fraction of routers with a valid lease, inside the region and outside of it.
	ServingInside  float64 `json:"serving_inside,omitempty"`
	ServingOutside float64 `json:"serving_outside,omitempty"`
	// Overhead is the processor time of the process during the measurement, divided by the time accounted to nodes.
	// The difference goes to the garbage collector, the event queue and the simulated network.
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

// Run runs one fleet and measures it. If a step fails, it returns what was measured before together with the error.
func Run(sizes Sizes, seed uint64) (*Outcome, error) {
	f, err := NewFleet(sizes, seed)
	if err != nil {
		return nil, err
	}
	// The clock of threadNanos counts only the work on this thread.
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
			return outcome, fmt.Errorf("partition a region: %w", err)
		}
	}
	outcome.Heap = heapBytes()
	f.measureMemory(outcome)
	return outcome, nil
}

// publishersPerRole is the number of nodes of each role that publish their state during the measurement. Publishing
// follows every event of a node, and with hundreds of nodes it would take most of the run's time.
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
	var submissions []submission
	if f.sizes.Changes > 0 {
		f.submitChanges(&submissions)
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
	accounted := int64(0)
	for _, h := range f.nodes {
		for _, nanos := range h.cost.nanos {
			accounted += nanos
		}
	}
	outcome.Overhead = float64(process) / float64(max(accounted, 1))
	for role, nodes := range roles {
		metrics := RoleMetrics{Nodes: len(nodes), Sent: map[string]Rate{}, Got: map[string]Rate{}, Processor: map[string]float64{}}
		published := 0
		for _, h := range nodes {
			addRates(metrics.Sent, h.cost.sent, seconds*float64(len(nodes)))
			addRates(metrics.Got, h.cost.got, seconds*float64(len(nodes)))
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
				metrics.Processor[part] += float64(nanos) / 1e9 / seconds / float64(of)
			}
		}
		outcome.Roles[role] = metrics
	}
	if f.sizes.Changes > 0 {
		return f.awaitSubmissions(outcome, &submissions)
	}
	return nil
}

func addRates(sum map[string]Rate, counts map[string]traffic, divisor float64) {
	for kind, seen := range counts {
		rate := sum[kind]
		sum[kind] = Rate{rate.Messages + float64(seen.messages)/divisor, rate.Bytes + float64(seen.bytes)/divisor}
	}
}

type submission struct {
	submitted, answered kernel.Micros
	reply               cluster.SubmitResponse
}

// submitChanges submits configurations at a constant rate, each to a different router.
func (f *Fleet) submitChanges(submissions *[]submission) {
	pause := 1000 * sec / kernel.Micros(f.sizes.Changes)
	end := f.now + f.sizes.Span
	var again func()
	number := 0
	again = func() {
		if f.now >= end {
			return
		}
		number++
		index := len(*submissions)
		*submissions = append(*submissions, submission{submitted: f.now})
		f.submit(f.router(number*37), cluster.PutConfig, f.config(uint64(number)), func(reply cluster.SubmitResponse) {
			(*submissions)[index].answered, (*submissions)[index].reply = f.now, reply
		})
		f.after(pause, again)
	}
	f.after(f.jitter(min(pause, sec)), again)
}

func (f *Fleet) awaitSubmissions(outcome *Outcome, submissions *[]submission) error {
	if err := f.runUntil("wait for acknowledgements", 200*ms, 30*sec, func() string {
		for _, submitted := range *submissions {
			if submitted.answered == 0 {
				return "a submission has no acknowledgement"
			}
		}
		return f.unsettledReason(f.sizes.Engines)
	}); err != nil {
		return err
	}
	for _, submitted := range *submissions {
		if submitted.reply.Outcome != cluster.Accepted {
			outcome.Unacknowledged++
			continue
		}
		last := kernel.Micros(0)
		for _, h := range f.nodes {
			for _, applied := range h.applied {
				if applied.revision >= submitted.reply.Revision {
					last = max(last, applied.at)
					break
				}
			}
		}
		outcome.AckLatency = append(outcome.AckLatency, submitted.answered-submitted.submitted)
		outcome.ApplyDelay = append(outcome.ApplyDelay, last-submitted.answered)
	}
	slices.Sort(outcome.AckLatency)
	slices.Sort(outcome.ApplyDelay)
	return nil
}

// restart stops a percentage of the routers at once, starts them again after a second and waits until the fleet has
// settled.
func (f *Fleet) restart(outcome *Outcome) error {
	routers := slices.Clone(f.nodes[f.sizes.Control:])
	f.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	count := max(1, len(routers)*f.sizes.Restart/100)
	for _, h := range routers[:count] {
		h.stop()
		f.after(sec, h.start)
	}
	outcome.Restarted = count
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

// cut partitions the last region from the others for a while, and then waits until the fleet has settled.
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
		if h.node.State(nil).LeaseExpiresAt > f.now {
			serving[side]++
		}
	}
	outcome.ServingOutside, outcome.ServingInside = float64(serving[0])/float64(max(counts[0], 1)), float64(serving[1])/float64(max(counts[1], 1))
	f.cutRegion = -1
	begun := f.now
	if err := f.runUntil("settle after a partition", 50*ms, 300*sec, func() string { return f.unsettledReason(f.sizes.Engines) }); err != nil {
		return err
	}
	outcome.Settle = f.now - begun
	return nil
}

// measureMemory stops nodes of each role and measures how much heap this frees. The fleet cannot be used afterwards.
func (f *Fleet) measureMemory(outcome *Outcome) {
	roles := f.roles()
	f.queue = virtualtime.Queue{}
	// Only publishing nodes are measured, so that the memory of the data plane is included.
	for _, role := range slices.Sorted(maps.Keys(roles)) {
		if !slices.Contains(f.sizes.Roles, role) {
			continue
		}
		measured := []*node{}
		for _, h := range roles[role] {
			if h.isPublishing && h.state != nil {
				measured = append(measured, h)
			}
		}
		if len(measured) == 0 {
			continue
		}
		before := heapBytes()
		for _, h := range measured {
			h.stop()
			h.store, h.compiled = nil, nil
			h.replies, h.cost, h.applied = nil, cost{}, nil
			h.tableBuilder = server.TableBuilder{}
		}
		metrics := outcome.Roles[role]
		metrics.Memory = (before - heapBytes()) / float64(len(measured))
		outcome.Roles[role] = metrics
	}
}
