package router

import (
	"fmt"
	"strings"
	"sync"

	"dunlinloom/internal/kernel"
)

// attemptEnd is how one attempt of a call ended.
type attemptEnd struct {
	engine string
	ending Ending
	why    string
	after  kernel.Micros // since the request arrived
}

func (e attemptEnd) String() string {
	return fmt.Sprintf("%s after %d ms: %s (%s)", e.engine, e.after/kernel.Millisecond, e.ending, e.why)
}

// mostFailuresTold is how many failed requests are told of in the log within a second. The journal
// keeps the newest ones, and the metrics count all.
const mostFailuresTold = 10

// failureLog bounds what is told of failed requests: a storm of refusals must not become one of lines.
type failureLog struct {
	lock   sync.Mutex
	second kernel.Micros
	told   int
	untold uint64
}

// take tells whether a failure may be told of now, and how many were not since the last one that was.
func (l *failureLog) take(now kernel.Micros) (untold uint64, mayTell bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if second := now / kernel.Second; second != l.second {
		l.second, l.told = second, 0
	}
	if l.told >= mostFailuresTold {
		l.untold++
		return 0, false
	}
	l.told++
	untold, l.untold = l.untold, 0
	return untold, true
}

// tellRefused tells of a request that was refused before any engine was chosen for it.
func (u *Router) tellRefused(id string, refusal *Refusal) {
	u.tell(id, refusal.Reason, refusal.Detail)
}

// tellFailed tells of a request that no engine's whole answer ended.
func (u *Router) tellFailed(call *Call, how string) {
	ends := make([]string, 0, len(call.ends))
	for _, end := range call.ends {
		ends = append(ends, end.String())
	}
	request := &call.Request
	held := (u.Env.Clock.Now() - request.Arrived) / kernel.Millisecond
	u.tell(request.ID, how, fmt.Sprintf("route %s, service %s, held for %d ms, time for %d ms; %s",
		request.Route.Name, request.Service, held, (request.Deadline-request.Arrived)/kernel.Millisecond, strings.Join(ends, "; ")))
}

func (u *Router) tell(id, how, why string) {
	now := u.Env.Clock.Now()
	untold, mayTell := u.failures.take(now)
	if !mayTell {
		return
	}
	u.Env.Journal.NoteRequest(now, "router", id, how, why)
	u.Env.Log.Info("a request failed", "request", id, "how", how, "why", why, "untold", untold)
}
