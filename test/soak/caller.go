package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/routedcaller"
)

// Names of the routes.
const (
	routeLong  = "long"
	routeShort = "short"
	routePlain = "plain"
	routeSafe  = "safe"
	routeSplit = "split"
)

func leadTo(service string) []fleetconfig.Split {
	return []fleetconfig.Split{{Service: service, Weight: 1}}
}

const ms = kernel.Millisecond

// kinds are the shapes of requests: long prompts whose streams may not be resumed, short ones whose
// streams may, and plain calls that may run once and more often.
func kinds() []routedcaller.Kind {
	return []routedcaller.Kind{
		{Rate: 3, Prefixes: 4, Shared: 1500, Own: 1500, Out: 80, Deadline: 8 * kernel.Second, MaxRetries: 1, Body: 2000, Route: fleetconfig.Route{
			Name: routeLong, Host: "long.example", Prefix: "/l/", Kind: fleetconfig.Stream, Timeout: 8 * kernel.Second, LatencyTarget: 900 * ms, InterTokenTarget: 400 * ms,
			Priority: 1, MaxAttempts: 2, IsPinned: true, Splits: leadTo(serviceText)}},
		{Rate: 12, Prefixes: 20, Shared: 400, Own: 300, Out: 24, Deadline: 3 * kernel.Second, MaxRetries: 1, Body: 400, Route: fleetconfig.Route{
			Name: routeShort, Host: "short.example", Prefix: "/s/", Kind: fleetconfig.Stream, Timeout: 3 * kernel.Second, LatencyTarget: 400 * ms, InterTokenTarget: 400 * ms,
			MaxAttempts: 2, IsPinned: true, IsResumable: true, Splits: leadTo(serviceText)}},
		{Rate: 6, Prefixes: 3, Shared: 100, Own: 60, Out: 16, Deadline: 4 * kernel.Second, MaxRetries: 1, Body: 150, Route: fleetconfig.Route{
			Name: routePlain, Host: "plain.example", Prefix: "/p/", Kind: fleetconfig.Unsafe, Timeout: 4 * kernel.Second, LatencyTarget: 500 * ms, Priority: 2, MaxAttempts: 2,
			Splits: leadTo(servicePlain)}},
		{Rate: 6, Prefixes: 3, Shared: 100, Own: 60, Out: 16, Deadline: 4 * kernel.Second, MaxRetries: 1, Body: 20_000, Route: fleetconfig.Route{
			Name: routeSafe, Host: "plain.example", Prefix: "/p/safe/", Kind: fleetconfig.Safe, Timeout: 4 * kernel.Second, LatencyTarget: 500 * ms, Priority: 2, MaxAttempts: 2,
			Splits: leadTo(servicePlain)}},
		// Few prompts and sessions, so that these and not chance would decide over the shares.
		{Rate: 14, Prefixes: 2, Shared: 100, Own: 40, Out: 8, Deadline: 3 * kernel.Second, MaxRetries: 1, Body: 100, Route: fleetconfig.Route{
			Name: routeSplit, Host: "split.example", Prefix: "/t/", Kind: fleetconfig.Safe, Timeout: 3 * kernel.Second, LatencyTarget: 500 * ms, Priority: 3, MaxAttempts: 2, IsPinned: true,
			Splits: []fleetconfig.Split{{Service: serviceText, Weight: 50}, {Service: servicePlain, Weight: 50}}}},
	}
}

// splitWeights are the weights of the routes that no configuration splits otherwise.
func splitWeights() map[string]map[string]float64 {
	return map[string]map[string]float64{routeSplit: {serviceText: 50, servicePlain: 50}}
}

// idleSpan is for how long callers keep a connection, four fifths of what the configuration says.
const idleSpan = configIdle * 4 / 5

// callerConnection is a caller's connection to a node.
type callerConnection struct {
	net.Conn
	reader   *bufio.Reader
	isReused bool // it has served a request
	restAt   kernel.Micros
}

// keepCalling sends requests of one kind until the context ends.
func (f *fleet) keepCalling(ctx context.Context, number int) {
	kind := &kinds()[number]
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(number)+100))
	stride := 1
	if kind.Route.Splits[0].Service == serviceText {
		stride = eventTokens
	}
	for count := 0; ; count++ {
		f.lock.Lock()
		rate := kind.Rate * f.settings.Load * f.factor
		f.lock.Unlock()
		if !pause(ctx, kernel.Micros(random.ExpFloat64()/rate*float64(kernel.Second))) {
			return
		}
		request := routedcaller.NewRequest(random, kind, stride, fmt.Sprintf("%s-%d", kind.Route.Name, count))
		request.Key, request.Cost = f.tenancy.draw(random, request.Prompt+request.Out)
		leaves := kernel.Micros(0)
		if random.IntN(leaveOneIn) == 0 {
			leaves = kernel.Micros(random.Int64N(int64(500 * ms)))
		}
		f.calls.Go(func() { f.retryUntilAnswered(request, leaves) })
	}
}

