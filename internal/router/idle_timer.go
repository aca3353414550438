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

// engineTimeout is how long an engine may send nothing before another one is tried; zero: no limit. Only a repeatable
// request that has an attempt left can be tried again. Half of the latency target leaves the other half for the second
// engine.
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

// engineTimeoutError is the cause with which an exchange is canceled whose engine sent nothing in time.
type engineTimeoutError struct{ timeout kernel.Micros }

func (e engineTimeoutError) Error() string {
	return fmt.Sprintf("the engine sent nothing for %d us", e.timeout)
}

// idleTimer cancels an attempt whose engine sends nothing for a timeout, as soon as another attempt may follow. A nil
// timer never cancels.
type idleTimer struct {
	timer   *time.Timer
	timeout kernel.Micros // until the answer begins
}

// startIdleTimer starts the timer of an attempt. It returns nil if the engine may take any time.
func (rt *Router) startIdleTimer(ctx context.Context, cancel context.CancelCauseFunc, answer *answer) *idleTimer {
	call := answer.call
	timeout := engineTimeout(call, answer.hasBegun)
	if timeout <= 0 {
		return nil
	}
	engineID, sentAt := call.Attempt.Engine.ID, rt.Env.Clock.Now()
	idle := &idleTimer{timeout: timeout}
	// Started after the assignment, since the timer's function resets it.
	idle.timer = time.AfterFunc(maxRequestTime.Duration(), func() {
		// The timer may have fired as the exchange ended; a reset would then never be stopped.
		if ctx.Err() != nil {
			return
		}
		now := rt.Env.Clock.Now()
		// An engine whose other streams make progress is busy, not unresponsive. And since it may still respond, it is
		// abandoned only if another attempt may follow.
		if rt.Chooser.HasSeenSince(engineID, max(sentAt, now-timeout)) || !rt.Chooser.MayAbandon(now, call) {
			idle.timer.Reset(timeout.Duration())
			return
		}
		cancel(engineTimeoutError{timeout})
	})
	idle.timer.Reset(timeout.Duration())
	return idle
}

// reset restarts the timer after bytes of the response's body.
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
