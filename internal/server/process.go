package server

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/history"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// Roles says which planes a program puts together.
type Roles struct {
	Program      string
	IsRouter     bool
	IsController bool
}

// Main runs a daemon with the process's flags and gives its exit status.
func Main(parts Roles, arguments []string) int {
	settings, err := ReadSettings(parts.Program, arguments)
	if err == nil {
		err = settings.Check(parts.IsController)
	}
	var faults *fleetconfig.ValidationErrors
	if errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%s: the settings have faults:\n", parts.Program)
		for _, fault := range faults.List {
			fmt.Fprintln(os.Stderr, "  "+fault.Error())
		}
		return 2
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", parts.Program, err)
		return 2
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// The logger is the process's, set once here.
	log := kernel.LogJSON(slog.String("program", parts.Program), slog.String("node", settings.Peer), slog.String("zone", settings.Zone))
	if err := Run(stop, log, settings, parts); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", parts.Program, err)
		return 1
	}
	return 0
}

// newMonitor makes the monitor of a process's invariants: it counts, and each violation is told in the
// log and in the journal.
func newMonitor(env kernel.Env) *invariant.Monitor {
	return invariant.NewMonitor(func(violation invariant.Violation) {
		env.Log.Error(violation, "an invariant is violated")
		env.Record("invariant", string(violation.Invariant), "violated", violation.Detail)
	})
}

// Names of the services in a process.
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

// assembly is a process while it is put together and while it runs.
type assembly struct {
	env      kernel.Env
	stage    *kernel.Kernel
	settings Settings
	roles    Roles
	cancel   context.CancelFunc // ends the environment
	compiler *fleetconfig.Compiler
	store    *storage.Store // nil without a data folder
	runner   *Runner
	// Nil without a router.
	dispatcher *relay.Dispatcher
	forwarder  *relay.Forwarder
	// Nil where nothing of the past is kept.
	archiver   *Archiver
	public     *LimitedListener
	isStopping atomic.Bool
	// invariants counts violations in all parts of the process.
	invariants *invariant.Monitor
	// Nil unless it is run as a deployment; then callers are served by what that brings.
	deployment *Deployment
}

