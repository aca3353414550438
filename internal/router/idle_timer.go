package router

import (
	"context"
	"fmt"
	"time"

	"dunlinloom/internal/kernel"
)

const (
	minFirstEventTimeout = 100 * kernel.Millisecond
	minNextEventTimeout  = kernel.Second
)

// engineTimeout is how long an engine may send nothing before another one is tried, which only a repeatable
// request can be; zero: as long as it takes. Half of the latency target leaves the other half for the
// second engine.
func engineTimeout(call *Call, hasBegun bool) kernel.Micros {
	route := call.Request.Route
	if !route.IsRepeatable() || call.sentAttempts >= call.maxAttempts() {
		return 0
	}
	if hasBegun {
		return max(2*route.InterTokenTarget, minNextEventTimeout)
	}
	return max(route.LatencyTarget/2, minFirstEventTimeout)
}

// engineTimeoutError is why an exchange is cut: the engine sent nothing in time.
type engineTimeoutError struct{ timeout kernel.Micros }

func (e engineTimeoutError) Error() string { return fmt.Sprintf("nothing came for %d us", e.timeout) }

// idleTimer cancels an attempt whose engine sends nothing for a time-out, as soon as another attempt may
// follow. A nil timer never does.
type idleTimer struct {
	timer   *time.Timer
	timeout kernel.Micros // the first one, until the answer begins
}

// startIdleTimer starts the timer of an attempt; nil: its engine may take any time.
func (rt *Router) startIdleTimer(ctx context.Context, cancel context.CancelCauseFunc, answer *answer) *idleTimer {
	call := answer.call
	timeout := engineTimeout(call, answer.hasBegun)
	if timeout <= 0 {
		return nil
	}
	engineID, sentAt := call.Attempt.Engine.ID, rt.Env.Clock.Now()
	idle := &idleTimer{timeout: timeout}
	// Started only once it is assigned, since its function resets it.
	idle.timer = time.AfterFunc(maxRequestTime.Duration(), func() {
		// It may have fired as the exchange ended; nobody would stop it after a reset.
		if ctx.Err() != nil {
			return
		}
		now := rt.Env.Clock.Now()
		// While other streams of that engine go on it is busy, not unresponsive; and it is left only for
		// an attempt that may follow, since it may answer yet.
		if rt.Chooser.HasSeenSince(engineID, max(sentAt, now-timeout)) || !rt.Chooser.MayAbandon(now, call) {
			idle.timer.Reset(timeout.Duration())
			return
		}
		cancel(engineTimeoutError{timeout})
	})
	idle.timer.Reset(timeout.Duration())
	return idle
}

// reset starts the time anew after bytes of the answer's body.
func (t *idleTimer) reset(call *Call) {
	if t != nil {
		t.timer.Reset(max(t.timeout, engineTimeout(call, true)).Duration())
	}
}

func (t *idleTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}
