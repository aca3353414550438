package server

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/router"
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
	DrainTimeout        kernel.Micros // from the word that an engine leaves to its last new request
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
	// Metrics is where it tells its figures, its journal and its view of the fleet; empty: nowhere.
	Metrics string
	Region  string
	// CanVote: the disk outlives the process and counts among those that may be lost.
	CanVote bool
	// Bootstrap: this is the first start of the whole fleet, on empty disks.
	Bootstrap        bool
	Voters           int           // how many voters the core seeks to have
	HeartbeatTimeout kernel.Micros // silence after which an engine is taken to have crashed
	SubmitTimeout    kernel.Micros // how long an order is tried before the answer is that it is unproved
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

// Services are what a staging's handlers are made of.
type Services struct {
	Env             kernel.Env
	Runner          *Runner
	Compiler        *fleetconfig.Compiler
	LimitedListener *LimitedListener // nil where callers are not served
	// Router is the data plane, from when the callers' handler is made.
	Router     *router.Router
	Invariants *invariant.Monitor
	// Quota is this node's part of the tenants' quotas.
	Quota *quota.Account
	// Deployment gives the settings of this moment.
	Deployment func() *Deployment
	IsStopping func() bool
}

// Spans of a deployment's process.
const (
	reloadInterval    = 3 * time.Second
	shutdownDelay     = 2500 * kernel.Millisecond // the platform's looks are a second apart, and it needs two
	graceMargin       = 400 * kernel.Millisecond
	cleanUpMargin     = 100 * kernel.Millisecond // left of the grace when the process ends
	cleanUpTimeout    = 3 * kernel.Second        // for the clean-up where nobody has asked for the end
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Check names every fault of a deployment's settings at once.
func (d *Deployment) Check() error {
	faults := &fleetconfig.ValidationErrors{}
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

// MainDeployment runs a deployment and gives the process's exit status.
func MainDeployment(adapter Adapter) int {
	deployment, err := adapter.Reload()
	if err == nil {
		err = deployment.Check()
	}
	if err != nil {
		var faults *fleetconfig.ValidationErrors
		if errors.As(err, &faults) {
			for _, fault := range faults.List {
				fmt.Fprintf(os.Stderr, "%s: settings: %v\n", adapter.Program, fault)
			}
		} else {
			fmt.Fprintf(os.Stderr, "%s: %v\n", adapter.Program, err)
		}
		return 2
	}
	deployment.Limits.apply()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// A write to a channel that its peer closed has to fail, not to end the process.
	signal.Ignore(syscall.SIGPIPE)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	log := kernel.LogJSON()
	if err := RunDeployment(stop, hangup, log, deployment, adapter); err != nil {
		log.Error(err, "the process ends")
		return 1
	}
	return 0
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

// deploymentProcess is a deployment's process.
type deploymentProcess struct {
	*assembly
	adapter  Adapter
	current  atomic.Pointer[Deployment]
	inFlight atomic.Int64 // callers' requests that are being served
	services *Services
	callers  *http.Server
	control  *http.Server
	servers  []*http.Server
	failed   chan error
	quota    *quota.Account
	// exitDeadline is when the process has to end; zero: nobody has asked it to.
	exitDeadline kernel.Micros
}

// RunDeployment puts a node together and serves until stop ends, then drains it.
func RunDeployment(stop context.Context, hangup <-chan os.Signal, log klog.Logger, deployment *Deployment, adapter Adapter) (err error) {
	settings := deployment.Settings
	self := kernel.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: deployment.Control, Zone: settings.Zone}
	// The environment outlives the stop signal: it ends with the clean-up.
	lifetime, end := context.WithCancel(context.WithoutCancel(stop))
	d := &deploymentProcess{adapter: adapter, failed: make(chan error, 4), assembly: &assembly{
		env:   kernel.Env{Context: lifetime, Clock: kernel.NewSteadyClock(), Log: log, Self: self, Journal: kernel.NewJournal(settings.Journal)},
		stage: kernel.Open(), settings: settings, cancel: end, deployment: deployment, compiler: deployment.compiler(),
		// Without a disk of its own a node votes for nothing, and needs no core.
		roles: Roles{Program: adapter.Program, IsRouter: deployment.Callers != "", IsController: deployment.CanVote},
	}}
	d.invariants = newMonitor(d.env)
	d.current.Store(deployment)
	defer func() { err = errors.Join(err, d.cleanUp()) }()
	d.stage.Cleanup.Defer(func() error { end(); return nil })
	node := deployment.nodeSettings(self, d.roles)
	node.Journal, node.CheckConfig, node.IsCompiled = d.env.Journal, d.compiler.Check, d.compiler.Has
	node.Invariants = d.invariants
	node.PatchConfig, node.VersionOf = d.compiler.Change, d.compiler.Version
	d.configureQuotas(&node)
	d.openClock(node.Start)
	for _, step := range []func() error{
		func() error { return d.openFolderIfHealthy(&node) }, d.openJournal, func() error { return d.openNode(node) }, d.openArchive,
		func() error { return d.serveAll(lifetime, node.Member) },
	} {
		if err := step(); err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}
	go d.watchSettings(hangup)
	select {
	case err := <-d.failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	// The stop has ended; what it carries goes on into the shutdown.
	d.shutdown(context.WithoutCancel(stop))
	return nil
}

// cleanUp ends what was opened, and waits no longer than the process may take. A write to a disk that has
// stalled does not return; ending in the middle of one is as safe as a kill, since files are written aside.
func (d *deploymentProcess) cleanUp() error {
	ended := make(chan error, 1)
	go func() { ended <- d.stage.Cleanup.Run() }()
	left := cleanUpTimeout
	if d.exitDeadline > 0 {
		left = max(d.exitDeadline-d.env.Clock.Now(), cleanUpMargin)
	}
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		d.env.Log.Info("the process ends before all that it had opened has ended")
		return nil
	}
}

// Tries of a folder whose disk fails at the start, and the pause between two.
const (
	maxFolderAttempts   = 3
	folderRetryInterval = 200 * kernel.Millisecond
)

// openFolderIfHealthy goes on without a folder whose disk fails: then this process votes for
// nothing until its next start, which is safe, and callers are served all the same.
func (d *deploymentProcess) openFolderIfHealthy(node *control.NodeSettings) error {
	for attempt := 1; ; attempt++ {
		err := d.openFolder(node)
		if err == nil || !errors.As(err, new(kernel.DiskError)) {
			return err
		}
		d.env.Log.Error(err, "the data folder can't be opened", "try", attempt)
		if attempt == maxFolderAttempts {
			d.env.Record("process", "disk", "go on without", err.Error())
			break
		}
		waitUntil(int64(folderRetryInterval), func() bool { return false })
	}
	d.store, d.settings.Data, d.roles.IsController = nil, "", false
	node.HasFolder, node.IsController = false, false
	return nil
}

// listen opens one of the deployment's addresses and serves it.
func (d *deploymentProcess) listen(ctx context.Context, what, address string, handler http.Handler, wrap func(net.Listener) net.Listener) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", what, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withHeadGuard,
	}
	d.servers = append(d.servers, server)
	d.stage.Cleanup.Defer(func() error { return ignoreClosed(server.Close()) })
	go func() {
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.failed <- fmt.Errorf("%s: %w", what, err)
		}
	}()
	return server, nil
}

