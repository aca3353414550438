// Package routedcaller implements the client side of a routed fleet for simulator and soak runs. It generates
// requests of a kind, serializes the attempts of a request, and reads their responses into checker events.
//
// NewRequest draws a request. For each attempt the caller sets its ID, RouterIndex and Deadline, records
// Sent, writes Message to a connection and calls ResponseReader.Receive for the response. Times are in
// microseconds. Requests share nothing but their Kind, which is not modified. A request and its events
// belong to one goroutine.
package routedcaller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// Kind describes requests on one route.
type Kind struct {
	Route       fleetconfig.Route
	Rate        float64       // requests per second
	Common      int           // tokens of the prefix that all prompts of the kind share
	Prefixes    int           // number of different shared prefixes after the common one
	Shared, Own int           // mean tokens of a prompt in its shared prefix, and in the part of its own
	Out         int           // mean output tokens
	Deadline    kernel.Micros // time limit that starts with the first attempt
	MaxRetries  int           // maximum number of retries by the caller
	Body        int           // mean body size in bytes
}

// Request is one request of a caller.
type Request struct {
	Kind *Kind
	// ID identifies one attempt. Every retry has its own ID.
	ID        string
	Prompt    int    // tokens
	Out       int    // tokens
	Segments  string // the prompt's segments with their token counts, in the format of the router's header
	Body      []byte
	IsChunked bool
	// ResumeAfter is the event after which the stream is to resume. If it is 0, the stream starts from its beginning.
	ResumeAfter int
	// WantsNewConnection requires a new connection even if an idle one is available.
	WantsNewConnection bool
	// IsSticky makes the caller use a connection that is open, also to a node that is no longer ready.
	IsSticky    bool
	RouterIndex int
	Deadline    kernel.Micros
	// Key is the tenant's key that the request is sent with, if any. A request with a key also claims to be from
	// ForgedTenant, and that claim must never reach an engine.
	Key string
	// Cost is the amount that the request counts against the tenant's quota.
	Cost float64
}

// ForgedTenant is the false tenant that requests with a key claim to be from.
const ForgedTenant = "mallory"

// On average, one request in this many is chunked, requires a new connection, or resumes a stream.
const (
	chunkedOneIn       = 4
	newConnectionOneIn = 3
	resumedOneIn       = 10
)

// uniform draws an integer between half and one and a half times the mean, but at least 1.
func uniform(random *rand.Rand, mean int) int { return max(mean/2+random.IntN(mean+1), 1) }

// NewRequest draws a request of a kind. The stride is the number of tokens in an event of its service. The
// order of the draws must not change, because runs are repeated by their seeds.
func NewRequest(random *rand.Rand, kind *Kind, stride int, id string) Request {
	prefix := int(float64(kind.Prefixes) * random.Float64() * random.Float64()) // low numbers are more frequent
	shared := kind.Shared/2 + kind.Shared*(prefix%7)/7
	own := uniform(random, kind.Own)
	request := Request{
		Kind: kind, ID: id, Prompt: kind.Common + shared + own,
		Out:                uniform(random, kind.Out),
		IsChunked:          random.IntN(chunkedOneIn) == 0,
		WantsNewConnection: random.IntN(newConnectionOneIn) == 0,
		RouterIndex:        random.IntN(1 << 20),
		Body:               make([]byte, uniform(random, kind.Body)),
	}
	request.Cost = float64(request.Prompt + request.Out)
	if shared > 0 {
		request.Segments = fmt.Sprintf("%s%d:%d,%s:%d", kind.Route.Name, prefix, shared, id, own)
	} else {
		request.Segments = fmt.Sprintf("%s:%d", id, own)
	}
	if kind.Common > 0 {
		request.Segments = fmt.Sprintf("%s:%d,", kind.Route.Name, kind.Common) + request.Segments
	}
	for i := range request.Body {
		request.Body[i] = 'a' + byte(random.IntN(26))
	}
	if kind.Route.IsResumable && random.IntN(resumedOneIn) == 0 && request.Out > 3*stride {
		request.ResumeAfter = 1 + random.IntN(2) // resumes a stream that broke off after this event
	}
	return request
}

// target returns the path and query of a request.
func (r *Request) target() string { return r.Kind.Route.Prefix + "x?q=" + r.ID }

// Sent returns the event that records the sending of an attempt. The services are all those that any configuration has
// routed the request to. The caller sets the time of the event.
func (r *Request) Sent(routerName string, services []string) checker.RoutedEvent {
	route := r.Kind.Route
	return checker.RoutedEvent{
		EventKind: checker.AttemptSentByCaller, ID: r.ID, Kind: route.Name, Router: routerName, Digest: emulator.Digest(http.MethodPost, r.target(), r.Body),
		IsIdempotent: route.IsRepeatable(), IsResumable: route.IsResumable, IsStream: route.Kind == fleetconfig.Stream, Services: services,
		From: r.ResumeAfter, Deadline: r.Deadline, MaxAttempts: max(route.MaxAttempts, 1),
		Key: r.Key, Cost: r.Cost, IsOpen: route.IsOpen,
	}
}

// Message returns the serialized HTTP request, with the time that is left in its deadline header.
func (r *Request) Message(wire router.Wire, left kernel.Micros) []byte {
	route := r.Kind.Route
	var message bytes.Buffer
	fmt.Fprintf(&message, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d,%d\r\n%s: %s\r\n", r.target(), route.Host,
		wire.RequestID, r.ID, wire.Deadline, max(left/kernel.Millisecond, 1), wire.Tokens, r.Prompt, r.Out, wire.Prefix, r.Segments)
	if route.Kind == fleetconfig.Stream {
		message.WriteString("Accept: text/event-stream\r\n")
	}
	if r.ResumeAfter > 0 {
		fmt.Fprintf(&message, "%s: %d\r\n", wire.LastEvent, r.ResumeAfter)
	}
	if r.Key != "" {
		fmt.Fprintf(&message, "%s: %s %s\r\n%s: %s\r\n", wire.Key, wire.KeyScheme, r.Key, wire.Tenant, ForgedTenant)
	}
	if half := len(r.Body) / 2; r.IsChunked && half > 0 {
		fmt.Fprintf(&message, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, r.Body[:half], len(r.Body)-half, r.Body[half:])
	} else {
		fmt.Fprintf(&message, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	}
	return message.Bytes()
}
