package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// What the leader tends by itself: the register of routers, homes, marks of leaving engines.

type sighting struct {
	at       kernel.Micros
	applied  uint64
	held     uint64 // at least what is applied
	zone     string
	isRouter bool
}

func (c *Core) tendRegister(next *Document, reasons *[]string) {
	// A register may change only once a majority of the last one knows of the last change.
	// Where replies do not count it, nothing hangs on that.
	isCounted := c.settings.AckRule != Spread
	if isCounted && !c.isSettled() {
		return
	}
	changed := slices.Clone(next.Register)
	for _, address := range slices.Sorted(maps.Keys(c.seen)) {
		seen := c.seen[address]
		if seen.isRouter && c.now-seen.at < 2*kernel.Second && !slices.Contains(changed, address) {
			changed = append(changed, address)
			*reasons = append(*reasons, "router registered: "+address)
		}
	}
	if len(changed) == len(next.Register) && c.now-c.leadSince > c.settings.Timing.Strike {
		for i := 0; i < len(changed); i++ {
			address := changed[i]
			seen := c.seen[address]
			if seen == nil || c.now-seen.at > c.settings.Timing.Strike {
				changed = slices.Delete(changed, i, i+1)
				*reasons = append(*reasons, "router struck off: "+address)
				// One at a time, so that each step is applied by a majority before the next.
				if isCounted {
					break
				}
				i--
			}
		}
	}
	if len(changed) != len(next.Register) {
		next.PriorRegister, next.RegisterSince = next.Register, next.Revision
		next.Register = sorted(changed)
	}
}

func (c *Core) tendHomes(next *Document, reasons *[]string) {
	nodes := map[string][]string{}
	for _, address := range slices.Sorted(maps.Keys(c.seen)) {
		if seen := c.seen[address]; c.now-seen.at < c.settings.Timing.HomeSilent {
			nodes[seen.zone] = append(nodes[seen.zone], address)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(nodes)) {
		home := next.Homes[zone]
		if named := c.successors[zone]; named != "" && named != home {
			delete(c.successors, zone)
			next.Homes[zone] = named
			*reasons = append(*reasons, "home of "+zone+": "+named+", named by "+home)
			c.homeSeen[zone] = c.now
			continue
		}
		lastSeen, isSeen := c.homeSeen[zone]
		if !isSeen {
			lastSeen = c.leadSince
		}
		if home != "" && c.now-lastSeen < c.settings.Timing.HomeSilent {
			continue
		}
		for _, address := range nodes[zone] {
			if address != home {
				next.Homes[zone] = address
				c.homeSeen[zone] = c.now
				why := "the last fell silent"
				if home == "" {
					why = "the zone had none"
				}
				*reasons = append(*reasons, "home of "+zone+": "+address+", "+why)
				break
			}
		}
	}
}

// LearnedMark is a leaving engine that the fleet heard of from the engine or the list.
type LearnedMark struct {
	Engine string
	Start  uint64
}

// Learn takes the leaving engines that the leader's node knows of. Those that said so
// themselves live in memory only, and would be forgotten with the whole fleet while
// the platform's list still names them as serving.
func (c *Core) Learn(marks []LearnedMark) {
	if c.role == leader {
		c.marks = marks
	}
}

func (c *Core) tendMarks(next *Document, reasons *[]string) {
	for _, mark := range c.marks {
		if known, isThere := next.Leaving[mark.Engine]; !isThere || known.Start < mark.Start {
			next.markLeaving(mark.Engine, mark.Start)
			*reasons = append(*reasons, "engine leaving: "+mark.Engine)
		}
	}
	c.marks = nil
}
