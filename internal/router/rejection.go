package router

import (
	"encoding/json"
	"net/http"
	"strconv"

	"dunlinloom/internal/kernel"
)

// Rejection is the final answer to a request that no engine's answer ends: an HTTP status, and why.
type Rejection struct {
	Reason     string // an identifier for programs
	Detail     string // a sentence for people
	Status     int
	RetryAfter kernel.Micros // when to come back; zero: never
}

// Reasons of rejections for what this router does not know and another one may.
const (
	reasonUnconfirmedRoute   = "unsure_route"
	reasonUnconfirmedKey     = "unsure_key"
	reasonUnconfirmedQuota   = "unsure_quota"
	reasonUnconfirmedEngines = "unsure_engines"
	reasonStaleConfig        = "stale_config"
)

// isLocalOnly reports whether the rejection is for what this router alone may not know.
func (r *Rejection) isLocalOnly() bool {
	switch r.Reason {
	case reasonUnconfirmedRoute, reasonUnconfirmedKey, reasonUnconfirmedQuota, reasonUnconfirmedEngines, reasonStaleConfig:
		return true
	}
	return false
}

// Waits that a rejection asks for.
const (
	shortRetryAfter   = 200 * kernel.Millisecond
	startupRetryAfter = 500 * kernel.Millisecond // in which a router that has just started knows configuration and engines
)

// isNotRunStatus reports whether a status says to a caller that its request has not run and never will.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// minInFlightWhenLate is how many requests are served at once however late the control plane is: so few are not what
// fills the processor, and to reject them would not help.
const minInFlightWhenLate = 8

// rejectOverload rejects a request that would be one too many of those in flight; nil: there is room for it.
func (rt *Router) rejectOverload(inFlight int64) *Rejection {
	switch {
	case rt.MaxInFlight > 0 && inFlight > rt.MaxInFlight:
		return &Rejection{"crowded", "this process serves as many requests as it may", http.StatusServiceUnavailable, shortRetryAfter}
	case inFlight > minInFlightWhenLate && rt.IsLate != nil && rt.IsLate():
		return &Rejection{"crowded", "this process has more work than it can do in time", http.StatusServiceUnavailable, shortRetryAfter}
	}
	return nil
}

// rejectForMemory rejects a request whose body exceeds MaxBodyBytesTotal.
func rejectForMemory() *Rejection {
	return &Rejection{"crowded", bodyMemoryError{}.Error(), http.StatusServiceUnavailable, shortRetryAfter}
}

// rejectStale rejects a request that arrives while the configuration known here may have been replaced for too long.
func rejectStale() *Rejection {
	return &Rejection{reasonStaleConfig, "a newer configuration may be in force that has not reached this router", http.StatusServiceUnavailable, shortRetryAfter}
}

// mayTrustEngines reports whether requests may be sent by what is known here of the engines.
func (rt *Router) mayTrustEngines() bool { return rt.MayTrustEngines == nil || rt.MayTrustEngines() }

// rejectForUnconfirmedEngines rejects a request since engines may have ended of which this router has not heard.
func rejectForUnconfirmedEngines() *Rejection {
	return &Rejection{reasonUnconfirmedEngines, "engines may have ended of which this router has not heard", http.StatusServiceUnavailable, shortRetryAfter}
}

// rejectRoute rejects a request that no route takes here. A router that is out of touch may lack
// routes that were added since, and 404 would end what another router serves.
func (rt *Router) rejectRoute() *Rejection {
	if rt.IsInTouch != nil && !rt.IsInTouch() {
		return &Rejection{reasonUnconfirmedRoute, "no route known here takes this host and path, and newer ones may exist", http.StatusServiceUnavailable, startupRetryAfter}
	}
	return &Rejection{"no_route", "no route takes this host and path", http.StatusNotFound, 0}
}

// rejectionBody is what a caller can read of a rejection.
type rejectionBody struct {
	Error  string `json:"error"`
	Reason string `json:"why"`
}

// rejectUnread rejects a request whose body has not been read. What is left of it must not be taken for
// the next request.
func (rt *Router) rejectUnread(w http.ResponseWriter, r *http.Request, rejection *Rejection) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	rt.rejectEarly(w, r, rejection)
}

// rejectEarly rejects a request for which no engine has been selected.
func (rt *Router) rejectEarly(w http.ResponseWriter, r *http.Request, rejection *Rejection) {
	rt.Chooser.countRejection(rejection)
	rt.logRejection(r.Header.Get(rt.Wire.RequestID), rejection)
	rt.reject(w, rejection)
}

// reject answers at once, with when to come back.
func (rt *Router) reject(w http.ResponseWriter, rejection *Rejection) {
	rt.setWriteTimeout(w, finalWriteTimeout)
	if rejection.isLocalOnly() {
		// Another router may know more: the caller is not to reuse its connection.
		w.Header().Set("Connection", "close")
	}
	if rejection.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(rejection.RetryAfter)/float64(kernel.Second), 'f', 3, 64))
	}
	if rejection.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", rt.Wire.KeyScheme)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rejection.Status)
	// A caller that has gone can't be answered, and nobody else waits for it.
	if err := json.NewEncoder(w).Encode(rejectionBody{rejection.Reason, rejection.Detail}); err != nil {
		rt.Env.Log.V(2).Info("a rejection could not be delivered", "error", err.Error())
	}
}

// countRejection counts a request that was rejected before it arrived here.
func (c *Chooser) countRejection(rejection *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts.Rejections[rejection.Reason]++
}

// reject counts a rejection and gives it.
func (c *Chooser) reject(rejection *Rejection) *Rejection {
	c.counts.Rejections[rejection.Reason]++
	return rejection
}
