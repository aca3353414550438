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

// Services, and how many engines each has.
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

// engine is one life of an engine: its model, its listener and its beats.
type engine struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	model    *emulator.Model
	listener net.Listener
	stop     context.CancelFunc // of its beats
	context  context.Context

	lock            sync.Mutex // guards all that follows
	seq             uint64
	heartbeatRouter string
	state           string
	isUnresponsive  bool // sends no beats
	isFaulty        bool
	hasEnded        bool
}

// engineAddress gives an address that no engine has had.
func (f *fleet) engineAddress() string {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.incarnations++
	return fmt.Sprintf("127.%d.2.%d:%d", f.settings.Network, f.incarnations%250+1, portEngine+f.incarnations/250)
}

// startEngine begins a life of an engine at an address.
func (f *fleet) startEngine(service, address string) error {
	listener, err := new(net.ListenConfig).Listen(f.context, "tcp", address)
	if err != nil {
		return RunError{"start an engine", err}
	}
	said := services()[slices.IndexFunc(services(), func(s fleetconfig.Service) bool { return s.Name == service })]
	f.lock.Lock()
	f.incarnations++
	id := fmt.Sprintf("i-%d", f.incarnations)
	zone := fmt.Sprint("z", f.incarnations%zoneCount)
	f.lock.Unlock()
	e := &engine{fleet: f, id: id, service: service, zone: zone, address: address, listener: listener, state: platform.StateUp}
	e.model = emulator.NewModel(emulator.ModelSettings{
		ID: id, Service: service, Wire: platform.Wire(), HealthPath: healthPath, InstanceHeader: platform.InstanceHeader,
		Slots: said.Slots, Queue: engineQueue, PrefillChunk: 512, Step: 4 * kernel.Millisecond, StepPerRequest: 100, PrefillTokensPerMs: 60,
		CacheTokens: int(said.MemoryTokens), TokensPerEvent: said.Stride, IdleTimeout: 5 * kernel.Second, MaxConns: said.MaxConnections, CloseOneIn: 50,
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

// end ends the engine as a crash does: without a word, every connection reset.
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

// keepSendingHeartbeats sends beats until the engine ends.
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

// heartbeatRetries is how many nodes an engine asks in a row.
const heartbeatRetries = 5

// lateOneIn of the beats come a second time, seconds later.
const lateOneIn = 40

func (e *engine) announceUp() {
	heartbeat := e.nextHeartbeat(platform.StateUp)
	for range heartbeatRetries {
		if e.sendHeartbeat(heartbeat) || e.context.Err() != nil {
			break
		}
	}
	if e.fleet.draw(lateOneIn) == 0 {
		late := kernel.Micros(1+e.fleet.draw(4)) * kernel.Second
		e.fleet.work.Go(func() {
			// On its way it may outlive the engine that sent it.
			if pause(e.fleet.context, late) {
				e.fleet.postHeartbeat(e.fleet.context, e.fleet.anyNode().address(portControl), e.id, heartbeat)
			}
		})
	}
}

// sendHeartbeat sends a beat to where the last answer led, or to any node; true: it was acknowledged.
func (e *engine) sendHeartbeat(heartbeat platform.Heartbeat) bool {
	e.lock.Lock()
	address := e.heartbeatRouter
	e.lock.Unlock()
	if address == "" {
		address = e.fleet.anyNode().address(portControl)
	}
	isTaken, beatTo := e.fleet.postHeartbeat(e.context, address, e.id, heartbeat)
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case !isTaken:
		e.heartbeatRouter = ""
	case beatTo != "":
		e.heartbeatRouter = beatTo
	}
	return isTaken
}

func (f *fleet) postHeartbeat(ctx context.Context, address, id string, heartbeat platform.Heartbeat) (isTaken bool, beatTo string) {
	limit, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, beatTo, err := f.client.Heartbeat(limit, address, id, heartbeat)
	if err != nil {
		return false, ""
	}
	if answer.Status >= 400 && answer.Status < 500 {
		f.problem("a beat of %s was refused with %d by %s: %s", id, answer.Status, address, answer.Body)
	}
	return answer.IsAcknowledged(), beatTo
}

// leaveSpan is how long an engine tries to have its leaving acknowledged.
const leaveSpan = 6 * kernel.Second

// drain ends an engine in order: with a drain before the end, or with the word of its end first.
func (e *engine) drain(saysDrain bool) {
	e.setState(platform.StateDraining)
	e.model.Drain()
	tell := func() bool { return e.remove() }
	if saysDrain {
		tell = func() bool { return e.sendHeartbeat(e.nextHeartbeat(platform.StateDraining)) }
	}
	isKnown := e.retryUntilAcknowledged(tell)
	if !isKnown {
		e.fleet.recordEvent(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: e.id})
	}
	// It serves on for as long as it promised, and a little longer.
	if !pause(e.context, drainTimeout+kernel.Second/2) {
		return
	}
	if saysDrain {
		e.retryUntilAcknowledged(e.remove)
	}
	e.end()
}

// retryUntilAcknowledged repeats a word until it is acknowledged, and notes that the end of the engine is known.
func (e *engine) retryUntilAcknowledged(tell func() bool) bool {
	until := e.fleet.clock.Now() + leaveSpan
	for e.fleet.clock.Now() < until && e.context.Err() == nil {
		if tell() {
			e.fleet.recordEvent(checker.RoutedEvent{EventKind: checker.DrainAcknowledged, Engine: e.id})
			return true
		}
		pause(e.context, 100*kernel.Millisecond)
	}
	return false
}

// remove says that the engine is gone; true: that was acknowledged.
func (e *engine) remove() bool {
	limit, cancel := context.WithTimeout(e.context, time.Second)
	defer cancel()
	answer, err := e.fleet.client.Remove(limit, e.fleet.anyNode().address(portControl), e.id)
	return err == nil && answer.IsAcknowledged()
}

// anEngine draws an engine that is well and not the last one of its service, and marks it as in trouble.
func (f *fleet) anEngine() *engine {
	f.lock.Lock()
	defer f.lock.Unlock()
	well := []*engine{}
	for _, e := range f.engines {
		e.lock.Lock()
		if !e.hasEnded && !e.isFaulty && e.state == platform.StateUp {
			well = append(well, e)
		}
		e.lock.Unlock()
	}
	well = slices.DeleteFunc(well, func(e *engine) bool {
		return !slices.ContainsFunc(well, func(other *engine) bool { return other != e && other.service == e.service })
	})
	if len(well) == 0 {
		return nil
	}
	chosen := well[f.random.IntN(len(well))]
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

// endEngines ends every engine that is left.
func (f *fleet) endEngines() {
	f.lock.Lock()
	engines := slices.Clone(f.engines)
	f.lock.Unlock()
	for _, e := range engines {
		e.end()
	}
}
