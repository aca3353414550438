package router

import (
	"math"
	"net/http"
	"strconv"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Segment is a part of a prompt that other prompts may share.
type Segment struct {
	ID     string
	Tokens int
}

// Request is what the choice of an engine depends on.
type Request struct {
	ID                      string
	PromptTokens, MaxTokens int
	Segments                []Segment
	ArrivedAt               kernel.Micros
	Deadline                kernel.Micros // after which nobody waits any more
	Route                   *fleetconfig.Route
	Service                 string
	LastEvent               string
	Priority                int                 // 0 is first
	Tenant                  *fleetconfig.Tenant // whose key it came with; nil: it needed none
	HasTokens               bool                // its headers state its tokens
	// IsKeyHidden: engines get the tenant's name, and not the key.
	IsKeyHidden bool
}

// isPinned reports whether a request goes where its prompt's prefix was sent before.
func (r *Request) isPinned() bool { return r.Route.IsPinned && len(r.Segments) > 0 }

// readRequest reads from a request's headers what the choice of an engine depends on.
func (rt *Router) readRequest(r *http.Request, route *fleetconfig.Route, arrived kernel.Micros) (Request, *Rejection) {
	request := Request{
		ID: r.Header.Get(rt.Wire.RequestID), ArrivedAt: arrived, Route: route,
		LastEvent: r.Header.Get(rt.Wire.LastEvent), Priority: route.Priority,
	}
	if err := rt.readHeaders(r.Header, &request); err != nil {
		return request, &Rejection{"bad_request", err.Error(), http.StatusBadRequest, 0}
	}
	if route.Timeout > 0 {
		request.Deadline = min(request.Deadline, arrived+route.Timeout)
	}
	request.Service = rt.Chooser.pickService(arrived, route, pickHash(request))
	return request, nil
}

// readHeaders reads a request's tokens, segments and deadline. The error is a BadHeaderError.
func (rt *Router) readHeaders(header http.Header, request *Request) (err error) {
	if request.ID == "" {
		return BadHeaderError{rt.Wire.RequestID, "a request has to name itself"}
	}
	request.HasTokens = header.Get(rt.Wire.Tokens) != ""
	if request.PromptTokens, request.MaxTokens, err = ParseTokens(rt.Wire.Tokens, header.Get(rt.Wire.Tokens)); err != nil {
		return err
	}
	if request.Segments, err = ParseSegments(rt.Wire.Prefix, header.Get(rt.Wire.Prefix)); err != nil {
		return err
	}
	request.Deadline = request.ArrivedAt + maxRequestTime
	if text := header.Get(rt.Wire.Deadline); text != "" {
		remaining, err := strconv.ParseFloat(text, 64)
		if err != nil || !(remaining >= 0 && remaining < 1e9) {
			return BadHeaderError{rt.Wire.Deadline, "it is not a number of milliseconds"}
		}
		request.Deadline = min(request.Deadline, request.ArrivedAt+kernel.Micros(remaining*float64(kernel.Millisecond)))
	}
	return nil
}

// pickHash spreads a route's requests over its services, the same prompt always alike. The last segment
// counts as well: it is one session's or request's own, and without it the few prompts that all share
// would decide over all requests of a service.
func pickHash(request Request) uint64 {
	if request.isPinned() {
		return PrefixHash(request.Segments, math.MaxInt)
	}
	return PrefixHash([]Segment{{ID: request.ID, Tokens: 1}}, 1)
}
