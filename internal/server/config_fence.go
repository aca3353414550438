package server

import (
	"sync/atomic"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
)

// publishedFence is what the loop publishes of a node's fence after each event. While the loop handles nothing it stays
// as it is: what a leader said meanwhile waits with all else.
type publishedFence struct {
	isLed     atomic.Bool
	isLasting atomic.Bool
}

func (f *publishedFence) publish(node *control.Node) {
	f.isLed.Store(node.HasLeader())
	f.isLasting.Store(node.IsConfigLastinglyStale())
}

// IsConfigStale tells whether the configuration in force here may have been replaced for longer than the deployment allows,
// though a leader leads. See docs/control-safety/config-fence.md.
func (r *Runner) IsConfigStale() bool {
	maxAge := r.node.ConfigMaxAge()
	return maxAge > 0 && r.fence.isLed.Load() && !r.IsFresher(maxAge)
}

// IsConfigLastinglyStale tells that this has been so for a while, or was until a while ago.
func (r *Runner) IsConfigLastinglyStale() bool { return r.fence.isLasting.Load() }

// fenceMetrics writes how old this node's configuration may be, where that is bounded.
func (f *API) fenceMetrics(m metricsWriter) {
	if f.runner.node.ConfigMaxAge() == 0 {
		return
	}
	m.sample("config_stale", boolMetric(f.runner.IsConfigStale()))
	m.sample("config_age_us", f.env.Clock.Now()-kernel.Micros(f.runner.freshAt.Load()))
}
