package router

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"dunlinloom/internal/kernel"
)

// failedAttempt records how one attempt of a call failed.
type failedAttempt struct {
	engine  string
	outcome Outcome
	reason  string
	elapsed kernel.Micros // since the request arrived
}

func (f failedAttempt) String() string {
	return fmt.Sprintf("%s after %d ms: %s (%s)", f.engine, f.elapsed/kernel.Millisecond, f.outcome, f.reason)
}

// What a caller got in place of a complete answer, as Counts.EndedAfterSilence and the log name it.
const (
	endedTorn     = "torn"     // a part of an answer, and a closed connection
	endedRejected = "rejected" // an answer of the router
)

// countEndAfterSilence counts a call that ends without a complete answer before its deadline, if one of its engines
// was unresponsive before.
func (c *Chooser) countEndAfterSilence(now kernel.Micros, call *Call, how string) {
	isUnresponsive := func(attempt failedAttempt) bool { return attempt.outcome == Unresponsive }
	if now >= call.Request.Deadline || !slices.ContainsFunc(call.failedAttempts, isUnresponsive) {
		return
	}
	last := call.failedAttempts[len(call.failedAttempts)-1]
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts.EndedAfterSilence[how+", last "+last.outcome.String()]++
}

// maxLoggedFailures limits how many failed requests are logged in each second. The journal gets the same ones and keeps
// the newest of them; the metrics count all failures.
const maxLoggedFailures = 10

// failureLog limits how many failed requests are logged, so that a burst of rejections does not fill the log.
type failureLog struct {
	lock       sync.Mutex
	second     kernel.Micros
	logged     int
	suppressed uint64
}

// allow reports whether a failure may be logged now, and how many were suppressed since the last logged one.
func (l *failureLog) allow(now kernel.Micros) (suppressed uint64, mayLog bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if second := now / kernel.Second; second != l.second {
		l.second, l.logged = second, 0
	}
	if l.logged >= maxLoggedFailures {
		l.suppressed++
		return 0, false
	}
	l.logged++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// logRejection logs a request that was rejected before an engine was selected.
func (rt *Router) logRejection(id string, rejection *Rejection) {
	rt.logRequest(id, rejection.Reason, rejection.Detail)
}

// logFailure logs a request that ended without a complete response of an engine, with all its failed attempts. how is
// the reason of the rejection, or says how the answer ended.
func (rt *Router) logFailure(call *Call, how string) {
	attempts := make([]string, 0, len(call.failedAttempts))
	for _, attempt := range call.failedAttempts {
		attempts = append(attempts, attempt.String())
	}
	request := &call.Request
	elapsed := (rt.Env.Clock.Now() - request.ArrivedAt) / kernel.Millisecond
	rt.logRequest(request.ID, how, fmt.Sprintf("route %s, service %s, ended after %d ms of %d ms allowed; %s",
		request.Route.Name, request.Service, elapsed, (request.Deadline-request.ArrivedAt)/kernel.Millisecond, strings.Join(attempts, "; ")))
}

// logRequest records in the journal and in the log how and why a request ended, if the rate limit allows it.
func (rt *Router) logRequest(id, how, why string) {
	now := rt.Env.Clock.Now()
	suppressed, mayLog := rt.failures.allow(now)
	if !mayLog {
		return
	}
	rt.Env.Journal.RecordRequest(now, "router", id, how, why)
	rt.Env.Log.Info("a request failed", "request", id, "how", how, "why", why, "untold", suppressed)
}
