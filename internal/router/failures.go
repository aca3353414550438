package router

import (
	"fmt"
	"strings"
	"sync"

	"dunlinloom/internal/kernel"
)

// failedAttempt is how one attempt of a call ended.
type failedAttempt struct {
	engine  string
	outcome Outcome
	reason  string
	elapsed kernel.Micros // since the request arrived
}

func (e failedAttempt) String() string {
	return fmt.Sprintf("%s after %d ms: %s (%s)", e.engine, e.elapsed/kernel.Millisecond, e.outcome, e.reason)
}

// maxLoggedFailures is how many failed requests are told of in the log within a second. The journal
// keeps the newest ones, and the metrics count all.
const maxLoggedFailures = 10

// failureLog bounds what is told of failed requests: a storm of refusals must not become one of lines.
type failureLog struct {
	lock       sync.Mutex
	second     kernel.Micros
	logged     int
	suppressed uint64
}

// take tells whether a failure may be told of now, and how many were not since the last one that was.
func (l *failureLog) take(now kernel.Micros) (suppressed uint64, mayLog bool) {
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

// logRejection tells of a request that was refused before any engine was chosen for it.
func (u *Router) logRejection(id string, rejection *Rejection) {
	u.logRequest(id, rejection.Reason, rejection.Detail)
}

// logFailure tells of a request that no engine's whole answer ended.
func (u *Router) logFailure(call *Call, how string) {
	ends := make([]string, 0, len(call.failedAttempts))
	for _, end := range call.failedAttempts {
		ends = append(ends, end.String())
	}
	request := &call.Request
	held := (u.Env.Clock.Now() - request.ArrivedAt) / kernel.Millisecond
	u.logRequest(request.ID, how, fmt.Sprintf("route %s, service %s, held for %d ms, time for %d ms; %s",
		request.Route.Name, request.Service, held, (request.Deadline-request.ArrivedAt)/kernel.Millisecond, strings.Join(ends, "; ")))
}

func (u *Router) logRequest(id, how, why string) {
	now := u.Env.Clock.Now()
	suppressed, mayLog := u.failures.take(now)
	if !mayLog {
		return
	}
	u.Env.Journal.RecordRequest(now, "router", id, how, why)
	u.Env.Log.Info("a request failed", "request", id, "how", how, "why", why, "untold", suppressed)
}
