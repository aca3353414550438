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

// engineTimeout is how long an engine may send nothing before another one is tried; zero: no limit. There is a limit
// only if the request is repeatable and has an attempt left. Before the answer has begun, the limit is half of the
// latency target, which leaves the other half for the second engine.
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

// engineTimeoutError is the cause with which an exchange is canceled if the engine sent nothing within the timeout.
type engineTimeoutError struct{ timeout kernel.Micros }

func (e engineTimeoutError) Error() string {
	return fmt.Sprintf("the engine sent nothing for %d us", e.timeout)
}

// idleTimer cancels an attempt if its engine sends nothing for a timeout and another attempt may follow. If none may
// follow, it checks again after the same time. A nil timer never cancels.
type idleTimer struct {
	timer   *time.Timer
	timeout kernel.Micros // until the first bytes of the response's body
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
	// The timer's function uses idle.timer, so the timer must not fire before this assignment. It is created with a
	// long duration and gets its timeout below.
	idle.timer = time.AfterFunc(maxRequestTime.Duration(), func() {
		// The timer may have fired while the exchange was ending. If it were reset then, nothing would stop it again.
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
