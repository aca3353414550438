package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// Timeouts, intervals and limits of a deployment's process.
const (
	reloadInterval    = 3 * time.Second
	shutdownDelay     = 2500 * kernel.Millisecond // the platform probes once a second and needs two failed probes
	graceMargin       = 400 * kernel.Millisecond
	cleanUpMargin     = 100 * kernel.Millisecond // part of the grace period left when the process exits
	cleanUpTimeout    = 3 * kernel.Second        // for the cleanup after an exit that no stop signal requested
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
)

// MainDeployment runs a deployment and returns the process's exit status. Each signal from reloads makes it read its
// settings again.
func MainDeployment(adapter Adapter, reloads <-chan os.Signal) int {
	deployment, err := adapter.Reload()
	if err == nil {
		err = deployment.Check()
	}
	if err != nil {
		var faults *fleetconfig.InvalidConfigError
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
	// A write to a connection that the peer has closed has to return an error, not terminate the process.
	signal.Ignore(syscall.SIGPIPE)
	log := kernel.LogJSON()
	if err := RunDeployment(stop, reloads, log, deployment, adapter); err != nil {
		log.Error(err, "deployment failed; the process exits")
		return 1
	}
	return 0
}

// deploymentProcess is a running node of a deployment.
type deploymentProcess struct {
	*assembly
	adapter  Adapter
	current  atomic.Pointer[Deployment]
	inFlight atomic.Int64 // caller requests in progress
	services *Services
	callers  *trackedServer // nil where callers are not served
	control  *trackedServer // nil where the control address is not served
	failed   chan error
	quota    *quota.Account
	opener   *folderOpener // of the data folder, if it was pending at the start
	// exitDeadline is when the process has to exit; zero: no stop was requested.
	exitDeadline kernel.Micros
}

// RunDeployment assembles a node and serves until stop is done or a server fails. On a stop it drains the node first.
func RunDeployment(stop context.Context, hangup <-chan os.Signal, log klog.Logger, deployment *Deployment, adapter Adapter) (err error) {
	settings := deployment.Settings
	self := kernel.Identity{Fleet: settings.Fleet, Address: settings.Peer, Public: deployment.Control, Zone: settings.Zone}
	// The environment's context outlives the stop signal; the cleanup cancels it.
	lifetime, end := context.WithCancel(context.WithoutCancel(stop))
	d := &deploymentProcess{adapter: adapter, failed: make(chan error, 4), assembly: &assembly{
		env:    kernel.Env{Context: lifetime, Clock: kernel.NewSteadyClock(), Log: log, Self: self, Journal: kernel.NewJournal(settings.Journal)},
		kernel: kernel.New(), settings: settings, cancel: end, deployment: deployment, compiler: deployment.compiler(),
		// A node without a disk of its own does not vote, so it runs no core.
		roles: Roles{Program: adapter.Program, IsRouter: deployment.Callers != "", IsController: deployment.CanVote},
	}}
	d.invariants = newMonitor(d.env)
	d.current.Store(deployment)
	defer func() { err = errors.Join(err, d.cleanUp()) }()
	d.kernel.Cleanup.Defer(func() error { end(); return nil })
	node := deployment.nodeSettings(self, d.roles)
	node.Journal, node.CheckConfig, node.IsCompiled = d.env.Journal, d.compiler.Check, d.compiler.Has
	node.Invariants = d.invariants
	node.PatchConfig, node.VersionOf = d.compiler.Change, d.compiler.Version
	d.configureQuotas(&node)
	d.openClock(node.Start)
	for _, step := range []func() error{
		func() error { return d.openFolderInTime(&node) }, d.openJournal, d.recordStart, func() error { return d.openNode(node) }, d.openArchive,
		func() error { return d.serveAll(lifetime, node.Member) }, d.awaitFolder,
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
	d.shutdown()
	return nil
}

// watchSettings reloads the settings on SIGHUP and every reloadInterval.
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
			// The current settings stay in force: a half-written file must not stop the node.
			d.env.Log.Error(err, "settings could not be reloaded; the current ones stay in force")
		case next != before:
			d.current.Store(next)
			d.env.Log.Info("the settings have changed", "seeds", next.Settings.Seeds)
		}
	}
}
