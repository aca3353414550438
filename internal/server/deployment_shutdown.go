package server

import (
	"context"
	"time"

	"dunlinloom/internal/kernel"
)

// shutdown performs a planned stop within the grace period. The node reports that it is not ready and hands over its
// duties, accepts callers for shutdownDelay while the platform takes it out of rotation, and then finishes the requests
// in progress.
func (d *deploymentProcess) shutdown(ctx context.Context) {
	startedAt := d.env.Clock.Now()
	d.exitDeadline = startedAt + max(d.current.Load().Bounds.GracePeriod-cleanUpMargin, kernel.Second)
	d.env.Log.Info("stopping")
	d.isStopping.Store(true)
	d.runner.Leave()
	drainTimeout := max(d.current.Load().Bounds.GracePeriod-graceMargin, kernel.Second)
	waitUntil(int64(min(shutdownDelay, drainTimeout/2)), func() bool { return false })
	for _, server := range []*trackedServer{d.callers, d.control} {
		if server == nil {
			continue
		}
		shutdownCtx, done := context.WithTimeout(ctx, (startedAt + drainTimeout - d.env.Clock.Now()).Duration())
		if err := server.Shutdown(shutdownCtx); err != nil {
			d.env.Log.Error(err, "some connections were closed before their requests ended", "live", d.inFlight.Load())
		}
		done()
		d.env.Log.Info("server is shut down", "server", server.connections.name, "unanswered", server.connections.Unanswered())
	}
	waitUntil(int64(min(2*kernel.Second, startedAt+drainTimeout-d.env.Clock.Now())), func() bool { return !d.runner.HasDuties() })
	d.env.Log.Info("drained", "live", d.inFlight.Load())
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
