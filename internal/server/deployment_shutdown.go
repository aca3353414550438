package server

import (
	"time"

	"dunlinloom/internal/kernel"
)

// controlDrainTime is the part of the time for a stop that is left for the last requests at the control address.
const controlDrainTime = kernel.Second

// shutdown performs a planned stop within the grace period. The node reports that it is not ready and hands over its
// duties, accepts callers for shutdownDelay while the platform takes it out of rotation, and then finishes the requests
// in progress. Engines and operators are served as long as callers are.
func (d *deploymentProcess) shutdown() {
	startedAt := d.env.Clock.Now()
	d.exitDeadline = startedAt + max(d.current.Load().Bounds.GracePeriod-cleanUpMargin, kernel.Second)
	d.env.Log.Info("stopping")
	d.isStopping.Store(true)
	d.runner.Leave()
	drainTimeout := max(d.current.Load().Bounds.GracePeriod-graceMargin, kernel.Second)
	waitUntil(int64(min(shutdownDelay, drainTimeout/2)), func() bool { return false })
	drainDeadline := startedAt + drainTimeout
	if router := d.services.Router; router != nil {
		router.Drain(drainDeadline)
	}
	d.drain(d.callers, drainDeadline-controlDrainTime)
	d.drain(d.control, drainDeadline)
	d.waitClosed(d.callers, drainDeadline)
	d.rejectRemaining()
	waitUntil(int64(min(2*kernel.Second, drainDeadline-d.env.Clock.Now())), func() bool { return !d.runner.HasDuties() })
	d.env.Log.Info("drained", "live", d.inFlight.Load())
}

// drain lets a server's connections end, and waits for that until a deadline. The server may be nil.
func (d *deploymentProcess) drain(server *trackedServer, deadline kernel.Micros) {
	if server == nil {
		return
	}
	if err := ignoreClosed(server.connections.Drain()); err != nil {
		d.env.Log.Error(err, "listener could not be closed", "server", server.connections.Name())
	}
	waitUntil(int64(deadline-d.env.Clock.Now()), server.connections.IsEmpty)
}

// lastAnswersTimeout limits how long the answers to the requests that the end of a stop rejects may take.
const lastAnswersTimeout = 100 * kernel.Millisecond

// rejectRemaining rejects the requests that no engine has begun to answer. Answers that have begun can't be finished any
// more.
func (d *deploymentProcess) rejectRemaining() {
	if d.services.Router == nil {
		return
	}
	d.services.Router.Stop()
	waitUntil(int64(lastAnswersTimeout), d.callers.connections.IsEmpty)
}

// waitClosed waits until a server has no connection any more or the deadline has passed, and logs what it has not
// answered. The server may be nil.
func (d *deploymentProcess) waitClosed(server *trackedServer, deadline kernel.Micros) {
	if server == nil {
		return
	}
	waitUntil(int64(deadline-d.env.Clock.Now()), server.connections.IsEmpty)
	kept, first := server.connections.DrainRequests()
	d.env.Log.Info("connections have ended", "server", server.connections.Name(), "open", server.connections.Open(),
		"unanswered", server.connections.Unanswered(), "draining_kept", kept, "draining_new", first)
}

// cleanUp releases everything that was opened, but waits no longer than the exit deadline allows. A write to a stalled
// disk does not return; exiting during one is as safe as a kill, since files are written under a temporary name.
func (d *deploymentProcess) cleanUp() error {
	ended := make(chan error, 1)
	go func() { ended <- d.kernel.Cleanup.Run() }()
	timeout := cleanUpTimeout
	if d.exitDeadline > 0 {
		timeout = max(d.exitDeadline-d.env.Clock.Now(), cleanUpMargin)
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		d.env.Log.Info("cleanup did not finish in time; the process exits without it")
		return nil
	}
}
