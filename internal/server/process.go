package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/drain"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Roles selects the planes that a program runs.
type Roles struct {
	Program      string
	IsRouter     bool
	IsController bool
}

// Main runs a daemon from its command-line arguments and returns the process's exit status.
func Main(roles Roles, arguments []string) int {
	settings, err := ReadSettings(roles.Program, arguments)
	if err == nil {
		err = settings.Check(roles.IsController)
	}
	var faults *fleetconfig.InvalidConfigError
	if errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%s: invalid settings:\n", roles.Program)
		for _, fault := range faults.List {
			fmt.Fprintln(os.Stderr, "  "+fault.Error())
		}
		return 2
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", roles.Program, err)
		return 2
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// Every log line names the program, the node and the zone.
	log := kernel.LogJSON(slog.String("program", roles.Program), slog.String("node", settings.Peer), slog.String("zone", settings.Zone))
	if err := Run(stop, log, settings, roles); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", roles.Program, err)
		return 1
	}
	return 0
}

// newMonitor returns the monitor of a process's invariants. It counts violations and writes each one to the log and the
// journal.
func newMonitor(env kernel.Env) *invariant.Monitor {
	return invariant.NewMonitor(func(violation invariant.ViolationError) {
		env.Log.Error(violation, "an invariant is violated")
		env.Record("invariant", string(violation.Invariant), "violated", violation.Detail)
	})
}

// Names under which the parts of a process are registered.
const (
	ServiceRunner          = "runner"
	ServiceConnections     = "connections"
	ServiceForwarder       = "forwarder"
	ServiceCompiler        = "compiler"
	ServiceLimitedListener = "listener"
	ServiceJournalFile     = "journal-file" // only with a data folder
	// Only with a data folder.
	ServiceArchive  = "history"
	ServiceArchiver = "archiver"
)

// assembly holds the parts of a process, from its start to its end.
type assembly struct {
	env      kernel.Env
	kernel   *kernel.Kernel
	settings Settings
	roles    Roles
	cancel   context.CancelFunc // cancels the environment's context
	compiler *fleetconfig.Compiler
	folder   atomic.Pointer[dataFolder] // nil without a data folder, and while it is pending
	runner   *Runner
	// dispatcher and forwarder are nil on a node without a router.
	dispatcher *relay.Dispatcher
	forwarder  *relay.Forwarder
	// archiver is nil where past configurations are not kept.
	archiver       *Archiver
	publicListener *LimitedListener
	// publicConnections are the connections of publicListener, once it is served.
	publicConnections *drain.Listener
	isStopping        atomic.Bool
	// invariants counts violations in all parts of the process.
	invariants *invariant.Monitor
	// deployment is nil unless the process runs a deployment, whose Adapter then provides the callers' handler.
	deployment *Deployment
}

// Run assembles a node and serves until stop is done or a server fails. On a stop it drains the node first.
func Run(stop context.Context, log klog.Logger, settings Settings, roles Roles) (err error) {
	self := kernel.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: settings.Public, Zone: settings.Zone}
	// The environment's context outlives the stop signal; the cleanup cancels it.
	lifetime, end := context.WithCancel(context.WithoutCancel(stop))
	a := &assembly{
		env:    kernel.Env{Context: lifetime, Clock: kernel.BootClock{}, Log: log, Self: self, Journal: kernel.NewJournal(settings.Journal)},
		kernel: kernel.New(), settings: settings, roles: roles, cancel: end, compiler: &fleetconfig.Compiler{},
	}
	a.invariants = newMonitor(a.env)
	defer func() { err = errors.Join(err, a.kernel.Cleanup.Run()) }()
	a.kernel.Cleanup.Defer(func() error { end(); return nil })
	node := control.NodeSettings{
		Identity: self, IsRouter: roles.IsRouter, IsController: roles.IsController, HasFolder: settings.Data != "",
		// The seed is random, so that two nodes draw different election timeouts and their elections do not collide.
		Seeds: settings.Seeds, Start: uint64(time.Now().UnixMicro()), RandomSeed: mathrand.Uint64(),
		Timing: settings.Timing(), Journal: a.env.Journal, CheckConfig: a.compiler.Check, IsCompiled: a.compiler.Has,
		FolderState: control.FolderState{Member: memberWithoutFolder(self)}, Invariants: a.invariants,
	}
	settings.Apply(&node)
	a.openClock(node.Start)
	// The folder is opened first: if another process holds its lock, nothing in it may be touched.
	for _, step := range []func() error{
		func() error { return a.openFolder(&node) }, a.openJournal, a.recordStart, func() error { return a.openNode(node) }, a.openArchive, a.openLimitedListener,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}
	failed, err := a.serve(lifetime, node.Member)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	a.drain()
	return nil
}

