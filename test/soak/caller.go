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
	routeLong         = "long"
	routeShort        = "short"
	routePlain        = "plain"
	routeSafe         = "safe"
	routeSplit        = "split"
	routeConversation = "conversation"
)

func singleSplit(service string) []fleetconfig.Split {
	return []fleetconfig.Split{{Service: service, Weight: 1}}
}

const ms = kernel.Millisecond

// kinds returns the kinds of requests in the load: long prompts whose streams cannot be resumed, short prompts whose
// streams can, plain calls that may run only once, plain calls that may be repeated, and the streams of conversations.
func kinds() []routedcaller.Kind {
	return []routedcaller.Kind{
		{Rate: 3, Prefixes: 4, Shared: 1500, Own: 1500, Out: 80, Deadline: 8 * kernel.Second, MaxRetries: 1, Body: 2000, Route: fleetconfig.Route{
			Name: routeLong, Host: "long.example", Prefix: "/l/", Kind: fleetconfig.Stream, Timeout: 8 * kernel.Second, LatencyTarget: 900 * ms, InterTokenTarget: 400 * ms,
			Priority: 1, MaxAttempts: 2, IsPinned: true, Splits: singleSplit(serviceText)}},
		{Rate: 12, Prefixes: 20, Shared: 400, Own: 300, Out: 24, Deadline: 3 * kernel.Second, MaxRetries: 1, Body: 400, Route: fleetconfig.Route{
			Name: routeShort, Host: "short.example", Prefix: "/s/", Kind: fleetconfig.Stream, Timeout: 3 * kernel.Second, LatencyTarget: 400 * ms, InterTokenTarget: 400 * ms,
			MaxAttempts: 2, IsPinned: true, IsResumable: true, Splits: singleSplit(serviceText)}},
		{Rate: 6, Prefixes: 3, Shared: 100, Own: 60, Out: 16, Deadline: 4 * kernel.Second, MaxRetries: 1, Body: 150, Route: fleetconfig.Route{
			Name: routePlain, Host: "plain.example", Prefix: "/p/", Kind: fleetconfig.Unsafe, Timeout: 4 * kernel.Second, LatencyTarget: 500 * ms, Priority: 2, MaxAttempts: 2,
			Splits: singleSplit(servicePlain)}},
		{Rate: 6, Prefixes: 3, Shared: 100, Own: 60, Out: 16, Deadline: 4 * kernel.Second, MaxRetries: 1, Body: 20_000, Route: fleetconfig.Route{
			Name: routeSafe, Host: "plain.example", Prefix: "/p/safe/", Kind: fleetconfig.Safe, Timeout: 4 * kernel.Second, LatencyTarget: 500 * ms, Priority: 2, MaxAttempts: 2,
			Splits: singleSplit(servicePlain)}},
		// With few prompts and sessions, a split that followed their affinity would miss the configured weights.
		{Rate: 14, Prefixes: 2, Shared: 100, Own: 40, Out: 8, Deadline: 3 * kernel.Second, MaxRetries: 1, Body: 100, Route: fleetconfig.Route{
			Name: routeSplit, Host: "split.example", Prefix: "/t/", Kind: fleetconfig.Safe, Timeout: 3 * kernel.Second, LatencyTarget: 500 * ms, Priority: 3, MaxAttempts: 2, IsPinned: true,
			Splits: []fleetconfig.Split{{Service: serviceText, Weight: 50}, {Service: servicePlain, Weight: 50}}}},
		conversationKind(),
	}
}

// splitWeights returns the weights of the split routes, which are the same in every configuration.
func splitWeights() map[string]map[string]float64 {
	return map[string]map[string]float64{routeSplit: {serviceText: 50, servicePlain: 50}}
}

// idleTimeout is how long callers reuse an idle connection: four fifths of the configured idle timeout.
const idleTimeout = configIdle * 4 / 5

// callerConnection is a caller's connection to a node.
type callerConnection struct {
	net.Conn
	reader    *bufio.Reader
	isReused  bool          // whether it has served a request
	idleSince kernel.Micros // when it became idle
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
		request.IsSticky = random.IntN(stickyOneIn) == 0
		request.Key, request.Cost = f.tenancy.draw(random, request.Prompt+request.Out)
		cancelAfter := kernel.Micros(0)
		if random.IntN(cancelOneIn) == 0 {
			cancelAfter = kernel.Micros(random.Int64N(int64(500 * ms)))
		}
		f.calls.Go(func() { f.retryUntilAnswered(request, cancelAfter) })
	}
}

// cancelOneIn is the inverse share of requests that their caller cancels early.
const cancelOneIn = 25

// retryUntilAnswered sends a request and retries it as callers do: if the response guarantees that the request did not
// run, or if it failed and its route is repeatable. If cancelAfter is not zero, the caller closes the connection after
// that time.
func (f *fleet) retryUntilAnswered(request routedcaller.Request, cancelAfter kernel.Micros) {
	request.Deadline = f.clock.Now() + request.Kind.Deadline
	id := request.ID
	for attempt := 0; ; attempt++ {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		end, backoff := f.try(request, cancelAfter)
		f.recordEvent(end)
		shouldRetry := routedcaller.IsNotRun(&end) || request.Kind.Route.IsRepeatable() && routedcaller.IsFailure(&end)
		if attempt >= request.Kind.MaxRetries || end.Ending == checker.Canceled || !shouldRetry || f.clock.Now()+backoff >= request.Deadline {
			return
		}
		if !pause(f.context, backoff) {
			return
		}
		request.WantsNewConnection = true
		request.RouterIndex++
	}
}

