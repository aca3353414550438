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

// engineTimeout is how long an engine may send nothing before another one is tried beside it; zero: no limit. There is a
// limit only if the request is repeatable and its route allows a second attempt. Before the answer has begun, the limit
// is half of the latency target, which leaves the other half for the second engine.
func engineTimeout(call *Call, hasBegun bool) kernel.Micros {
	route := call.Request.Route
	if !route.IsRepeatable() || call.maxAttempts() < 2 {
		return 0
	}
	if hasBegun {
		return max(2*route.InterTokenTarget, minNextEventTimeout)
	}
	return max(route.LatencyTarget/2, minFirstEventTimeout)
}

// engineTimeoutError is the cause with which an attempt is canceled whose engine sent nothing within the timeout, once
// another engine serves the request.
type engineTimeoutError struct{ timeout kernel.Micros }

func (e engineTimeoutError) Error() string {
	return fmt.Sprintf("the engine sent nothing for %d us", e.timeout)
}

// idleTimer starts another attempt if the engine of this one sends nothing for a timeout. The attempt goes on meanwhile,
// and the timer runs again after the same time. A nil timer does nothing.
type idleTimer struct {
	timer   *time.Timer
	timeout kernel.Micros // until the first bytes of the response's body
}

// startIdleTimer starts the timer of an attempt. It returns nil if the engine may take any time. ctx ends with the
// attempt.
func (a *answer) startIdleTimer(ctx context.Context, run *attemptRun) *idleTimer {
	rt := a.router
	timeout := engineTimeout(a.call, run.isContinuation)
	if timeout <= 0 {
		return nil
	}
	engineID, sentAt := run.attempt.Engine.ID, rt.Env.Clock.Now()
	idle := &idleTimer{timeout: timeout}
	// The timer's function uses idle.timer, so the timer must not fire before this assignment. It is created with a
	// long duration and gets its timeout below.
	idle.timer = time.AfterFunc(maxRequestTime.Duration(), func() {
		// The timer may have fired while the exchange was ending. If it were reset then, nothing would stop it again.
		if ctx.Err() != nil {
			return
		}
		// An engine whose other streams make progress is busy, not unresponsive.
		if !rt.Chooser.HasSeenSince(engineID, max(sentAt, rt.Env.Clock.Now()-timeout)) {
			run.hedge(timeout)
		}
		idle.timer.Reset(timeout.Duration())
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
