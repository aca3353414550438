package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// The names of the services.
const (
	serviceText  = "text"
	servicePlain = "plain"
)

var enginesOf = map[string]int{serviceText: 4, servicePlain: 3}

const (
	healthPath  = "/healthz"
	engineSlots = 12
	engineQueue = 6
	eventTokens = 4
)

func services() []fleetconfig.Service {
	return []fleetconfig.Service{
		{Name: serviceText, HealthPath: healthPath, Slots: engineSlots, Stride: eventTokens, MaxConnections: 200, MemoryTokens: 90_000},
		{Name: servicePlain, HealthPath: healthPath, Slots: engineSlots, Stride: 1, MaxConnections: 200, MemoryTokens: 40_000},
	}
}

// engine is one incarnation of an engine: its model, its listener and its heartbeats.
type engine struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	model    *emulator.Model
	listener net.Listener
	stop     context.CancelFunc // stops its heartbeats
	context  context.Context

	lock            sync.Mutex // guards the fields below
	seq             uint64
	heartbeatRouter string // address that the last response named for heartbeats; empty: any node
	state           string
	isUnresponsive  bool // sends no heartbeats
	isFaulty        bool
	hasEnded        bool
}

// engineAddress returns an address that no engine has used before.
func (f *fleet) engineAddress() string {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.incarnations++
	return fmt.Sprintf("127.%d.2.%d:%d", f.settings.Network, f.incarnations%250+1, portEngine+f.incarnations/250)
}

// startEngine starts a new incarnation of an engine at an address.
func (f *fleet) startEngine(service, address string) error {
	listener, err := new(net.ListenConfig).Listen(f.context, "tcp", address)
	if err != nil {
		return RunError{"start an engine", err}
	}
	serviceConfig := services()[slices.IndexFunc(services(), func(s fleetconfig.Service) bool { return s.Name == service })]
	f.lock.Lock()
	f.incarnations++
	id := fmt.Sprintf("i-%d", f.incarnations)
	zone := fmt.Sprint("z", f.incarnations%zoneCount)
	f.lock.Unlock()
	e := &engine{fleet: f, id: id, service: service, zone: zone, address: address, listener: listener, state: platform.StateUp}
	e.model = emulator.NewModel(emulator.ModelSettings{
		ID: id, Service: service, Wire: platform.Wire(), HealthPath: healthPath, InstanceHeader: platform.InstanceHeader,
		Slots: serviceConfig.Slots, Queue: engineQueue, PrefillChunk: 512, Step: 4 * kernel.Millisecond, StepPerRequest: 100, PrefillTokensPerMs: 60,
		CacheTokens: int(serviceConfig.MemoryTokens), TokensPerEvent: serviceConfig.Stride, IdleTimeout: 5 * kernel.Second, MaxConns: serviceConfig.MaxConnections, CloseOneIn: 50,
		ReportsLoad: true, OnEvent: f.recordEvent,
	})
	e.context, e.stop = context.WithCancel(f.context)
	f.lock.Lock()
	f.engines = append(f.engines, e)
	f.lock.Unlock()
	f.work.Go(func() { e.model.Serve(listener) })
	f.work.Go(e.keepSendingHeartbeats)
	return nil
}

// end terminates the engine like a crash: it announces nothing and resets every connection.
func (e *engine) end() {
	e.lock.Lock()
	if e.hasEnded {
		e.lock.Unlock()
		return
	}
	e.hasEnded = true
	e.lock.Unlock()
	e.stop()
	closeQuietly(e.listener)
	e.model.Close()
}

// keepSendingHeartbeats sends heartbeats until the engine ends.
func (e *engine) keepSendingHeartbeats() {
	for {
		e.lock.Lock()
		isSilent := e.isUnresponsive || e.state != platform.StateUp
		e.lock.Unlock()
		if !isSilent {
			e.announceUp()
		}
		if !pause(e.context, heartbeatInterval) {
			return
		}
	}
}

func (e *engine) nextHeartbeat(state string) platform.Heartbeat {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.seq++
	return platform.Heartbeat{Service: e.service, Address: e.address, Zone: e.zone, Release: "v1", Slots: engineSlots, State: state, Seq: e.seq}
}

// heartbeatAttempts is how many times an engine tries to deliver a heartbeat.
const heartbeatAttempts = 5

// lateOneIn is the inverse share of heartbeats that are delivered a second time, seconds later.
const lateOneIn = 40

func (e *engine) announceUp() {
	heartbeat := e.nextHeartbeat(platform.StateUp)
	for range heartbeatAttempts {
		if e.sendHeartbeat(heartbeat) || e.context.Err() != nil {
			break
		}
	}
	if e.fleet.draw(lateOneIn) == 0 {
		late := kernel.Micros(1+e.fleet.draw(4)) * kernel.Second
		e.fleet.work.Go(func() {
			// A delayed duplicate may arrive after the engine that sent it has ended.
			if pause(e.fleet.context, late) {
				e.fleet.postHeartbeat(e.fleet.context, e.fleet.anyNode().address(portControl), e.id, heartbeat)
			}
		})
	}
}

