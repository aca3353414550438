package control

import (
	"fmt"
	"slices"
	"strings"

	"dunlinloom/internal/kernel"
)

// Health is what the leader of the core knows of its voters: whether the core is whole, and
// how many more voters it can lose now. It is the leader's own view and no linearizable
// read: a leader that has just lost its majority shows the losses before it steps down.
type Health struct {
	Term     uint64        `json:"term"`
	Revision uint64        `json:"generation"` // the newest committed one
	Wanted   int           `json:"wanted"`     // how many voters there should be
	Voters   []VoterHealth `json:"voters"`
	// SpareLosses is how many more voters may be lost now with a majority of caught-up voters
	// left; below zero, that many are missing for a majority.
	SpareLosses int         `json:"spare_losses"`
	IsWhole     bool        `json:"whole"`
	Shortfalls  []Shortfall `json:"shortfalls,omitempty"` // why it is not whole
	// Since is when the core last became whole, or lacked something else than before, by the leader's clock.
	Since kernel.Micros `json:"-"`
}

// VoterHealth is one voter as the leader sees it.
type VoterHealth struct {
	Member
	IsHeard    bool `json:"heard"`
	IsCaughtUp bool `json:"caught_up"` // it has synced what is committed
	HasHistory bool `json:"history"`   // it holds the configurations of the past that the document names
	IsLeaving  bool `json:"leaving,omitempty"`
	IsAiling   bool `json:"ailing,omitempty"` // its disk stalls or is full
}

// isGood tells whether the voter counts towards a majority now.
func (v VoterHealth) isGood() bool { return v.IsHeard && v.IsCaughtUp && !v.IsLeaving && !v.IsAiling }

// ShortfallKind says what the core lacks.
type ShortfallKind string

// What a core that is not whole lacks.
const (
	ShortOfVoters  ShortfallKind = "too_few_voters"
	VoterSilent    ShortfallKind = "silent"
	VoterBehind    ShortfallKind = "behind"
	VoterLeaving   ShortfallKind = "leaving"
	VoterAiling    ShortfallKind = "disk"
	HistoryPartial ShortfallKind = "history"
	TermNotSettled ShortfallKind = "not_settled" // the new leader has committed nothing yet
	TooManyVoters  ShortfallKind = "too_many_voters"
)

// Shortfall is one thing that the core lacks to be whole.
type Shortfall struct {
	Kind    ShortfallKind `json:"kind"`
	Address string        `json:"address,omitempty"` // the voter; empty: the core as a whole
}

func (s Shortfall) String() string {
	if s.Address == "" {
		return string(s.Kind)
	}
	return s.Address + " " + string(s.Kind)
}

// HealthChanged tells the shell that the core became whole, or lacks something else than before.
type HealthChanged struct{ Health *Health }

// String says the health in one line.
func (h *Health) String() string {
	if h.IsWhole {
		return fmt.Sprintf("whole: %d voters, %d may be lost", len(h.Voters), h.SpareLosses)
	}
	missing := make([]string, 0, len(h.Shortfalls))
	for _, shortfall := range h.Shortfalls {
		missing = append(missing, shortfall.String())
	}
	return fmt.Sprintf("not whole: %d of %d voters, %d may be lost; %s", len(h.Voters), h.Wanted, h.SpareLosses, strings.Join(missing, ", "))
}

// isLike tells whether another view shows nothing else.
func (h *Health) isLike(other *Health) bool {
	return h.saysLike(other) && h.Revision == other.Revision && slices.Equal(h.Voters, other.Voters)
}

// saysLike tells whether another view of the same term lacks just the same.
func (h *Health) saysLike(other *Health) bool {
	return h != nil && h.Term == other.Term && h.IsWhole == other.IsWhole && h.Wanted == other.Wanted &&
		h.SpareLosses == other.SpareLosses && len(h.Voters) == len(other.Voters) && slices.Equal(h.Shortfalls, other.Shortfalls)
}

