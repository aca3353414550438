package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// operateEngine simulates an engine that sends a heartbeat about every second to the node named by the last answer,
// and tries the next node when a heartbeat is not acknowledged.
func (f *fleet) operateEngine(id, zone string, until kernel.Micros) {
	engine := &persistentEngine{fleet: f, id: id, zone: zone, at: f.nodes[0], until: until}
	engine.heartbeat()
}

type persistentEngine struct {
	*fleet
	id, zone   string
	at         *fleetNode
	nextIndex  int
	heartbeats uint64
	until      kernel.Micros
}

const (
	heartbeatInterval      = kernel.Second
	heartbeatAnswerTimeout = 950 * ms // how long an engine waits for an acknowledgement
)

func (e *persistentEngine) heartbeat() {
	if e.now >= e.until {
		return
	}
	e.heartbeats++
	e.lastStart++
	token, startedAt := e.lastStart<<20, e.now
	record := engineAt(e.id, e.zone, e.heartbeats)
	record.Address = fmt.Sprintf("10.9.0.%s:80", e.id)
	if e.at.isUp {
		e.register(e.at, token, record)
	}
	answer, isThere := e.registerReplies[token]
	if isThere && answer.Err == nil {
		for _, n := range e.nodes {
			if n.identity.Public == answer.HeartbeatTo {
				e.at = n
			}
		}
		e.schedule(heartbeatInterval, e.heartbeat)
		return
	}
	e.nextIndex++
	e.at = e.nodes[e.nextIndex%len(e.nodes)]
	pause := 50 * ms
	if !isThere {
		pause = heartbeatAnswerTimeout
	}
	e.schedule(max(startedAt+pause-e.now, 0), e.heartbeat)
}

// The coordinator of a zone is partitioned from the fleet but not from the engines that send it heartbeats. It
// rejects their heartbeats, so that they turn to other nodes and stay known there.
func TestEnginesOfAnIsolatedCoordinatorStayKnown(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := steadyCore(c, 6)
		coordinator := f.byAddress(f.nodes[0].node.coordinator())
		f.operateEngine("1", coordinator.identity.Zone, f.now+60*kernel.Second)
		f.advance(3 * kernel.Second)
		coordinator.cutFrom(way, f.nodes...)
		samples, unresponsive := 0, 0
		for range 200 {
			f.advance(100 * ms)
			for _, n := range f.nodes {
				if n == coordinator {
					continue
				}
				samples++
				if n.engine("1").IsUnresponsive {
					unresponsive++
				}
			}
		}
		c.Check(unresponsive, qt.Equals, 0, qt.Commentf("%v: unresponsive in %d of %d samples", way, unresponsive, samples))
		f.heal()
		f.advance(4 * kernel.Second)
		c.Check(f.allRecordsMatch("1", func(engine registry.EngineRecord) bool { return !engine.IsUnresponsive && engine.Address != "" }), qt.IsTrue)
	}
}
