package control

import (
	"fmt"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// operateEngine has an engine beat about every second at the node that the last answer named, and
// go on to the next node where it is not acknowledged.
func (f *fleet) operateEngine(id, zone string, until kernel.Micros) {
	engine := &persistentEngine{fleet: f, id: id, zone: zone, at: f.nodes[0], until: until}
	engine.beat()
}

type persistentEngine struct {
	*fleet
	id, zone string
	at       *fleetNode
	turn     int
	beats    uint64
	until    kernel.Micros
}

const (
	beatSpan   = kernel.Second
	beatAnswer = 950 * ms // for which it waits
)

func (e *persistentEngine) beat() {
	if e.now >= e.until {
		return
	}
	e.beats++
	e.start++
	token, begun := e.start<<20, e.now
	record := engineAt(e.id, e.zone, e.beats)
	record.Address = fmt.Sprintf("10.9.0.%s:80", e.id)
	if e.at.isUp {
		e.register(e.at, token, record)
	}
	answer, isThere := e.answers[token]
	if isThere && answer.Err == nil {
		for _, n := range e.nodes {
			if n.identity.Public == answer.BeatTo {
				e.at = n
			}
		}
		e.in(beatSpan, e.beat)
		return
	}
	e.turn++
	e.at = e.nodes[e.turn%len(e.nodes)]
	pause := 50 * ms
	if !isThere {
		pause = beatAnswer
	}
	e.in(max(begun+pause-e.now, 0), e.beat)
}

// The home of a zone is cut off from the fleet, and not from the engines that beat there. It sends
// them on, so that the others go on to know them.
func TestEnginesOfAnIsolatedHomeStayKnown(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := settledCore(c, 6)
		home := f.byAddress(f.nodes[0].node.home())
		f.operateEngine("1", home.identity.Zone, f.now+60*kernel.Second)
		f.pass(3 * kernel.Second)
		home.cutFrom(way, f.nodes...)
		looks, dark := 0, 0
		for range 200 {
			f.pass(100 * ms)
			for _, n := range f.nodes {
				if n == home {
					continue
				}
				looks++
				if n.engine("1").IsDark {
					dark++
				}
			}
		}
		c.Check(dark, qt.Equals, 0, qt.Commentf("%v: dark at %d looks of %d", way, dark, looks))
		f.heal()
		f.pass(4 * kernel.Second)
		c.Check(f.allKnow("1", func(engine EngineRecord) bool { return !engine.IsDark && engine.Address != "" }), qt.IsTrue)
	}
}