// behindAllowed is how long a voter that was caught up may lack the newest commits before it
// counts as behind: each commit reaches the slowest voter a little later.
const behindAllowed = kernel.Second

// Health gives the leader's view of its voters; nil on every other member.
func (c *Core) Health() *Health {
	if c.role != leader {
		return nil
	}
	return c.health
}

// lookAtHealth renews the leader's view of its voters and tells the shell of a change.
func (c *Core) lookAtHealth() {
	next := c.currentHealth()
	last := c.health
	if last.isLike(next) {
		return
	}
	next.Since = c.now
	if last.saysLike(next) {
		next.Since = last.Since
	} else {
		c.note("core", "health", "%s", next.String())
		c.out = append(c.out, HealthChanged{next})
	}
	c.health = next
}

func (c *Core) currentHealth() *Health {
	health := &Health{Term: c.term, Wanted: voterCount}
	if !c.isOwnTerm {
		health.Shortfalls = []Shortfall{{Kind: TermNotSettled}}
		return health
	}
	health.Revision = c.committed.Revision
	members, good := []Member{}, 0
	for _, member := range c.committed.Voters {
		voter := c.voterHealth(member)
		health.Voters = append(health.Voters, voter)
		if voter.isGood() {
			good++
			members = append(members, member)
		}
		health.Shortfalls = append(health.Shortfalls, voter.shortfalls()...)
	}
	if c.settings.Voters > 0 {
		for _, p := range c.standbys() {
			members = append(members, p.member)
		}
		health.Wanted = wantedVoters(c.settings.Voters, members)
	}
	if len(health.Voters) < health.Wanted {
		health.Shortfalls = append(health.Shortfalls, Shortfall{Kind: ShortOfVoters})
	}
	if len(health.Voters) > health.Wanted {
		health.Shortfalls = append(health.Shortfalls, Shortfall{Kind: TooManyVoters})
	}
	health.SpareLosses = good - (len(health.Voters)/2 + 1)
	health.IsWhole = len(health.Shortfalls) == 0
	return health
}

// standbys are the members that could vote at once, at addresses where no voter is.
func (c *Core) standbys() []*peer {
	found := []*peer{}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if !c.committed.hasVoterAt(id, p.member.Address) && c.isCaughtUp(p) {
			found = append(found, p)
		}
	}
	return found
}

func (c *Core) voterHealth(member Member) VoterHealth {
	if member.ID == c.settings.Self.ID {
		return VoterHealth{Member: member, IsHeard: true, IsCaughtUp: !c.synced.before(c.committed.stamp()),
			HasHistory: !c.isPartial(), IsLeaving: c.isLeaving, IsAiling: c.Ailment() != ""}
	}
	p := c.peers[member.ID]
	if p == nil {
		return VoterHealth{Member: member}
	}
	if !p.synced.before(c.committed.stamp()) {
		p.caughtUpAt = c.now
	}
	return VoterHealth{
		Member: member, IsHeard: c.now-p.lastHeard < c.settings.Timing.ElectionLow,
		IsCaughtUp: p.caughtUpAt > 0 && c.now-p.caughtUpAt < behindAllowed,
		HasHistory: !p.isPartial, IsLeaving: p.isLeaving, IsAiling: p.isAiling,
	}
}

// shortfalls names what a voter lacks, the weightiest alone: of a silent one nothing else is known.
func (v VoterHealth) shortfalls() []Shortfall {
	for _, each := range []struct {
		kind ShortfallKind
		isIt bool
	}{{VoterSilent, !v.IsHeard}, {VoterLeaving, v.IsLeaving}, {VoterAiling, v.IsAiling}, {VoterBehind, !v.IsCaughtUp}, {HistoryPartial, !v.HasHistory}} {
		if each.isIt {
			return []Shortfall{{each.kind, v.Address}}
		}
	}
	return nil
}