// sendHeartbeat sends a heartbeat to the address that the last response named, or to a random node. It reports whether
// the heartbeat was acknowledged.
func (e *engine) sendHeartbeat(heartbeat platform.Heartbeat) bool {
	e.lock.Lock()
	address := e.heartbeatRouter
	e.lock.Unlock()
	if address == "" {
		address = e.fleet.anyNode().address(portControl)
	}
	isAcknowledged, heartbeatRouter := e.fleet.postHeartbeat(e.context, address, e.id, heartbeat)
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case !isAcknowledged:
		e.heartbeatRouter = ""
	case heartbeatRouter != "":
		e.heartbeatRouter = heartbeatRouter
	}
	return isAcknowledged
}

func (f *fleet) postHeartbeat(ctx context.Context, address, id string, heartbeat platform.Heartbeat) (isAcknowledged bool, heartbeatRouter string) {
	limit, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, heartbeatRouter, err := f.client.Heartbeat(limit, address, id, heartbeat)
	if err != nil {
		return false, ""
	}
	if answer.Status >= 400 && answer.Status < 500 {
		f.problem("a heartbeat of %s was refused with %d by %s: %s", id, answer.Status, address, answer.Body)
	}
	return answer.IsAcknowledged(), heartbeatRouter
}

// leaveSpan is how long an engine retries to announce its drain or removal.
const leaveSpan = 6 * kernel.Second

// drain stops an engine gracefully. It announces either a drain and later its removal, or only its removal.
func (e *engine) drain(announcesDrain bool) {
	e.setState(platform.StateDraining)
	e.model.Drain()
	announce := func() bool { return e.remove() }
	if announcesDrain {
		announce = func() bool { return e.sendHeartbeat(e.nextHeartbeat(platform.StateDraining)) }
	}
	isKnown := e.retryUntilAcknowledged(announce)
	if !isKnown {
		e.fleet.recordEvent(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: e.id})
	}
	// The engine keeps serving for the drain timeout and a little longer.
	if !pause(e.context, drainTimeout+kernel.Second/2) {
		return
	}
	if announcesDrain {
		e.retryUntilAcknowledged(e.remove)
	}
	e.end()
}

// retryUntilAcknowledged repeats an announcement until it is acknowledged, and then records that the drain is known. It
// reports whether that happened within leaveSpan.
func (e *engine) retryUntilAcknowledged(announce func() bool) bool {
	until := e.fleet.clock.Now() + leaveSpan
	for e.fleet.clock.Now() < until && e.context.Err() == nil {
		if announce() {
			e.fleet.recordEvent(checker.RoutedEvent{EventKind: checker.DrainAcknowledged, Engine: e.id})
			return true
		}
		pause(e.context, 100*kernel.Millisecond)
	}
	return false
}

// remove announces the removal of the engine and reports whether that was acknowledged.
func (e *engine) remove() bool {
	limit, cancel := context.WithTimeout(e.context, time.Second)
	defer cancel()
	answer, err := e.fleet.client.Remove(limit, e.fleet.anyNode().address(portControl), e.id)
	return err == nil && answer.IsAcknowledged()
}

// pickEngine draws a healthy engine that is not the last healthy one of its service, and marks it as faulty. It returns
// nil if there is none.
func (f *fleet) pickEngine() *engine {
	f.lock.Lock()
	defer f.lock.Unlock()
	healthy := []*engine{}
	for _, e := range f.engines {
		e.lock.Lock()
		if !e.hasEnded && !e.isFaulty && e.state == platform.StateUp {
			healthy = append(healthy, e)
		}
		e.lock.Unlock()
	}
	healthy = slices.DeleteFunc(healthy, func(e *engine) bool {
		return !slices.ContainsFunc(healthy, func(other *engine) bool { return other != e && other.service == e.service })
	})
	if len(healthy) == 0 {
		return nil
	}
	chosen := healthy[f.random.IntN(len(healthy))]
	chosen.lock.Lock()
	chosen.isFaulty = true
	chosen.lock.Unlock()
	return chosen
}

func (e *engine) setState(state string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.state = state
}

func (e *engine) setFaulty(isFaulty, isUnresponsive bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.isFaulty, e.isUnresponsive = isFaulty, isUnresponsive
}

// endEngines ends every remaining engine.
func (f *fleet) endEngines() {
	f.lock.Lock()
	engines := slices.Clone(f.engines)
	f.lock.Unlock()
	for _, e := range engines {
		e.end()
	}
}
