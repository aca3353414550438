package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/kernel"
)

// Spans of a founding.
const (
	announceEvery = 100 * kernel.Millisecond
	announceFresh = kernel.Second
	announceQuiet = 400 * kernel.Millisecond // since the last newcomer
)

type announced struct {
	member Member
	at     kernel.Micros
}

// founder is a node's part in founding a fleet whose seeds may have no folder. Members
// announce themselves to the seed with the lowest address; this one alone names the
// founders, after every seed has promised to stand by its founding and no other.
type founder struct {
	seeds   []string
	decider string
	// standsBy is the founding promised to, or seen in any message: there is no other.
	standsBy string

	timer kernel.Micros
	// At the decider.
	members map[MemberID]announced
	grownAt kernel.Micros
	own     string // the founding it asks for
	agreed  map[string]bool
	first   *Document
	isNoted bool
}

func newFounder(seeds []string, self string) *founder {
	f := &founder{seeds: slices.Clone(seeds), members: map[MemberID]announced{}, agreed: map[string]bool{}}
	if len(f.seeds) == 0 {
		f.seeds = []string{self}
	}
	f.decider = slices.Min(f.seeds)
	return f
}

// stand holds to the first founding that is seen.
func (f *founder) stand(founding string) {
	if f.standsBy == "" {
		f.standsBy = founding
	}
}

func (n *Node) isEmptyMember() bool {
	return n.core != nil && n.settings.HasFolder && n.core.doc == nil && n.settings.Bootstrap
}

func (n *Node) onFounding(from string, m Message) {
	f := n.founder
	if f == nil {
		return
	}
	if mine := n.founding(); mine != "" {
		f.standsBy = mine
	}
	switch {
	case m.Announce != nil:
		member := m.Announce.Member
		if _, isKnown := f.members[member.ID]; !isKnown {
			f.grownAt = n.now
		}
		// One that lost its folder meanwhile is another member at the same address.
		for id, known := range f.members {
			if known.member.Address == member.Address && id != member.ID {
				delete(f.members, id)
			}
		}
		f.members[member.ID] = announced{member, n.now}
	case m.FoundAsk != nil:
		f.stand(m.FoundAsk.Founding)
		n.send(from, Message{FoundReply: &FoundReply{f.standsBy}})
	case m.FoundReply != nil:
		if f.own == "" {
			return
		}
		if m.FoundReply.Founding == f.own {
			f.agreed[from] = true
		} else if !f.isNoted {
			f.isNoted = true
			n.note("core", "found nothing", fmt.Sprintf("%s stands by another founding", from))
		}
	case m.Found != nil:
		document := m.Found.Document
		if document == nil || !n.isEmptyMember() || f.standsBy != "" && f.standsBy != document.Founding {
			return
		}
		if _, isIn := document.voter(n.settings.Member); !isIn {
			return
		}
		f.standsBy = document.Founding
		n.core.begin(document)
	}
}

// begin takes the first document of a fleet; a member that holds any takes none.
func (c *Core) begin(first *Document) {
	if c.doc != nil || !c.settings.HasFolder {
		return
	}
	c.term = max(c.term, first.Term)
	c.note("core", "found", "among %d founders", len(first.Voters))
	c.doc = first
	c.save(first, func() {
		// One stands at once, so that they need not split their votes.
		if first.Voters[0].ID == c.settings.Self.ID && c.role == follower {
			c.startElection(true, false)
		}
	})
}

func (n *Node) tickFounding() {
	f := n.founder
	// Once a document is in force nothing is left to do; until then the founders may not
	// have heard.
	if f == nil || !n.settings.Bootstrap || n.lease.applied != nil || n.now < f.timer {
		return
	}
	f.timer = n.now + announceEvery
	if n.isEmptyMember() {
		n.send(f.decider, Message{Announce: &Announce{n.core.settings.Self}})
	}
	if f.decider != n.self() {
		return
	}
	if f.first != nil {
		n.sendFounding()
		return
	}
	fresh := []Member{}
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		if n.now-f.members[id].at > announceFresh {
			delete(f.members, id)
			continue
		}
		fresh = append(fresh, f.members[id].member)
	}
	if len(fresh) == 0 || n.now-f.grownAt < announceQuiet {
		return
	}
	if f.own == "" {
		f.own = digestOf([]byte(fmt.Sprint(n.random.Uint64(), n.random.Uint64(), n.settings.Start)))
	}
	// All of them, not a majority: a decider that restarts has forgotten what it named, and
	// so may one more; while any of them remembers, nothing else is founded.
	for _, seed := range f.seeds {
		if !f.agreed[seed] {
			n.send(seed, Message{FoundAsk: &FoundAsk{f.own}})
		}
	}
	if len(f.agreed) < len(f.seeds) {
		return
	}
	least := n.settings.Voters
	if least == 0 {
		least = voterCount
	}
	f.first = &Document{
		Founding: f.own, Revision: 1, Term: 1, Voters: chooseVoters(fresh, wantedVoters(least, fresh)),
		Homes: map[string]string{}, Drained: map[string]uint64{},
	}
	n.note("core", "name founders", fmt.Sprintf("%v of %d announced", f.first.voterAddresses(), len(fresh)))
	n.sendFounding()
}

// sendFounding brings the one first document to its members until it is in force.
func (n *Node) sendFounding() {
	first := n.founder.first
	if _, isIn := first.voter(n.settings.Member); isIn && n.core != nil && n.core.synced.Revision == 0 {
		// The own folder first: it remembers over a restart what was named.
		n.send(n.self(), Message{Found: &Found{first}})
		return
	}
	for _, member := range first.Voters {
		if member.ID != n.settings.Member {
			n.send(member.Address, Message{Found: &Found{first}})
		}
	}
}
