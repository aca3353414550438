package control

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// catchUpTable makes TestCatchUpTable measure and print the table of docs/measurements/catch-up.md.
var catchUpTable = flag.Bool("catch-up-table", false, "measure the catch-up table (many minutes)")

// catchUpSeeds is the number of seeds for each row. A row gives the median, the minimum and the maximum over them.
var catchUpSeeds = flag.Int("catch-up-seeds", 3, "seeds of each row of the catch-up table")

// catchUpCase is one run in which a member is down during a number of changes, several times in a row.
type catchUpCase struct {
	name            string
	configBytes     int
	changeInterval  kernel.Micros
	initialChanges  int // changes before the member goes down for the first time
	missedChanges   []int
	changesContinue bool // changes continue while it catches up
	isWiped         bool // it returns with an empty disk
	injectDiskFault func(s *throttledFleet, n *fleetNode)
	diskFaultSpan   kernel.Micros // how long the disk fault lasts after the member's start
}

// catchUp is the measurement of one return of a member that was down.
type catchUp struct {
	missedChanges  int
	timeToCurrent  kernel.Micros // until the member's disk held the revision that was committed at its return
	timeToComplete kernel.Micros // until it also held as much history as it has room for; zero: not measured
	bytes          int           // bytes that the member received during the measurement
	maxQueued      int           // the most bytes queued at one sender for one receiver
	diskPeak       int           // the most bytes on its disk
}

// linkTime is the time that a link of 10 Mbit/s takes for the bytes.
func (r catchUp) linkTime() kernel.Micros {
	return kernel.Micros(float64(r.bytes) / linkOf10Mbit * 1e6)
}

// run executes the case and returns a measurement for each entry of missedChanges. The changes that the member misses
// are made with fast links and processors, so that they take little time.
func (p catchUpCase) run(c *qt.C, seed uint64) []catchUp {
	s := newThrottledFleet(c, seed, p.configBytes, p.changeInterval, func(int) machine { return smallMachine() })
	s.setSpeed(1e9/8, 4)
	s.bootstrapAndStabilize()
	s.changeInterval = 0
	s.submitChanges(1 << 30)
	s.awaitChanges(p.initialChanges, 3600*kernel.Second)
	results := []catchUp{}
	for _, missedChanges := range p.missedChanges {
		n := s.follower()
		if p.isWiped {
			n.wipe()
			s.resources[n].disk = &memoryDisk{files: map[string][]byte{}, capacity: s.resources[n].disk.capacity}
		} else {
			n.kill()
		}
		s.awaitChanges(s.changes+missedChanges, 3600*kernel.Second)
		s.isPaused = true
		s.advance(3 * kernel.Second)
		s.setSpeed(linkOf10Mbit, 0.19)
		s.changeInterval, s.isPaused = p.changeInterval, !p.changesContinue
		results = append(results, p.measureReturn(s, n, missedChanges))
		s.isPaused = true
		s.advance(5 * kernel.Second)
		s.setSpeed(1e9/8, 4)
		s.changeInterval, s.isPaused = 0, false
	}
	return results
}

func (p catchUpCase) measureReturn(s *throttledFleet, n *fleetNode, missedChanges int) catchUp {
	s.c.Helper()
	e := s.resources[n]
	for _, other := range s.resources {
		other.maxQueued = 0
	}
	e.received, e.disk.peak = 0, 0
	wanted := s.leader().node.core.committed.Revision
	if p.injectDiskFault != nil {
		p.injectDiskFault(s, n)
	}
	n.boot()
	s.advance(p.diskFaultSpan)
	begun := s.now
	s.await("the member to be current", 600*kernel.Second, func() bool { return n.isUp && n.node.core.synced.Revision >= wanted })
	result := catchUp{missedChanges: missedChanges, timeToCurrent: s.now - begun}
	if !p.changesContinue {
		s.await("the member to be healthy", 600*kernel.Second, func() bool { return s.isHealthy(n) })
		result.timeToComplete = s.now - begun
	}
	result.bytes, result.diskPeak = e.received, e.disk.peak
	for _, other := range s.nodes {
		result.maxQueued = max(result.maxQueued, s.resources[other].maxQueued)
	}
	return result
}

// setSpeed sets the speed of every link and core.
func (s *throttledFleet) setSpeed(bytesPerSecond, cores float64) {
	for _, e := range s.resources {
		e.bytesPerSecond, e.cores = bytesPerSecond, cores
	}
}