// Run puts a node together and serves until stop ends, then drains it.
func Run(stop context.Context, log klog.Logger, settings Settings, parts Roles) (err error) {
	self := kernel.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: settings.Public, Zone: settings.Zone}
	// The environment outlives the stop signal: it ends with the clean-up.
	lifetime, end := context.WithCancel(context.WithoutCancel(stop))
	a := &assembly{
		env:   kernel.Env{Context: lifetime, Clock: kernel.BootClock{}, Log: log, Self: self, Journal: kernel.NewJournal(settings.Journal)},
		stage: kernel.Open(), settings: settings, roles: parts, cancel: end, compiler: &fleetconfig.Compiler{},
	}
	a.invariants = newMonitor(a.env)
	defer func() { err = errors.Join(err, a.stage.Cleanup.Run()) }()
	a.stage.Cleanup.Defer(func() error { end(); return nil })
	node := control.NodeSettings{
		Identity: self, IsRouter: parts.IsRouter, IsController: parts.IsController, HasFolder: settings.Data != "",
		// Of the address, so that the elections of two nodes do not collide.
		Seeds: settings.Seeds, Start: uint64(time.Now().UnixMicro()), RandomSeed: mathrand.Uint64(),
		Timing: settings.Timing(), Journal: a.env.Journal, CheckConfig: a.compiler.Check, IsCompiled: a.compiler.Has,
		Member: cluster.MemberID("no-folder-" + self.Address), Invariants: a.invariants,
	}
	settings.Apply(&node)
	a.openClock(node.Start)
	// The folder first: it may be another process's, and then nothing in it is touched.
	for _, step := range []func() error{
		func() error { return a.openFolder(&node) }, a.openJournal, func() error { return a.openNode(node) }, a.openArchive, a.openLimitedListener,
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

// openFolder reads the data folder, if there is one, into what the node starts with.
func (a *assembly) openFolder(node *control.NodeSettings) error {
	if a.settings.Data == "" {
		return nil
	}
	release, err := kernel.LockFolder(a.settings.Data)
	if err != nil {
		return err
	}
	a.stage.Cleanup.Defer(release)
	folder, err := openData(a.settings.Data)
	if err != nil {
		return err
	}
	if a.store, node.HardState, node.Document, err = storage.OpenStore(folder, a.settings.Fleet, rand.Text); err != nil {
		return err
	}
	if a.deployment != nil {
		a.store.SetBounds(a.deployment.Limits.Store)
	}
	node.Member, node.StoredConfigs, node.Acknowledged = a.store.Member(), a.store.ConfigRevisions(), a.store.Acknowledged()
	if node.BootstrapRule == control.BootstrapByAnnounce && node.IsController {
		// Before anything is said: a later life knows by it that this one voted here.
		if node.AcceptorState, err = a.store.AcceptorState(node.IsBootstrap, node.Seeds); err != nil {
			return err
		}
	}
	if node.Snapshot, err = a.store.Snapshot(a.settings.Fleet); err != nil {
		// It only makes a start quicker; without it the fleet is asked.
		a.env.Log.Error(err, "the snapshot is not used")
		a.env.Record("process", "snapshot", "leave aside", err.Error())
	}
	var persistStart func() error
	node.Start, persistStart = a.store.NextStart(node.Start)
	a.openClock(node.Start)
	// Beside the start: a disk that hangs must not hold it up, and the fleet reminds a
	// node of its last number as well.
	persisted := make(chan struct{})
	go func() {
		defer close(persisted)
		if err := persistStart(); err != nil {
			a.env.Log.Error(err, "the number of this start is not kept")
		}
	}()
	a.stage.Cleanup.Defer(func() error {
		waitClosed(persisted, finalWriteTimeout)
		return nil
	})
	for _, name := range a.store.Quarantined() {
		a.env.Log.Info("a damaged file was set aside", "file", name)
	}
	return nil
}

// openClock has the journal carry the number of this start and the time of day.
func (a *assembly) openClock(start uint64) {
	a.env.Journal.Open(start, func() kernel.Micros { return kernel.Micros(time.Now().UnixMicro()) })
}

// openJournal has the journal written to the data folder.
func (a *assembly) openJournal() error {
	defer a.env.Record("process", "process", "start", a.roles.Program+" "+a.settings.Version())
	if a.settings.Data == "" || a.settings.JournalMB == 0 {
		return nil
	}
	journalFile, err := kernel.OpenJournalFile(filepath.Join(a.settings.Data, "journal"), int64(a.settings.JournalMB)<<20)
	if err != nil {
		// What happened can be told from memory too; serving must not hang on it.
		a.env.Log.Error(err, "the journal is kept in memory alone")
		return nil
	}
	a.env.Journal.OnEntry = journalFile.Enqueue
	// A life of its own, so that what the others note as they end is written too.
	pages, endPages := context.WithCancel(context.Background())
	written := startWorker(func() { journalFile.Run(pages) })
	a.stage.Cleanup.Defer(func() error {
		a.env.Record("process", "process", "stop", "its work is done")
		endPages()
		// A stalled disk may keep the last entries; it must not keep the process.
		waitClosed(written, finalWriteTimeout)
		return nil
	})
	return a.stage.Register(ServiceJournalFile, journalFile)
}

// openNode makes the owners, their shell and, on a router, the way of a request.
func (a *assembly) openNode(node control.NodeSettings) error {
	connections := NewConnections(a.env, peerDialer())
	services := map[string]any{ServiceConnections: connections, ServiceCompiler: a.compiler}
	if a.roles.IsRouter && a.deployment == nil {
		a.dispatcher = relay.NewDispatcher(a.env.Self.Address, a.env.Self.Zone, func(now kernel.Micros, subject, decision, why string) {
			if strings.HasPrefix(subject, "engine ") {
				a.env.Journal.Record(now, "relay", subject, decision, why)
				return
			}
			a.env.Journal.RecordRequest(now, "relay", subject, decision, why)
		})
		a.forwarder = &relay.Forwarder{Env: a.env, Dispatcher: a.dispatcher, Timeouts: a.settings.Timeouts(), Dial: plainDialer()}
		services[ServiceForwarder] = a.forwarder
	}
	a.runner = NewRunner(a.env, control.NewNode(node, a.env.Clock.Now()), a.store, connections, a.dispatcher, a.compiler, a.settings.Platform)
	a.runner.NoProbes = a.deployment != nil
	services[ServiceRunner] = a.runner
	if a.forwarder != nil {
		a.forwarder.Suspect, a.forwarder.Restarted = a.runner.Suspect, a.runner.Restarted
	}
	for name, service := range services {
		if err := a.stage.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

// openArchive opens the object store of past configurations.
func (a *assembly) openArchive() error {
	if a.settings.Data == "" || a.settings.ArchiveMB == 0 {
		return nil
	}
	archive, err := history.Open(filepath.Join(a.settings.Data, "specs.git"), a.settings.Fleet, int64(a.settings.ArchiveMB)<<20)
	switch {
	case errors.As(err, new(history.ForeignStoreError)):
		return err
	case err != nil:
		// The past can be filed later; a node that serves now is worth more.
		a.env.Log.Error(err, "there is no object store for the past")
		return nil
	}
	connections, err := kernel.Find[*Connections](a.stage, ServiceConnections)
	if err != nil {
		return err
	}
	a.archiver = NewArchiver(a.env, a.runner, connections, archive)
	return errors.Join(a.stage.Register(ServiceArchive, archive), a.stage.Register(ServiceArchiver, a.archiver))
}

// openLimitedListener listens for callers, within what the system allows.
func (a *assembly) openLimitedListener() error {
	if err := checkFileLimit(a.settings.Connections, a.settings.MaxInFlight); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(a.env, "tcp", a.settings.Public)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	a.public = NewLimitedListener(listener, a.settings.Connections)
	a.stage.Cleanup.Defer(func() error { return ignoreClosed(a.public.Close()) })
	if a.forwarder != nil {
		a.forwarder.Limits = relay.Limits{InFlight: int64(a.settings.MaxInFlight), BodyBytes: int64(a.settings.BodiesMB) << 20}
		a.forwarder.IsOverloaded = a.public.IsOverloaded
	}
	return a.stage.Register(ServiceLimitedListener, a.public)
}

// serve sets everything going; what it gives back tells when a server ends by itself.
func (a *assembly) serve(ctx context.Context, member cluster.MemberID) (<-chan error, error) {
	handler, err := NewAPI(a.env, a.stage, a.invariants, a.isStopping.Load)
	if err != nil {
		return nil, err
	}
	peer, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.settings.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for nodes: %w", err)
	}
	a.stage.Cleanup.Defer(func() error { return ignoreClosed(peer.Close()) })
	face := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 120 * time.Second, MaxHeaderBytes: 64 << 10,
	}
	back := &http.Server{
		Handler:           NewPeerHandler(a.runner.Deliver, a.runner.Unreadable, a.runner.FetchConfig, func() storage.Witness { return a.runner.Witness(member) }),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
	}
	failed := make(chan error, 2)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}
	go serve(face, a.public)
	go serve(back, peer)
	ended := startWorker(a.runner.Run)
	if a.dispatcher != nil {
		go journalRejections(a.env, a.dispatcher)
	}
	if a.archiver != nil {
		filed := startWorker(a.archiver.Run)
		// What it is writing is written out, since the folder is another process's after
		// this one; but a stalled disk must not hold up a stop.
		a.stage.Cleanup.Defer(func() error {
			if !waitClosed(filed, finalWriteTimeout) {
				a.env.Log.Info("the object store is still being written")
			}
			return nil
		})
	}
	a.stage.Cleanup.Defer(func() error { a.cancel(); <-ended; return ignoreClosed(back.Close()) })
	// Callers' channels are wound down before the owners end.
	a.stage.Cleanup.Defer(func() error {
		last, done := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer done()
		if err := face.Shutdown(last); err != nil {
			a.env.Log.Error(err, "some channels had to be cut")
		}
		return nil
	})
	a.env.Log.Info("serving", "public", a.env.Self.Public, "member", string(member))
	return failed, nil
}

