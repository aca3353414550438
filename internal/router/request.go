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

// Request holds the properties of a caller's request that the router uses to choose an engine, to charge the tenant's
// quota, and to set the headers that the engine gets.
type Request struct {
	ID                      string
	PromptTokens, MaxTokens int
	Segments                []Segment
	ArrivedAt               kernel.Micros
	Deadline                kernel.Micros // after which the caller no longer waits
	Route                   *fleetconfig.Route
	Service                 string
	LastEvent               string
	Priority                int                 // 0 is the highest
	Tenant                  *fleetconfig.Tenant // whose key the request came with; nil: it needed no key
	HasTokens               bool                // its headers state its tokens
	// IsKeyHidden is set if engines get the tenant's name instead of its key.
	IsKeyHidden bool
}

// isPinned reports whether the request's engine is chosen by the prefix of its prompt. Otherwise requests are spread
// evenly.
func (r *Request) isPinned() bool { return r.Route.IsPinned && len(r.Segments) > 0 }

// readRequest reads the headers of a request and picks its service. Its deadline is the earliest of the caller's, the
// route's and maxRequestTime after its arrival.
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

// readHeaders reads a request's ID, tokens, segments and deadline. The error is a BadHeaderError.
func (rt *Router) readHeaders(header http.Header, request *Request) (err error) {
	if request.ID == "" {
		return BadHeaderError{rt.Wire.RequestID, "a request needs an ID"}
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
			return BadHeaderError{rt.Wire.Deadline, "not a number of milliseconds from 0 to 1e9"}
		}
		request.Deadline = min(request.Deadline, request.ArrivedAt+kernel.Micros(remaining*float64(kernel.Millisecond)))
	}
	return nil
}

// pickHash returns the hash that spreads a route's requests over its services. On a pinned route, equal prompts have
// equal hashes. The hash includes the last segment, which belongs to one session or request. Otherwise all requests
// that share the rest of their prompts would go to the same service.
func pickHash(request Request) uint64 {
	if request.isPinned() {
		return PrefixHash(request.Segments, math.MaxInt)
	}
	return PrefixHash([]Segment{{ID: request.ID, Tokens: 1}}, 1)
}