// serve starts the servers and the workers. The channel receives the error of a server that fails.
func (a *assembly) serve(ctx context.Context, member cluster.MemberID) (<-chan error, error) {
	handler, err := NewAPI(a.env, a.kernel, a.invariants, a.isStopping.Load)
	if err != nil {
		return nil, err
	}
	peer, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.settings.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for nodes: %w", err)
	}
	a.kernel.Cleanup.Defer(func() error { return ignoreClosed(peer.Close()) })
	a.publicConnections = drain.NewListener("public", a.publicListener)
	publicServer := &http.Server{
		Handler:           drain.CloseWhenStopping(a.isStopping.Load, handler),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 120 * time.Second, MaxHeaderBytes: 64 << 10,
		ConnState: a.publicConnections.SetState, ConnContext: drain.ConnContext,
	}
	peerServer := &http.Server{
		Handler:           NewPeerHandler(a.runner.Deliver, a.runner.Unreadable, a.runner.FetchConfig, a.runner.PeerStatus),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
	}
	failed := make(chan error, 2)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}
	go serve(publicServer, a.publicConnections)
	go serve(peerServer, peer)
	ended := startWorker(a.runner.Run)
	if a.dispatcher != nil {
		go journalRejections(a.env, a.dispatcher)
	}
	if a.archiver != nil {
		archiverDone := startWorker(a.archiver.Run)
		// A write in progress is finished, since another process may use the folder after this one exits. The wait
		// is limited, so that a stalled disk does not delay a stop.
		a.kernel.Cleanup.Defer(func() error {
			if !waitClosed(archiverDone, finalWriteTimeout) {
				a.env.Log.Info("archiver did not finish in time; the object store is still being written")
			}
			return nil
		})
	}
	a.kernel.Cleanup.Defer(func() error { a.cancel(); <-ended; return ignoreClosed(peerServer.Close()) })
	// Callers' connections end before the runner stops, since cleanups run in reverse order.
	a.kernel.Cleanup.Defer(func() error {
		a.drainPublic()
		waitUntil(int64(publicDrainTimeout), a.publicConnections.IsEmpty)
		return ignoreClosed(publicServer.Close())
	})
	a.env.Log.Info("serving", "public", a.env.Self.Public, "member", string(member))
	return failed, nil
}

// drain performs a planned stop. The node reports that it is stopping and hands over its duties, accepts callers for
// ShutdownDelayUS while the platform takes it out of rotation, then closes the listener and finishes the requests in
// progress.
func (a *assembly) drain() {
	log := a.env.Log
	log.Info("stopping")
	a.isStopping.Store(true)
	a.runner.Leave()
	waitUntil(a.settings.ShutdownDelayUS, func() bool { return false })
	a.drainPublic()
	if a.dispatcher != nil {
		a.dispatcher.Shutdown()
		waitUntil(a.settings.DrainTimeoutUS, func() bool { return a.forwarder.InFlight() == 0 })
		log.Info("drained", "live", a.forwarder.InFlight())
	}
	waitUntil(int64(2*kernel.Second), func() bool { return !a.runner.HasDuties() })
}

// publicDrainTimeout is how long the cleanup waits for the connections of the public address to end.
const publicDrainTimeout = 5 * kernel.Second

// drainPublic closes the public listener and lets its connections end.
func (a *assembly) drainPublic() {
	if err := ignoreClosed(a.publicConnections.Drain()); err != nil {
		a.env.Log.Error(err, "public listener could not be closed")
	}
}

// journalRejections records once a minute how many requests were rejected during it. The journal drops the entries of
// single requests soon, since there are so many; the counts are kept longer.
func journalRejections(env kernel.Env, dispatcher *relay.Dispatcher) {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	before := dispatcher.Counts()
	for {
		select {
		case <-env.Done():
			return
		case <-ticker.C:
		}
		now := dispatcher.Counts()
		if summary := now.Since(before); summary != "" {
			env.Record("relay", "declines", "count", summary)
		}
		before = now
	}
}
