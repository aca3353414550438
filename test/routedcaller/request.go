// Package routedcaller is one caller of a routed fleet for simulator and soak runs: the requests
// of a kind, one attempt of a request over a connection, and its result in the checker's terms.
//
// NewRequest draws a request; for each attempt the caller sets its ID, RouterIndex and Deadline, records
// Sent, writes Message to a connection and has AnswerReader.Receive read the answer. Times are
// microseconds. Nothing is shared between requests but their Kind, which is not changed; a request and its
// events belong to one goroutine.
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

// Kind is a shape of requests on one route.
type Kind struct {
	Route       fleetconfig.Route
	Rate        float64       // requests per second
	Common      int           // tokens with which every prompt of the kind begins
	Prefixes    int           // different shared prefixes after these
	Shared, Own int           // tokens of a prompt, on the mean
	Out         int           // tokens put out, on the mean
	Deadline    kernel.Micros // from the first attempt on
	Further     int           // retries of a caller
	Body        int           // bytes of a body, on the mean
}

// Request is one request that a caller wants answered.
type Request struct {
	Kind *Kind
	// ID names one attempt. Every retry has one of its own.
	ID        string
	Prompt    int    // tokens
	Out       int    // tokens
	Parts     string // the prompt's segments with their tokens, as the router's header has them
	Body      []byte
	IsChunked bool
	// From is the event after which the stream is to continue; zero: it begins.
	From int
	// WantsNewConnection asks for a new connection, though an idle one may be there.
	WantsNewConnection bool
	RouterIndex        int
	Deadline           kernel.Micros
	// Key is the tenant's that the request is sent under; empty: none. A caller with a key claims to be somebody else as
	// well, which no engine may be told.
	Key string
	// Cost is what the request counts under the tenant's quota.
	Cost float64
}

// ForgedTenant is the tenant that callers with a key claim to be.
const ForgedTenant = "mallory"

// One request of a kind in so many is chunked, wants a new connection, or resumes a stream.
const (
	chunkedOneIn       = 4
	newConnectionOneIn = 3
	resumedOneIn       = 10
)

// uniform draws a number from half the mean to one and a half of it, at least 1.
func uniform(random *rand.Rand, mean int) int { return max(mean/2+random.IntN(mean+1), 1) }

// NewRequest draws a request of a kind. The stride is how many tokens an event of its service has. The
// order of the draws is part of runs that are repeated by their seeds.
func NewRequest(random *rand.Rand, kind *Kind, stride int, id string) Request {
	prefix := int(float64(kind.Prefixes) * random.Float64() * random.Float64()) // the first are more frequent
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
		request.Parts = fmt.Sprintf("%s%d:%d,%s:%d", kind.Route.Name, prefix, shared, id, own)
	} else {
		request.Parts = fmt.Sprintf("%s:%d", id, own)
	}
	if kind.Common > 0 {
		request.Parts = fmt.Sprintf("%s:%d,", kind.Route.Name, kind.Common) + request.Parts
	}
	for i := range request.Body {
		request.Body[i] = 'a' + byte(random.IntN(26))
	}
	if kind.Route.IsResumable && random.IntN(resumedOneIn) == 0 && request.Out > 3*stride {
		request.From = 1 + random.IntN(2) // a stream that was broken off before
	}
	return request
}

// target is the path and query of a request.
func (r *Request) target() string { return r.Kind.Route.Prefix + "x?q=" + r.ID }

// Sent is the event of an attempt of the request, with the services that any configuration ever routed
// it to. Its time is left to the caller.
func (r *Request) Sent(routerName string, services []string) checker.RoutedEvent {
	route := r.Kind.Route
	return checker.RoutedEvent{
		EventKind: checker.AttemptSentByCaller, ID: r.ID, Kind: route.Name, Router: routerName, Digest: emulator.Digest(http.MethodPost, r.target(), r.Body),
		IsIdempotent: route.IsRepeatable(), IsResumable: route.IsResumable, IsStream: route.Kind == fleetconfig.Stream, Services: services,
		From: r.From, Deadline: r.Deadline, MaxAttempts: max(route.MaxAttempts, 1),
		Key: r.Key, Cost: r.Cost, IsOpen: route.IsOpen,
	}
}

// Message gives the bytes of the request on the wire, with so much time left to its caller.
func (r *Request) Message(wire router.Wire, left kernel.Micros) []byte {
	route := r.Kind.Route
	var message bytes.Buffer
	fmt.Fprintf(&message, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d,%d\r\n%s: %s\r\n", r.target(), route.Host,
		wire.RequestID, r.ID, wire.Deadline, max(left/kernel.Millisecond, 1), wire.Tokens, r.Prompt, r.Out, wire.Prefix, r.Parts)
	if route.Kind == fleetconfig.Stream {
		message.WriteString("Accept: text/event-stream\r\n")
	}
	if r.From > 0 {
		fmt.Fprintf(&message, "%s: %d\r\n", wire.LastEvent, r.From)
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
