package soak

import (
	"math/rand/v2"

	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
)

// Steps in which all processes stop right after the drain or removal of an engine was acknowledged.

const (
	maxStops           = 3 // of all processes, in a row
	maxStopDelay       = 400 * ms
	maxLateHeartbeats  = 4
	lateHeartbeatSpan  = 2 * contactTimeout // after the last start, within which late heartbeats arrive
	departureServeSpan = 3 * contactTimeout // how long the engine serves on after the last start
)

// replaceEngine picks an engine that is to leave, and starts its successor.
func (f *fleet) replaceEngine() (*engine, error) {
	leaving := f.pickEngine()
	if leaving == nil {
		return nil, errNoEngine
	}
	if err := f.startEngine(leaving.service, f.engineAddress()); err != nil {
		return nil, err
	}
	pause(f.context, kernel.Second)
	return leaving, nil
}

// stopAll ends and starts all processes in a step, and calls afterStart after each start.
type stopAll func(f *fleet, s step, random *rand.Rand, afterStart func()) error

// stopAtDeparture returns a step in which all processes are ended as soon as the drain or removal of an engine is
// acknowledged. Heartbeats that the engine sent before arrive late, at any node and at any time after that. The engine
// continues to serve.
func stopAtDeparture(stop stopAll) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		e, err := f.replaceEngine()
		if err != nil {
			return err
		}
		late := []platform.Heartbeat{}
		for range 1 + random.IntN(maxLateHeartbeats) {
			late = append(late, e.nextHeartbeat(platform.StateUp))
		}
		announce := e.remove
		if s.index%2 == 0 {
			announce = func() bool { return e.sendHeartbeat(e.nextHeartbeat(platform.StateDraining)) }
		}
		e.setState(platform.StateDraining)
		if !e.retryUntilAcknowledged(announce) {
			e.end()
			return SkippedError{"the drain of the engine was not acknowledged"}
		}
		if err := stop(f, s, random, func() { e.deliverLate(random, late) }); err != nil {
			return err
		}
		pause(f.context, departureServeSpan)
		e.end()
		return nil
	}
}

// stopSeveralTimes returns a stop of all processes, once or several times in a row, the first time at once or after a
// moment.
func stopSeveralTimes(end func(*fleet, *node) error) stopAll {
	return func(f *fleet, s step, random *rand.Rand, afterStart func()) error {
		defer f.recordFault(s, "", "")()
		for stop := range 1 + random.IntN(maxStops) {
			if stop > 0 || random.IntN(2) == 0 {
				pause(f.context, kernel.Micros(random.Int64N(int64(maxStopDelay))))
			}
			if err := f.endAll(f.members(), s.span/4, func(n *node) error { return end(f, n) }); err != nil {
				return err
			}
			afterStart()
		}
		return nil
	}
}

// loseDisksOnce loses as many disks as are tolerated while all other nodes lose power.
func loseDisksOnce(f *fleet, s step, random *rand.Rand, afterStart func()) error {
	if !f.canLoseDisk() {
		return errDiskNeeded
	}
	defer f.recordFault(s, "", "")()
	if err := f.endAll(f.members(), s.span/4, f.losePowerAndDisks(f.pickDisks(f.context, random))); err != nil {
		return err
	}
	afterStart()
	return nil
}

// deliverLate delivers heartbeats that the engine sent earlier, each at a random node and time.
func (e *engine) deliverLate(random *rand.Rand, heartbeats []platform.Heartbeat) {
	for _, heartbeat := range heartbeats {
		delay := kernel.Micros(random.Int64N(int64(lateHeartbeatSpan)))
		e.fleet.work.Go(func() {
			if pause(e.fleet.context, delay) {
				e.fleet.postHeartbeat(e.fleet.context, e.fleet.anyNode().address(portControl), e.id, heartbeat)
			}
		})
	}
}