// plainListener leaves a listener as it is.
func plainListener(listener net.Listener) net.Listener { return listener }

// serveAll sets everything going.
func (d *deploymentProcess) serveAll(ctx context.Context, member cluster.MemberID) error {
	deployment := d.deployment
	if err := checkFileLimit(d.settings.Connections, d.settings.MaxInFlight); err != nil {
		// Fewer files make a smaller crowd; they are no reason to serve nobody.
		d.env.Log.Error(err, "the bounds on channels can't be met")
	}
	d.services = &Services{
		Env: d.env, Runner: d.runner, Compiler: d.compiler, Deployment: d.current.Load, IsStopping: d.isStopping.Load,
		Invariants: d.invariants, Quota: d.quota,
	}
	// Nodes first: the callers' handler may need what they tell.
	peers := NewPeerHandler(d.runner.Deliver, d.runner.Unreadable, d.runner.FetchConfig, func() storage.Witness { return d.runner.Witness(member) })
	if _, err := d.listen(ctx, "nodes", d.settings.Peer, peers, plainListener); err != nil {
		return err
	}
	ended := startWorker(d.runner.Run)
	d.stage.Cleanup.Defer(func() error { d.cancel(); <-ended; return nil })
	if d.archiver != nil {
		// Nobody waits for it: a stalled disk must not hold up a stop.
		startWorker(d.archiver.Run)
	}
	if deployment.Control != "" {
		handler, err := d.adapter.Control(d.services)
		if err != nil {
			return fmt.Errorf("open control: %w", err)
		}
		if d.control, err = d.listen(ctx, "control", deployment.Control, d.closeWhenStopping(handler), plainListener); err != nil {
			return err
		}
	}
	if deployment.Callers != "" {
		limitedListener := NewLimitedListener(nil, d.settings.Connections)
		d.services.LimitedListener = limitedListener
		handler, err := d.adapter.Callers(d.services)
		if err != nil {
			return fmt.Errorf("open the callers' side: %w", err)
		}
		d.callers, err = d.listen(ctx, "callers", deployment.Callers, guardHeads(d.closeWhenStopping(d.countInFlight(handler))), func(listener net.Listener) net.Listener {
			limitedListener.Listener = listener
			return guardedListener{limitedListener}
		})
		if err != nil {
			return err
		}
	}
	if deployment.Readiness != "" {
		if _, err := d.listen(ctx, "readiness", deployment.Readiness, d.readiness(), plainListener); err != nil {
			return err
		}
	}
	d.serveMetrics(ctx)
	d.env.Log.Info("serving", "callers", deployment.Callers, "control", deployment.Control, "peer", d.settings.Peer, "member", string(member),
		"seeds", d.settings.Seeds, "votes", deployment.CanVote, "bootstrap", deployment.Bootstrap)
	return nil
}