// drain is a planned stop: say so and hand duties on, take callers a little longer while
// the platform learns of it, then close the listener and finish what was accepted.
func (a *assembly) drain() {
	log := a.env.Log
	log.Info("stopping")
	a.isStopping.Store(true)
	a.runner.Leave()
	waitUntil(a.settings.ShutdownDelayUS, func() bool { return false })
	if err := ignoreClosed(a.public.Close()); err != nil {
		log.Error(err, "close the listener")
	}
	if a.dispatcher != nil {
		a.dispatcher.Shutdown()
		waitUntil(a.settings.DrainTimeoutUS, func() bool { return a.forwarder.InFlight() == 0 })
		log.Info("drained", "live", a.forwarder.InFlight())
	}
	waitUntil(int64(2*kernel.Second), func() bool { return !a.runner.HasDuties() })
}

// journalRejections notes once a minute what was rejected in it. Requests come by the hundred
// and their entries soon give way; the count of rejects has to stay.
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
		if line := now.Since(before); line != "" {
			env.Record("relay", "declines", "count", line)
		}
		before = now
	}
}

// startWorker runs a function in a goroutine of its own; the channel is closed once it has returned.
func startWorker(run func()) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	return ended
}

// waitUntil looks again and again until a condition holds or the span is over.
func waitUntil(timeout int64, isMet func() bool) {
	end := time.NewTimer(kernel.Micros(timeout).Duration())
	defer end.Stop()
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for !isMet() {
		select {
		case <-end.C:
			return
		case <-again.C:
		}
	}
}

// finalWriteTimeout is how long a stop waits for what is being written to a folder.
const finalWriteTimeout = 2 * time.Second

// waitClosed tells whether a channel was closed within a span.
func waitClosed(ended <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func plainDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return dialer.DialContext
}

// connectionDialer is for the channels between nodes, on which little is ever answered.
func connectionDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext
}
