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

// RetryBudget limits the retries to a service, that is all attempts after the first one of each request, summed over
// all nodes.
type RetryBudget struct {
	Ratio  float64
	Window kernel.Micros
	Slack  float64
}

// DeploymentBounds are the limits that a deployment guarantees to its operators and callers.
type DeploymentBounds struct {
	Budget              RetryBudget
	GracePeriod         kernel.Micros // from SIGTERM to SIGKILL
	ReadTolerance       kernel.Micros // how long after the stop signal a node may still read a request
	AckTimeout          kernel.Micros // within which a departing engine or an operator gets a reply
	DrainTimeout        kernel.Micros // from an engine's drain notice to the last new request sent to it
	RelayTimeout        kernel.Micros // within which a stream event is forwarded
	ApplyTimeout        kernel.Micros // from an acknowledgement until every connected node has applied the change
	RevertTimeout       kernel.Micros // after which a node that has applied a configuration may not return to an older one
	ContactTimeout      kernel.Micros // how long a node has to be without faults before it counts as connected
	AddressReuseTimeout kernel.Micros // after which another engine may use an engine's address
	ApplyExtension      kernel.Micros // added to ApplyTimeout while the core is unstable
	// KeyRevocationTimeout is how long after the acknowledgement of its revocation a key may still be accepted by a
	// node that has not learned of it. Zero: a disconnected node may accept it until it reconnects.
	KeyRevocationTimeout kernel.Micros
	Quota                quota.Bounds
}

// Deployment describes a node of a fleet that runs on a platform: callers and the control API have separate addresses,
// engines register themselves, and the configuration has the platform's own format (Format).
type Deployment struct {
	Settings Settings
	// Listen addresses; empty: this node does not serve that endpoint.
	Callers, Control, Readiness string
	// Metrics is the listen address for metrics, the journal and the node's view of the fleet; empty: not served.
	Metrics string
	Region  string
	// CanVote allows this node to vote in the core. Its disk outlives the process and counts towards the disk losses
	// that the core tolerates.
	CanVote bool
	// Bootstrap marks the first start of the fleet, on empty disks.
	Bootstrap        bool
	Voters           int           // target number of voters in the core
	HeartbeatTimeout kernel.Micros // time without a heartbeat after which an engine counts as crashed
	SubmitTimeout    kernel.Micros // how long a submission is retried before its outcome is reported as unknown
	Bounds           DeploymentBounds
	Limits           ProcessLimits
	Format           fleetconfig.Format
}

// ProcessLimits are the machine resources that the process may use.
type ProcessLimits struct {
	Memory      int64 // soft memory limit of the Go runtime in bytes; zero: none
	GCPercent   int
	Processors  int     // GOMAXPROCS
	CoreShare   float64 // fraction of one CPU core
	Files       int
	LinkMbps    float64
	BodiesBytes int64
	// Store limits the disk space of the core's documents and of the snapshot.
	Store storage.StoreBounds
}

// Adapter connects a deployment to its platform, which defines its own endpoints, names and formats.
type Adapter struct {
	Program string
	// Callers and Control build the HTTP handlers of the caller and control addresses.
	Callers, Control func(*Services) (http.Handler, error)
	ReadinessPath    string
	// Reload reads the settings again. It returns the same pointer as long as they have not changed.
	Reload func() (*Deployment, error)
}

// Check validates the deployment's settings. The error lists every problem, not just the first.
func (d *Deployment) Check() error {
	faults := &fleetconfig.InvalidConfigError{}
	listened := map[string]string{}
	check := func(name, address string) {
		parsed, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			faults.Add(name, "%q is not an IP and port", address)
		case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
			faults.Add(name, "%q needs a specific IP and a port other than 0, so that other machines can reach it", address)
		case listened[address] != "":
			faults.Add(name, "%s is already used as the %s address", address, listened[address])
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
		faults.Add("callers", "at least one of callers and control has to have an address")
	}
	if d.Settings.Zone == "" {
		faults.Add("zone", "must not be empty")
	}
	if d.CanVote && d.Settings.Data == "" {
		faults.Add("data", "a node that may vote needs a data folder")
	}
	if d.Format == nil {
		faults.Add("form", "the deployment has no configuration format")
	}
	d.Settings.checkTimeouts(faults)
	return faults.Err()
}

// apply sets the limits of the Go runtime.
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

// nodeSettings returns the settings of the control plane.
func (d *Deployment) nodeSettings(self kernel.Identity, roles Roles) control.NodeSettings {
	timing := cluster.SparseTiming()
	timing.EngineHeartbeatTimeout = d.HeartbeatTimeout
	return control.NodeSettings{
		Identity: self, IsRouter: roles.IsRouter, IsController: roles.IsController, HasFolder: d.Settings.Data != "",
		// The seed is random, so that two nodes draw different election timeouts and their elections do not collide.
		Seeds: d.Settings.Seeds, Start: uint64(time.Now().UnixMicro()), RandomSeed: rand.Uint64(),
		Timing: timing, FolderState: control.FolderState{Member: memberWithoutFolder(self)},
		// A router that the core can't reach is not bound by changes that the core acknowledges meanwhile. A connected
		// router learns of them within ApplyTimeout. See docs/design.md.
		Voters: d.Voters, ServeExtension: cluster.ServeWithoutLimit, AckRule: control.Disseminated, IsAbortDisabled: true, SubmitTimeout: d.SubmitTimeout,
		BootstrapRule: control.BootstrapByAnnounce, IsBootstrap: d.Bootstrap, RestoredSpan: d.Bounds.ContactTimeout * 4 / 5,
		ApplyTimeout: d.Bounds.ApplyTimeout, DrainTimeout: d.Bounds.DrainTimeout, ContactTimeout: d.Bounds.ContactTimeout,
		EndConfirmationTimeout: d.Bounds.endConfirmationTimeout(),
	}
}

// endCallMargin is subtracted from half of AckTimeout, so that a call from an engine that is in progress when the wait for
// confirmations ends is still answered.
const endCallMargin = 250 * kernel.Millisecond

// endConfirmationTimeout returns how long the end of an engine (its drain or deregistration) waits for confirmation by
// nodes that are slow or have just crashed. The rest of AckTimeout is left for the engine's repeated calls, about one a
// second.
func (b DeploymentBounds) endConfirmationTimeout() kernel.Micros {
	return max(b.AckTimeout/2-endCallMargin, 0)
}

// compiler returns a compiler for configurations in the deployment's format.
func (d *Deployment) compiler() *fleetconfig.Compiler { return &fleetconfig.Compiler{Format: d.Format} }
