package server

import (
	"sync/atomic"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
)

// publishedFence is the state of the node's configuration fence that the runner's loop publishes after each turn. While
// the loop handles no event it stays unchanged: messages of the leader that arrive meanwhile wait in the queue too.
type publishedFence struct {
	hasLeader        atomic.Bool
	isLastinglyStale atomic.Bool
}

func (f *publishedFence) publish(node *control.Node) {
	f.hasLeader.Store(node.HasLeader())
	f.isLastinglyStale.Store(node.IsConfigLastinglyStale())
}

// IsConfigStale reports whether the configuration in force here may have been superseded for longer than the deployment
// allows. It is false while this node knows of no current leader, and where the deployment sets no bound. See
// docs/control-safety/config-fence.md.
func (r *Runner) IsConfigStale() bool {
	maxAge := r.node.ConfigMaxAge()
	return maxAge > 0 && r.fence.hasLeader.Load() && !r.IsFresher(maxAge)
}

// IsConfigLastinglyStale reports whether the configuration has been stale for some time, or was until recently. The
// delay keeps the node's readiness from flapping.
func (r *Runner) IsConfigLastinglyStale() bool { return r.fence.isLastinglyStale.Load() }

// fenceMetrics writes how old this node's configuration may be. It writes nothing where the deployment sets no bound.
func (f *API) fenceMetrics(m metricsWriter) {
	if f.runner.node.ConfigMaxAge() == 0 {
		return
	}
	m.sample("config_stale", boolMetric(f.runner.IsConfigStale()))
	m.sample("config_age_us", f.env.Clock.Now()-kernel.Micros(f.runner.freshAt.Load()))
}