// closeWhenStopping has a stopping node's channels close after their next answer.
func (d *deploymentProcess) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isStopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// countInFlight knows how many requests are being served.
func (d *deploymentProcess) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// UnreadyReason tells why callers should not be led here; empty when they should.
func (s *Services) UnreadyReason() string {
	state := s.Runner.State()
	switch {
	case s.IsStopping():
		return "this node is stopping"
	case state.Document == nil || state.Document.ConfigRevision == 0:
		return "no configuration has reached this node"
	}
	if countUsable(state.Engines) == 0 {
		return "no engine that is up is known here"
	}
	if s.Router != nil && !s.MayTrustKeys() && s.Router.Chooser.NeedsKeys() {
		return "keys may have been withdrawn of which this node has not heard"
	}
	if s.Quota != nil && !s.Quota.HasAllocator(s.Env.Clock.Now()) {
		return "nobody deals out quotas to this node"
	}
	return ""
}

func (d *deploymentProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if why := d.services.UnreadyReason(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	return mux
}

// watchSettings reads the settings again at a signal, and now and then without one.
func (d *deploymentProcess) watchSettings(hangup <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.env.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		next, err := d.adapter.Reload()
		if err == nil {
			err = next.Check()
		}
		before := d.current.Load()
		switch {
		case err != nil:
			// What is in force stays so: a half-written file must not stop a node.
			d.env.Log.Error(err, "the settings can't be read again")
		case next != before:
			d.current.Store(next)
			d.env.Log.Info("the settings have changed", "seeds", next.Settings.Seeds)
		}
	}
}

// shutdown is a planned stop: say so and hand duties on, take callers a little longer while
// the platform learns of it, then finish what was accepted.
func (d *deploymentProcess) shutdown(ctx context.Context) {
	startedAt := d.env.Clock.Now()
	d.exitDeadline = startedAt + max(d.current.Load().Bounds.GracePeriod-cleanUpMargin, kernel.Second)
	d.env.Log.Info("stopping")
	d.isStopping.Store(true)
	d.runner.Leave()
	last := max(d.current.Load().Bounds.GracePeriod-graceMargin, kernel.Second)
	waitUntil(int64(min(shutdownDelay, last/2)), func() bool { return false })
	for _, server := range []*http.Server{d.callers, d.control} {
		if server == nil {
			continue
		}
		left, done := context.WithTimeout(ctx, (startedAt + last - d.env.Clock.Now()).Duration())
		if err := server.Shutdown(left); err != nil {
			d.env.Log.Error(err, "some channels had to be cut", "live", d.inFlight.Load())
		}
		done()
	}
	waitUntil(int64(min(2*kernel.Second, startedAt+last-d.env.Clock.Now())), func() bool { return !d.runner.HasDuties() })
	d.env.Log.Info("drained", "live", d.inFlight.Load())
}

// nodeSettings is what the control plane is told.
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
	}
}

// compiler reads configurations of the deployment's form.
func (d *Deployment) compiler() *fleetconfig.Compiler { return &fleetconfig.Compiler{Form: d.Form} }
