package control

import (
	"fmt"
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// Founding by the three seeds, the strict way.

type musterNote struct {
	at    kernel.Micros
	reply MusterReply
}

// found makes the first document, if every founder is there and empty. The
// lowest address does it, so that there is only one who may.
func (c *Core) found() {
	if c.settings.Founding != FoundersAreSeeds || c.doc != nil || !c.settings.HasFolder || c.now < c.musterTimer {
		return
	}
	founders := slices.Clone(c.settings.Founders)
	sort.Strings(founders)
	if len(founders) == 0 || founders[0] != c.settings.Self.Address {
		return
	}
	c.musterTimer = c.now + 3*c.settings.Timing.Heartbeat
	voters := []Member{c.settings.Self}
	for _, address := range founders[1:] {
		c.send(address, Message{Muster: &Muster{}})
		note, isThere := c.mustered[address]
		if isThere && c.now-note.at < kernel.Second && note.reply.IsEmpty && note.reply.HasFolder {
			voters = append(voters, note.reply.Member)
		}
	}
	if len(voters) < len(founders) {
		return
	}
	first := &Document{
		Founding: digestOf([]byte(fmt.Sprint(c.settings.Random.Uint64(), c.settings.Random.Uint64()))),
		Revision: 1, Term: 1, Voters: voters, Homes: map[string]string{}, Drained: map[string]uint64{},
	}
	c.note("core", "found", "all %d founders are there and empty", len(founders))
	c.term = max(c.term, 1)
	c.save(first, func() { c.startElection(true, false) })
	c.doc = first
}
