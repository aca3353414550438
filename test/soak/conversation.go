package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/routedcaller"
)

// conversations is the number of callers that each send one long request after another on a connection of their own.
const conversations = 12

// conversationRate is how many requests all conversations send in a second, about.
const conversationRate = conversations / 4.0

// conversationKind returns the kind of the requests of conversations. A stream of them takes about as long as a node
// drains, and its caller waits for much longer.
func conversationKind() routedcaller.Kind {
	return routedcaller.Kind{Rate: conversationRate, Prefixes: 4, Shared: 300, Own: 200, Out: 900, Deadline: 20 * kernel.Second, Body: 300, Route: fleetconfig.Route{
		Name: routeConversation, Host: "conversation.example", Prefix: "/c/", Kind: fleetconfig.Stream, Timeout: 20 * kernel.Second, LatencyTarget: 900 * ms,
		InterTokenTarget: 400 * ms, Priority: 1, MaxAttempts: 1, IsPinned: true, Splits: singleSplit(serviceText)}}
}

// keepConversing sends one request after another, each at once after the answer to the one before, on one connection as
// long as the node keeps it open.
func (f *fleet) keepConversing(ctx context.Context, number int) {
	kind := conversationKind()
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(number)+300))
	var node *node
	var connection *callerConnection
	for count := 0; ctx.Err() == nil; count++ {
		request := routedcaller.NewRequest(random, &kind, eventTokens, fmt.Sprintf("%s-%d-%d", kind.Route.Name, number, count))
		request.ID += ".0"
		request.Key, request.Cost = f.tenancy.draw(random, request.Prompt+request.Out)
		request.Deadline = f.clock.Now() + kind.Deadline
		if connection == nil {
			node = f.nodeFor(request.RouterIndex)
			made, err := f.dial(node.address(portCallers))
			if err != nil {
				if !pause(ctx, connectBackoff) {
					return
				}
				continue
			}
			connection = &callerConnection{Conn: made, reader: bufio.NewReader(made)}
		}
		if !f.converse(node, connection, request) {
			connection = nil
			if !pause(ctx, sendBackoff) {
				return
			}
		}
	}
	if connection != nil {
		closeQuietly(connection)
	}
}

// converse sends a request on a connection and records how it ends. It reports whether the connection is open still.
func (f *fleet) converse(node *node, connection *callerConnection, request routedcaller.Request) bool {
	f.lock.Lock()
	services := append([]string(nil), f.services[request.Kind.Route.Name]...)
	f.lock.Unlock()
	sent := request.Sent(node.name, services)
	sent.IsKeepAlive = connection.isReused
	f.recordEvent(sent)
	end := checker.RoutedEvent{EventKind: checker.AttemptEnded, ID: request.ID, Kind: request.Kind.Route.Name, Router: node.name}
	_, canKeep := f.exchange(connection, &request, 0, &end)
	f.recordEvent(end)
	connection.isReused = true
	return canKeep
}