// follower returns a voter that is not the leader.
func (s *throttledFleet) follower() *fleetNode {
	lead := s.leader()
	for _, n := range s.nodes[:4] {
		if n != lead {
			return n
		}
	}
	return nil
}

func slowDisk(s *throttledFleet, n *fleetNode) { s.resources[n].diskFactor = 30 }

const diskFault = 5 * kernel.Second

func catchUpCases() []catchUpCase {
	cases := []catchUpCase{}
	for _, size := range []int{16 << 10, 256 << 10, 1 << 20} {
		name := fmt.Sprintf("%d KB", size>>10)
		usual := catchUpCase{configBytes: size, changeInterval: kernel.Second, initialChanges: 899, missedChanges: []int{1000, 100, 1}}
		if size > 16<<10 {
			// The store's size bound has room for fewer configurations than the 64 in a document's chain, so more
			// missed changes would not increase what the member has to receive.
			usual.initialChanges, usual.missedChanges = 99, []int{100, 1}
		}
		after, during, frequent := usual, usual, usual
		after.name = name + ", after the changes"
		during.name, during.changesContinue = name+", a change each second", true
		frequent.name, frequent.changesContinue, frequent.changeInterval = name+", a change each 0.1 s", true, 100*ms
		cases = append(cases, after, during, frequent)
	}
	for _, size := range []int{16 << 10, 256 << 10} {
		usual := catchUpCase{configBytes: size, changeInterval: kernel.Second, initialChanges: 99, missedChanges: []int{100}}
		slow, stalled, full, wiped := usual, usual, usual, usual
		name := fmt.Sprintf("%d KB", size>>10)
		slow.name, slow.injectDiskFault = name+", a disk 30 times as slow", slowDisk
		stalled.name, stalled.diskFaultSpan = name+", after 5 s on a stalled disk", diskFault
		stalled.injectDiskFault = func(s *throttledFleet, n *fleetNode) { s.stallDisk(n, diskFault) }
		full.name, full.diskFaultSpan = name+", after 5 s on a full disk", diskFault
		full.injectDiskFault = func(s *throttledFleet, n *fleetNode) { s.fillDisk(n, diskFault) }
		wiped.name, wiped.isWiped = name+", an empty disk", true
		cases = append(cases, slow, stalled, full, wiped)
	}
	return cases
}

// TestCatchUpTable prints the table, with the median, the minimum and the maximum over the seeds.
func TestCatchUpTable(t *testing.T) {
	t.Parallel()
	if !*catchUpTable {
		t.Skip("a measurement, run with -catch-up-table")
	}
	for _, each := range catchUpCases() {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			rows := map[int][]catchUp{}
			for seed := range uint64(*catchUpSeeds) {
				for _, result := range each.run(qt.New(t), seed) {
					rows[result.missedChanges] = append(rows[result.missedChanges], result)
				}
			}
			for _, missedChanges := range each.missedChanges {
				fmt.Println(tableRow(each.name, missedChanges, rows[missedChanges]))
			}
		})
	}
}

func tableRow(name string, missedChanges int, of []catchUp) string {
	spread := func(value func(catchUp) float64, form string) string {
		found := []float64{}
		for _, result := range of {
			found = append(found, value(result))
		}
		slices.Sort(found)
		return fmt.Sprintf(form+" ("+form+" to "+form+")", found[len(found)/2], found[0], found[len(found)-1])
	}
	seconds := func(value func(catchUp) kernel.Micros) string {
		return spread(func(r catchUp) float64 { return float64(value(r)) / 1e6 }, "%.2f")
	}
	megabytes := func(value func(catchUp) int) string {
		return spread(func(r catchUp) float64 { return float64(value(r)) / (1 << 20) }, "%.2f")
	}
	cells := []string{name, strconv.Itoa(missedChanges), seconds(func(r catchUp) kernel.Micros { return r.timeToCurrent })}
	if of[0].timeToComplete > 0 {
		cells = append(cells, seconds(func(r catchUp) kernel.Micros { return r.timeToComplete }), seconds(func(r catchUp) kernel.Micros { return r.timeToComplete - r.linkTime() }))
	} else {
		cells = append(cells, "-", "-")
	}
	cells = append(cells, megabytes(func(r catchUp) int { return r.bytes }), megabytes(func(r catchUp) int { return r.maxQueued }), megabytes(func(r catchUp) int { return r.diskPeak }))
	return "| " + strings.Join(cells, " | ") + " |"
}
