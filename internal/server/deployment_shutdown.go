package server

import (
	"context"
	"net/http"
	"time"

	"dunlinloom/internal/kernel"
)

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
