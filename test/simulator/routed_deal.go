package simulator

import (
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/routedcaller"
)

// RoutedKind is a class of requests on one route.
type RoutedKind = routedcaller.Kind

// RoutedDeployment describes a fleet of routers in front of engines that register themselves.
type RoutedDeployment struct {
	Zones              []string
	Routers            int
	Engines            map[string]int // by service
	Services           []fleetconfig.Service
	Kinds              []RoutedKind
	Bounds             checker.RoutedBounds
	PrefillChunk       int
	Step               kernel.Micros
	StepPerRequest     kernel.Micros
	PrefillTokensPerMs float64
	Queue              int
	IdleTimeout        kernel.Micros
	PropagationDelay   kernel.Micros // the longest time that a change takes to reach a router
	HeartbeatTimeout   kernel.Micros // time without heartbeats after which the control plane marks an engine as unresponsive
	NetworkDelay       kernel.Micros // one way
	ReportsLoad        bool
}

// The largest shares of the text engines' slots that long and short requests occupy at their rates.
const (
	longSlotShare  = 0.3
	shortSlotShare = 0.2
)

// slotTime returns the seconds for which a request of a kind occupies a slot of an engine whose slots are all in use. It
// assumes that half of the shared prefix is cached and that each output token takes one step.
func (d *RoutedDeployment) slotTime(kind *RoutedKind, slots int) float64 {
	prompt := float64(kind.Own+kind.Shared/2) / d.PrefillTokensPerMs * float64(ms)
	step := d.Step + d.StepPerRequest*kernel.Micros(slots)
	return (prompt + float64(step)*float64(kind.Out)) / float64(sec)
}

// DrawDeployment returns a random deployment of the kind that users have described. The engines of its first service
// run both long prompts whose streams can't be resumed and short ones whose streams can. There is a second service as
// well.
func DrawDeployment(seed uint64) RoutedDeployment {
	random := rand.New(rand.NewPCG(seed, 77))
	between := func(low, high int) int { return low + random.IntN(high-low+1) }
	span := func(low, high kernel.Micros) kernel.Micros {
		return low + kernel.Micros(random.Int64N(int64(high-low+1)))
	}
	zones := between(1, 4)
	d := RoutedDeployment{
		Routers: between(2, 5), Engines: map[string]int{"text": between(3, 8), "plain": between(2, 3)},
		PrefillChunk: between(128, 1024), Step: span(2*ms, 5*ms), StepPerRequest: span(20, 150), PrefillTokensPerMs: float64(between(30, 80)), Queue: between(2, 8),
		IdleTimeout: kernel.Micros(between(2, 10)) * sec, PropagationDelay: span(20*ms, 400*ms), HeartbeatTimeout: span(sec, 3*sec), NetworkDelay: span(100, 2*ms),
		ReportsLoad: random.IntN(4) > 0,
		Bounds: checker.RoutedBounds{
			DrainTimeout: span(1500*ms, 3*sec), GracePeriod: span(6*sec, 10*sec), Slack: 200 * ms, ContactTimeout: 4 * sec,
			RetryRatio: 0.1 + random.Float64()*0.2, RetrySlack: float64(between(10, 60)), RetryWindow: kernel.Micros(between(5, 10)) * sec,
			MaxRejected: 5, RejectedOneIn: 500,
		},
	}
	for i := range zones {
		d.Zones = append(d.Zones, fmt.Sprint("zone-", i+1))
	}
	slots, stride := between(4, 12), between(1, 8)
	d.Services = []fleetconfig.Service{
		{Name: "text", Slots: slots, Stride: stride, MaxConnections: between(60, 200), MemoryTokens: int64(between(30000, 90000))},
		{Name: "plain", Slots: slots, Stride: 1, MaxConnections: between(60, 200), MemoryTokens: 40000},
	}
	// The rates follow from the throughput of the engines, of which callers use about half.
	perEngine := 0.4 * d.PrefillTokensPerMs * 1000
	long := RoutedKind{Prefixes: between(1, 6), Shared: between(500, 3000), Own: between(500, 4000), Out: between(20, 120), Deadline: span(8*sec, 20*sec), MaxRetries: 1, Body: 2000}
	short := RoutedKind{Prefixes: between(4, 30), Shared: between(200, 800), Own: between(50, 800), Out: between(4, 40), Deadline: span(2*sec, 4*sec), MaxRetries: between(0, 2), Body: 300}
	plain := RoutedKind{Prefixes: 3, Shared: 100, Own: 50, Out: between(4, 30), Deadline: span(2*sec, 5*sec), MaxRetries: 1, Body: 100}
	safe := plain
	tokens := perEngine * float64(d.Engines["text"])
	long.Rate = min(tokens*0.3/float64(long.Own+long.Shared/2), 12)
	short.Rate = min(tokens*0.2/float64(short.Own+short.Shared/2), 40)
	slotCount := float64(slots * d.Engines["text"])
	long.Rate = min(long.Rate, slotCount*longSlotShare/d.slotTime(&long, slots))
	short.Rate = min(short.Rate, slotCount*shortSlotShare/d.slotTime(&short, slots))
	plain.Rate, safe.Rate = 4, 4
	allTo := func(service string) []fleetconfig.Split { return []fleetconfig.Split{{Service: service, Weight: 1}} }
	long.Route = fleetconfig.Route{Name: "long", Host: "long.example", Prefix: "/l/", Kind: fleetconfig.Stream, Timeout: long.Deadline, LatencyTarget: span(500*ms, 1500*ms),
		InterTokenTarget: 400 * ms, Priority: 1, MaxAttempts: between(1, 3), IsPinned: true, Splits: allTo("text")}
	short.Route = fleetconfig.Route{Name: "short", Host: "short.example", Prefix: "/s/", Kind: fleetconfig.Stream, Timeout: short.Deadline, LatencyTarget: span(300*ms, 600*ms),
		InterTokenTarget: 400 * ms, MaxAttempts: between(2, 3), IsPinned: true, IsResumable: true, Splits: allTo("text")}
	plain.Route = fleetconfig.Route{Name: "plain", Host: "plain.example", Prefix: "/p/", Kind: fleetconfig.Unsafe, Timeout: plain.Deadline, LatencyTarget: 500 * ms,
		Priority: 2, MaxAttempts: between(1, 2), Splits: allTo("plain")}
	safe.Route = fleetconfig.Route{Name: "safe", Host: "plain.example", Prefix: "/p/safe/", Kind: fleetconfig.Safe, Timeout: plain.Deadline, LatencyTarget: 500 * ms,
		Priority: 2, MaxAttempts: between(2, 3), Splits: allTo("plain")}
	d.Kinds = []RoutedKind{long, short, plain, safe}
	return d
}