// nodeFor returns the node to which the platform's load balancer sends a caller: a ready node of the caller's zone, or
// any node of that zone if none is ready.
func (f *fleet) nodeFor(routerIndex int) *node {
	f.lock.Lock()
	defer f.lock.Unlock()
	zone := fmt.Sprint("z", routerIndex%zoneCount)
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
	return all[routerIndex/zoneCount%len(all)]
}

// stickyOneIn is the inverse share of requests whose caller keeps using its open connections, to whichever node they lead,
// until that node's process is gone. The others follow the platform's load balancer.
const stickyOneIn = 3

// nodeOfOpenConnection returns a node of the caller's zone to which an idle connection is open, whether it is ready or not;
// nil: there is none.
func (f *fleet) nodeOfOpenConnection(routerIndex int) *node {
	f.lock.Lock()
	defer f.lock.Unlock()
	for offset := range f.nodes {
		n := f.nodes[(routerIndex+offset)%len(f.nodes)]
		if n.zone == fmt.Sprint("z", routerIndex%zoneCount) && len(f.idleConns[n.name]) > 0 {
			return n
		}
	}
	return nil
}

// target returns the node to which a caller sends a request.
func (f *fleet) target(request *routedcaller.Request) *node {
	if request.IsSticky && !request.WantsNewConnection {
		if n := f.nodeOfOpenConnection(request.RouterIndex); n != nil {
			return n
		}
	}
	return f.nodeFor(request.RouterIndex)
}

// connect returns an idle connection to a node or opens a new one. It always opens a new one if wantsNew is set.
func (f *fleet) connect(n *node, wantsNew bool) (*callerConnection, error) {
	for !wantsNew {
		f.lock.Lock()
		list := f.idleConns[n.name]
		if len(list) == 0 {
			f.lock.Unlock()
			break
		}
		connection := list[len(list)-1]
		f.idleConns[n.name] = list[:len(list)-1]
		f.lock.Unlock()
		if f.clock.Now()-connection.idleSince < idleTimeout {
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

// dial opens a TCP connection with the connect timeout of callers.
func (f *fleet) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(f.context, "tcp", address)
}

// closeQuietly closes a connection, listener or body and ignores the error, which only means that the peer has already
// closed it.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// Retry delays of callers after failures without a delay in the response, and the callers' time limit.
const (
	connectBackoff = 100 * ms
	sendBackoff    = 50 * ms
	callerTimeout  = 600 * ms // time after the deadline at which a caller stops reading
)

// try sends one request and returns the event of its end and the delay before a retry.
func (f *fleet) try(request routedcaller.Request, cancelAfter kernel.Micros) (checker.RoutedEvent, kernel.Micros) {
	n := f.target(&request)
	f.lock.Lock()
	services := append([]string(nil), f.services[request.Kind.Route.Name]...)
	f.lock.Unlock()
	sent := request.Sent(n.name, services)
	end := checker.RoutedEvent{EventKind: checker.AttemptEnded, ID: request.ID, Kind: request.Kind.Route.Name, Router: n.name}
	connection, err := f.connect(n, request.WantsNewConnection)
	if err != nil {
		f.recordEvent(sent)
		end.Ending, end.Why = checker.NoAnswer, err.Error()
		return end, connectBackoff
	}
	sent.IsKeepAlive = connection.isReused
	f.recordEvent(sent)
	backoff, canKeep := f.exchange(connection, &request, cancelAfter, &end)
	if canKeep {
		f.keep(n, connection)
	}
	return end, backoff
}

// exchange sends a request on a connection and receives its answer. It fills in the event of the end, and returns the
// delay before a retry. It closes the connection unless canKeep is true.
func (f *fleet) exchange(connection *callerConnection, request *routedcaller.Request, cancelAfter kernel.Micros, end *checker.RoutedEvent) (backoff kernel.Micros, canKeep bool) {
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter.Duration(), func() { closeQuietly(connection) })
		defer timer.Stop()
	}
	if _, err := connection.Write(request.Message(platform.Wire(), request.Deadline-f.clock.Now())); err != nil {
		closeQuietly(connection)
		end.Ending, end.Why = checker.NoAnswer, err.Error()
		return sendBackoff, false
	}
	if err := connection.SetReadDeadline(time.Now().Add((request.Deadline - f.clock.Now() + callerTimeout).Duration())); err != nil {
		end.Why = err.Error() // the timer of a canceling caller has closed the connection
	}
	backoff, canKeep = routedcaller.ResponseReader{Wire: platform.Wire(), Clock: f.clock}.Receive(connection.reader, request, end)
	hasCanceled := cancelAfter > 0 && end.Ending != checker.Complete
	switch {
	case hasCanceled:
		end.Ending = checker.Canceled
	case canKeep && connection.reader.Buffered() > 0:
		end.Ending, end.Why = checker.Malformed, "unexpected bytes after the response"
	case canKeep && cancelAfter == 0:
		return backoff, true
	}
	closeQuietly(connection)
	return backoff, false
}

func (f *fleet) keep(n *node, connection *callerConnection) {
	connection.idleSince = f.clock.Now()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.idleConns[n.name] = append(f.idleConns[n.name], connection)
}