// leaveOneIn of the requests are given up by their caller early on.
const leaveOneIn = 25

// retryUntilAnswered tries again as callers do: after a promise, or whatever may be repeated. A caller that leaves
// closes its connection after that time.
func (f *fleet) retryUntilAnswered(request routedcaller.Request, leaves kernel.Micros) {
	request.Deadline = f.clock.Now() + request.Kind.Deadline
	id := request.ID
	for attempt := 0; ; attempt++ {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		over, pauseSpan := f.try(request, leaves)
		f.recordEvent(over)
		isAgain := routedcaller.IsNotRun(&over) || request.Kind.Route.IsRepeatable() && routedcaller.IsFailure(&over)
		if attempt >= request.Kind.MaxRetries || over.Ending == checker.Canceled || !isAgain || f.clock.Now()+pauseSpan >= request.Deadline {
			return
		}
		if !pause(f.context, pauseSpan) {
			return
		}
		request.WantsNewConnection = true
		request.RouterIndex++
	}
}

// nodeFor gives the node that the platform leads a caller to: one of its zone that is ready, or any of
// its zone where none is.
func (f *fleet) nodeFor(nextIndex int) *node {
	f.lock.Lock()
	defer f.lock.Unlock()
	zone := fmt.Sprint("z", nextIndex%zoneCount)
	all, ready := []*node{}, []*node{}
	for _, n := range f.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if f.ready[n.name] < readyPolls {
			ready = append(ready, n)
		}
	}
	if len(ready) > 0 {
		all = ready
	}
	return all[nextIndex/zoneCount%len(all)]
}

// connect gives a kept connection to a node, or a new one.
func (f *fleet) connect(n *node, opensAnew bool) (*callerConnection, error) {
	for !opensAnew {
		f.lock.Lock()
		list := f.idleConns[n.name]
		if len(list) == 0 {
			f.lock.Unlock()
			break
		}
		connection := list[len(list)-1]
		f.idleConns[n.name] = list[:len(list)-1]
		f.lock.Unlock()
		if f.clock.Now()-connection.restAt < idleSpan {
			connection.isReused = true
			return connection, nil
		}
		closeQuietly(connection)
	}
	made, err := f.dial(n.address(portCallers))
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: made, reader: bufio.NewReader(made)}, nil
}

// dial opens a connection to a node, as callers do.
func (f *fleet) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(f.context, "tcp", address)
}

// closeQuietly closes what is done with. An error is one of a connection that the other side has closed.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// Pauses of callers after failures that name none.
const (
	unreachedPause = 100 * ms
	brokenPause    = 50 * ms
	callerTimeout  = 600 * ms // beyond the deadline
)

// try sends one request and tells what came, and when to come again.
func (f *fleet) try(request routedcaller.Request, leaves kernel.Micros) (checker.RoutedEvent, kernel.Micros) {
	n := f.nodeFor(request.RouterIndex)
	f.lock.Lock()
	services := append([]string(nil), f.services[request.Kind.Route.Name]...)
	f.lock.Unlock()
	sent := request.Sent(n.name, services)
	over := checker.RoutedEvent{EventKind: checker.AttemptEnded, ID: request.ID, Kind: request.Kind.Route.Name, Router: n.name}
	connection, err := f.connect(n, request.WantsNewConnection)
	if err != nil {
		f.recordEvent(sent)
		over.Ending, over.Why = checker.NoAnswer, err.Error()
		return over, unreachedPause
	}
	sent.IsKeepAlive = connection.isReused
	f.recordEvent(sent)
	if leaves > 0 {
		timer := time.AfterFunc(leaves.Duration(), func() { closeQuietly(connection) })
		defer timer.Stop()
	}
	if _, err := connection.Write(request.Message(platform.Wire(), request.Deadline-f.clock.Now())); err != nil {
		closeQuietly(connection)
		over.Ending, over.Why = checker.NoAnswer, err.Error()
		return over, brokenPause
	}
	if err := connection.SetReadDeadline(time.Now().Add((request.Deadline - f.clock.Now() + callerTimeout).Duration())); err != nil {
		over.Why = err.Error() // it has been closed by the caller that leaves
	}
	pauseSpan, canKeep := routedcaller.AnswerReader{Wire: platform.Wire(), Clock: f.clock}.Receive(connection.reader, &request, &over)
	hasLeft := leaves > 0 && over.Ending != checker.Complete
	switch {
	case hasLeft:
		over.Ending = checker.Canceled
	case canKeep && connection.reader.Buffered() > 0:
		over.Ending, over.Why = checker.Malformed, "bytes after the answer"
	case canKeep && leaves == 0:
		f.keep(n, connection)
		return over, pauseSpan
	}
	closeQuietly(connection)
	return over, pauseSpan
}

func (f *fleet) keep(n *node, connection *callerConnection) {
	connection.restAt = f.clock.Now()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.idleConns[n.name] = append(f.idleConns[n.name], connection)
}
