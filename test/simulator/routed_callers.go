package simulator

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
	"dunlinloom/test/routedcaller"
)

// routedWire holds the header names used in routed runs.
var routedWire = router.DefaultWire()

// callerConn is a caller's connection to a router.
type callerConn struct {
	net.Conn
	reader   *bufio.Reader
	isReused bool // it has carried a request before
}

// keepCalling sends requests of one kind at its rate until end.
func (f *routedFleet) keepCalling(number int, end kernel.Micros) {
	kind := &f.deployment.Kinds[number]
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(number)+100))
	begun := f.clock.Now()
	for count := 0; ; count++ {
		f.lock.Lock()
		rate := kind.Rate * f.rateFactor
		f.lock.Unlock()
		if f.plan.Load != nil {
			rate *= f.plan.Load(float64(f.clock.Now()-begun) / float64(end-begun))
		}
		pause := kernel.Micros(random.ExpFloat64() / max(rate, 0.01) * float64(sec))
		if f.clock.Now()+pause >= end {
			return
		}
		timer := time.NewTimer(pause.Duration())
		<-timer.C
		request := routedcaller.NewRequest(random, kind, f.strideOf(kind), fmt.Sprintf("%s-%d", kind.Route.Name, count))
		if f.tenancy != nil {
			request.Key = f.tenancy.drawKey(random)
		}
		f.calls.Go(func() { f.retryUntilAnswered(request) })
	}
}

// strideOf returns the number of tokens in an event of a kind's streams.
func (f *routedFleet) strideOf(kind *RoutedKind) int {
	for _, service := range f.deployment.Services {
		if service.Name == kind.Route.Splits[0].Service {
			return max(service.Stride, 1)
		}
	}
	return 1
}

// retryUntilAnswered sends a request and retries it as callers do: when the response guarantees
// that it was not run, or when it failed and its route allows it to be repeated.
func (f *routedFleet) retryUntilAnswered(request routedcaller.Request) {
	request.Deadline = f.clock.Now() + request.Kind.Deadline
	id := request.ID
	for attempt := 0; ; attempt++ {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		ended, pause := f.sendOnce(request)
		f.note(ended)
		isNotRun := routedcaller.IsNotRun(&ended)
		isFailure := request.Kind.Route.IsRepeatable() && routedcaller.IsFailure(&ended)
		if attempt >= request.Kind.MaxRetries || ended.Ending == checker.Canceled || !isNotRun && !isFailure {
			return
		}
		if f.clock.Now()+pause >= request.Deadline {
			return
		}
		timer := time.NewTimer(pause.Duration())
		<-timer.C
		request.WantsNewConnection = true
		request.RouterIndex++
	}
}

// route returns the router that the platform would route a caller to.
func (f *routedFleet) route(index int) *routedRouter {
	f.lock.Lock()
	defer f.lock.Unlock()
	ready := []*routedRouter{}
	for _, router := range f.routers {
		if !router.isDown && !router.isLeaving {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		ready = f.routers
	}
	return ready[index%len(ready)]
}

// keptRouterOneIn is how many requests there are for each one that goes to a router with an open connection even if the
// platform does not route to it any more.
const keptRouterOneIn = 3

// routeKept returns a stopping router to which a caller has an open connection, or nil.
func (f *routedFleet) routeKept(request *routedcaller.Request) *routedRouter {
	if request.WantsNewConnection || xxhash.Sum64String(request.ID)%keptRouterOneIn != 0 {
		return nil
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, router := range f.routers {
		if router.isLeaving && !router.isDown && len(f.idleConns[router.name]) > 0 {
			return router
		}
	}
	return nil
}

// connect returns an idle connection to a router, or a new one.
func (f *routedFleet) connect(router *routedRouter, wantsNew bool) (*callerConn, error) {
	if !wantsNew {
		f.lock.Lock()
		if list := f.idleConns[router.name]; len(list) > 0 {
			conn := list[len(list)-1]
			f.idleConns[router.name] = list[:len(list)-1]
			f.lock.Unlock()
			conn.isReused = true
			return conn, nil
		}
		f.lock.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	made, err := f.network.Dial(ctx, "tcp", router.name)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: made, reader: bufio.NewReader(made)}, nil
}

// sendOnce sends one request and returns how it ended and the delay before a retry.
func (f *routedFleet) sendOnce(request routedcaller.Request) (checker.RoutedEvent, kernel.Micros) {
	route := request.Kind.Route
	router := f.routeKept(&request)
	if router == nil {
		router = f.route(request.RouterIndex)
	}
	f.lock.Lock()
	services := append([]string(nil), f.services[route.Name]...)
	f.lock.Unlock()
	sent := request.Sent(router.name, services)
	ended := checker.RoutedEvent{EventKind: checker.AttemptEnded, ID: request.ID, Kind: route.Name, Router: router.name}
	conn, err := f.connect(router, request.WantsNewConnection)
	if err != nil {
		f.note(sent)
		ended.Ending, ended.Why = checker.NoAnswer, err.Error()
		return ended, 100 * ms
	}
	message := request.Message(routedWire, request.Deadline-f.clock.Now())
	f.note(sent)
	if _, err := conn.Write(message); err != nil {
		conn.Close()
		ended.Ending, ended.Why = checker.NoAnswer, err.Error()
		return ended, 50 * ms
	}
	conn.SetReadDeadline(time.Now().Add((request.Deadline - f.clock.Now() + 600*ms).Duration()))
	pause, canKeep := routedcaller.ResponseReader{Wire: routedWire, Clock: f.clock}.Receive(conn.reader, &request, &ended)
	if canKeep && conn.reader.Buffered() == 0 {
		conn.SetReadDeadline(time.Time{})
		f.lock.Lock()
		f.idleConns[router.name] = append(f.idleConns[router.name], conn)
		f.lock.Unlock()
		return ended, pause
	}
	if canKeep && conn.reader.Buffered() > 0 {
		ended.Ending, ended.Why = checker.Malformed, "bytes after the response"
	}
	conn.Close()
	return ended, pause
}
