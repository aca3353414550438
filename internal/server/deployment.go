package server

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// RetryBudget bounds what goes to a service beyond the first try of each request, summed
// over all nodes.
type RetryBudget struct {
	Ratio  float64
	Window kernel.Micros
	Slack  float64
}

// DeploymentBounds are what a deployment's operators and callers are promised.
type DeploymentBounds struct {
	Budget              RetryBudget
	GracePeriod         kernel.Micros // from the stop signal to the kill
	ReadTolerance       kernel.Micros // within which a stopping node may still have read a request
	AckTimeout          kernel.Micros // within which an engine that leaves, and an operator, has an answer
	DrainTimeout        kernel.Micros // from the notice that an engine is draining to its last new request
	RelayTimeout        kernel.Micros // within which an event is passed on
	ApplyTimeout        kernel.Micros // from an acknowledgement to its effect on every node in touch
	RevertTimeout       kernel.Micros // after which no node that showed a configuration may show an older one
	ContactTimeout      kernel.Micros // of calm, after which a node counts as in touch
	AddressReuseTimeout kernel.Micros // after which an engine's address may be another's
	ApplyExtension      kernel.Micros // by which an unsettled core may stretch Apply
	// KeyRevocationTimeout is how long after the acknowledgement a key that was withdrawn may still be used by
	// whoever has not heard of it; zero: by nodes that are out of touch for as long as they are.
	KeyRevocationTimeout kernel.Micros
	Quota                quota.Bounds
}

// Deployment is a fleet whose callers, engines and operators each have an address of
// their own, whose engines register themselves, and whose configuration has a form of its own.
type Deployment struct {
	Settings Settings
	// Where it listens; empty: this node does not serve it.
	Callers, Control, Readiness string
	// Metrics is where it serves its metrics, its journal and its view of the fleet; empty: nowhere.
	Metrics string
	Region  string
	// CanVote: the disk outlives the process and counts among those that may be lost.
	CanVote bool
	// Bootstrap: this is the first start of the fleet, on empty disks.
	Bootstrap        bool
	Voters           int           // how many voters the core seeks to have
	HeartbeatTimeout kernel.Micros // silence after which an engine is taken to have crashed
	SubmitTimeout    kernel.Micros // how long a submission is retried before its outcome is unknown
	Bounds           DeploymentBounds
	Limits           ProcessLimits
	Form             fleetconfig.Form
}

// ProcessLimits are what the process may take of its machine.
type ProcessLimits struct {
	Memory      int64 // bytes at which the collector works harder; zero: no limit
	GCPercent   int
	Processors  int     // threads that run Go code at a time
	CoreShare   float64 // of one core
	Files       int
	LinkMbps    float64
	BodiesBytes int64
	// Store bounds what the core's documents and the snapshot may take of the disk.
	Store storage.StoreBounds
}

// Adapter is what a platform brings in its own names and formats.
type Adapter struct {
	Program string
	// Callers and Control make the handlers of the two addresses.
	Callers, Control func(*Services) (http.Handler, error)
	ReadinessPath    string
	// Reload reads the settings again. It gives the same pointer while nothing changed.
	Reload func() (*Deployment, error)
}

// Check names every fault of a deployment's settings at once.
func (d *Deployment) Check() error {
	faults := &fleetconfig.InvalidConfigError{}
	listened := map[string]string{}
	check := func(name, address string) {
		parsed, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			faults.Add(name, "%q is not an IP and port", address)
		case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
			faults.Add(name, "%q can't be reached from another machine", address)
		case listened[address] != "":
			faults.Add(name, "%s is the address of %s as well", address, listened[address])
		}
		listened[address] = name
	}
	check("peer", d.Settings.Peer)
	for _, served := range [][2]string{{"callers", d.Callers}, {"control", d.Control}, {"readiness", d.Readiness}, {"metrics", d.Metrics}} {
		if served[1] != "" {
			check(served[0], served[1])
		}
	}
	if d.Callers == "" && d.Control == "" {
		faults.Add("callers", "neither callers nor control are served")
	}
	if d.Settings.Zone == "" {
		faults.Add("zone", "has to be named")
	}
	if d.CanVote && d.Settings.Data == "" {
		faults.Add("data", "a node that may vote needs a data folder")
	}
	if d.Form == nil {
		faults.Add("form", "a deployment's configuration needs a form")
	}
	d.Settings.checkTimeouts(faults)
	return faults.Err()
}

// apply sets the runtime's own limits.
func (l ProcessLimits) apply() {
	if l.Memory > 0 {
		debug.SetMemoryLimit(l.Memory)
	}
	if l.GCPercent > 0 {
		debug.SetGCPercent(l.GCPercent)
	}
	if l.Processors > 0 {
		runtime.GOMAXPROCS(l.Processors)
	}
}

// nodeSettings gives the settings of the control plane.
func (d *Deployment) nodeSettings(self kernel.Identity, parts Roles) control.NodeSettings {
	timing := cluster.SparseTiming()
	timing.EngineHeartbeatTimeout = d.HeartbeatTimeout
	return control.NodeSettings{
		Identity: self, IsRouter: parts.IsRouter, IsController: parts.IsController, HasFolder: d.Settings.Data != "",
		// Of the address, so that the elections of two nodes do not collide.
		Seeds: d.Settings.Seeds, Start: uint64(time.Now().UnixMicro()), RandomSeed: rand.Uint64(),
		Timing: timing, Member: cluster.MemberID("no-folder-" + self.Address),
		// A router that the core can't reach is not bound by what the core acknowledges
		// meanwhile, and one in touch hears of it within Apply: see docs/design.md.
		Voters: d.Voters, ServeExtension: cluster.ServeWithoutLimit, AckRule: control.Disseminated, IsAbortDisabled: true, SubmitTimeout: d.SubmitTimeout,
		BootstrapRule: control.BootstrapByAnnounce, IsBootstrap: d.Bootstrap, RestoredSpan: d.Bounds.ContactTimeout * 4 / 5,
		ApplyTimeout: d.Bounds.ApplyTimeout, DrainTimeout: d.Bounds.DrainTimeout, ContactTimeout: d.Bounds.ContactTimeout,
		EndConfirmationTimeout: d.Bounds.endConfirmationTimeout(),
	}
}

// endCallMargin is how long before its end the wait has to be over, so that a call of an engine that is under way then is
// still answered.
const endCallMargin = 250 * kernel.Millisecond

// endConfirmationTimeout is for how long the end of an engine waits for nodes that are late or have just died.
// The rest of the engine's time is for its next calls, about one a second.
func (b DeploymentBounds) endConfirmationTimeout() kernel.Micros {
	return max(b.AckTimeout/2-endCallMargin, 0)
}

// compiler reads configurations of the deployment's form.
func (d *Deployment) compiler() *fleetconfig.Compiler { return &fleetconfig.Compiler{Form: d.Form} }
