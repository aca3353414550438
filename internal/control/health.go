package control

import (
	"fmt"
	"slices"
	"strings"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// Health is the leader's view of the voters: why the core is not healthy, if so, and how many more voters may fail now.
// It is not a linearizable read: a leader that has just lost its majority still reports its view until it steps down.
type Health struct {
	Term     uint64        `json:"term"`
	Revision uint64        `json:"generation"` // the newest committed revision
	Wanted   int           `json:"wanted"`     // how many voters there should be
	Voters   []VoterHealth `json:"voters"`
	// FailureTolerance is how many more voters may fail while the healthy ones remain a majority. If it is negative,
	// the healthy voters are no majority, and its absolute value is how many they lack.
	FailureTolerance int         `json:"spare_losses"`
	IsHealthy        bool        `json:"whole"`
	Shortfalls       []Shortfall `json:"shortfalls,omitempty"` // why it is not healthy
	// ChangedAt is when this status last changed, on the leader's monotonic clock.
	ChangedAt kernel.Micros `json:"-"`
}

// VoterHealth is one voter as the leader sees it.
type VoterHealth struct {
	cluster.Member
	IsAlive           bool `json:"heard"`
	IsCaughtUp        bool `json:"caught_up"` // it has synced the committed document
	IsHistoryComplete bool `json:"history"`   // it holds the past configurations that the document names
	IsLeaving         bool `json:"leaving,omitempty"`
	IsDiskUnhealthy   bool `json:"ailing,omitempty"` // a write to its disk failed or stalls; see Core.DiskFault
}

// isHealthy reports whether the voter counts towards a majority now.
func (v VoterHealth) isHealthy() bool {
	return v.IsAlive && v.IsCaughtUp && !v.IsLeaving && !v.IsDiskUnhealthy
}

// ShortfallKind says why the core is not healthy. Its values appear in the JSON form of Health.
type ShortfallKind string

// TooFewVoters, TooManyVoters and TermNotCommitted concern the core as a whole, the other kinds a voter.
const (
	TooFewVoters       ShortfallKind = "too_few_voters"
	VoterUnresponsive  ShortfallKind = "silent"
	VoterBehind        ShortfallKind = "behind"
	VoterLeaving       ShortfallKind = "leaving"
	VoterDiskUnhealthy ShortfallKind = "disk"
	HistoryIncomplete  ShortfallKind = "history"
	TermNotCommitted   ShortfallKind = "not_settled" // the new leader has committed nothing yet
	TooManyVoters      ShortfallKind = "too_many_voters"
)

// Shortfall is one reason why the core is not healthy.
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

// HealthChanged is the command that reports a change of the core's health.
type HealthChanged struct{ Health *Health }

// IsCommand implements commands.Command.
func (HealthChanged) IsCommand() {}

// String returns the health in one line.
func (h *Health) String() string {
	if h.IsHealthy {
		return fmt.Sprintf("whole: %d voters, %d may be lost", len(h.Voters), h.FailureTolerance)
	}
	missing := make([]string, 0, len(h.Shortfalls))
	for _, shortfall := range h.Shortfalls {
		missing = append(missing, shortfall.String())
	}
	return fmt.Sprintf("not whole: %d of %d voters, %d may be lost; %s", len(h.Voters), h.Wanted, h.FailureTolerance, strings.Join(missing, ", "))
}

// isEqual reports whether another view is the same, apart from ChangedAt. The receiver may be nil.
func (h *Health) isEqual(other *Health) bool {
	return h.hasSameStatus(other) && h.Revision == other.Revision && slices.Equal(h.Voters, other.Voters)
}

// hasSameStatus reports whether another view is of the same term and has the same shortfalls and the same tolerance. A
// change of anything else, such as the revision, is no change of the status. The receiver may be nil.
func (h *Health) hasSameStatus(other *Health) bool {
	return h != nil && h.Term == other.Term && h.IsHealthy == other.IsHealthy && h.Wanted == other.Wanted &&
		h.FailureTolerance == other.FailureTolerance && len(h.Voters) == len(other.Voters) && slices.Equal(h.Shortfalls, other.Shortfalls)
}

// behindGracePeriod is how long a voter may lack the newest committed document before it counts as behind. Each commit
// reaches the slowest voter a little later, which is no fault.
const behindGracePeriod = kernel.Second

// Health returns the leader's newest view of the voters. It is nil on every other member.
func (c *Core) Health() *Health {
	if c.role != leader {
		return nil
	}
	return c.health
}

// updateHealth updates the leader's view of the voters and emits HealthChanged if the status changed.
func (c *Core) updateHealth() {
	next := c.currentHealth()
	last := c.health
	if last.isEqual(next) {
		return
	}
	next.ChangedAt = c.now
	if last.hasSameStatus(next) {
		next.ChangedAt = last.ChangedAt
	} else {
		c.note(decision.Core, decision.Health, "%s", next.String())
		c.out = append(c.out, HealthChanged{next})
	}
	c.health = next
}

// currentHealth computes the view of the voters. Until a document of this term is committed, the view has no voters and
// only the shortfall TermNotCommitted.
func (c *Core) currentHealth() *Health {
	health := &Health{Term: c.term, Wanted: defaultVoterCount}
	if !c.hasCommittedInTerm {
		health.Shortfalls = []Shortfall{{Kind: TermNotCommitted}}
		return health
	}
	health.Revision = c.committed.Revision
	members, healthy := []cluster.Member{}, 0
	for _, member := range c.committed.Voters {
		voter := c.voterHealth(member)
		health.Voters = append(health.Voters, voter)
		if voter.isHealthy() {
			healthy++
			members = append(members, member)
		}
		health.Shortfalls = append(health.Shortfalls, voter.shortfalls()...)
	}
	if c.settings.Voters > 0 {
		for _, p := range c.learners() {
			members = append(members, p.member)
		}
		health.Wanted = wantedVoters(c.settings.Voters, members)
	}
	if len(health.Voters) < health.Wanted {
		health.Shortfalls = append(health.Shortfalls, Shortfall{Kind: TooFewVoters})
	}
	if len(health.Voters) > health.Wanted {
		health.Shortfalls = append(health.Shortfalls, Shortfall{Kind: TooManyVoters})
	}
	health.FailureTolerance = healthy - (len(health.Voters)/2 + 1)
	health.IsHealthy = len(health.Shortfalls) == 0
	return health
}

// learners returns the caught-up members that are no voters and do not have the address of one.
func (c *Core) learners() []*peer {
	learners := []*peer{}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if !c.committed.HasVoterAt(id, p.member.Address) && c.isCaughtUp(p) {
			learners = append(learners, p)
		}
	}
	return learners
}

// voterHealth returns the leader's view of one voter, and updates when the voter was last caught up.
func (c *Core) voterHealth(member cluster.Member) VoterHealth {
	if member.ID == c.settings.Self.ID {
		return VoterHealth{Member: member, IsAlive: true, IsCaughtUp: !c.synced.Before(c.committed.Position()),
			IsHistoryComplete: !c.isHistoryIncomplete(), IsLeaving: c.isLeaving, IsDiskUnhealthy: c.DiskFault() != ""}
	}
	p := c.peers[member.ID]
	if p == nil {
		return VoterHealth{Member: member}
	}
	if !p.synced.Before(c.committed.Position()) {
		p.caughtUpAt = c.now
	}
	return VoterHealth{
		Member: member, IsAlive: c.now-p.lastContact < c.settings.Timing.MinElectionTimeout,
		IsCaughtUp:        p.caughtUpAt > 0 && c.now-p.caughtUpAt < behindGracePeriod,
		IsHistoryComplete: !p.isHistoryIncomplete, IsLeaving: p.isLeaving, IsDiskUnhealthy: p.isDiskUnhealthy,
	}
}

// shortfalls returns the most serious shortfall of a voter, if any. For an unresponsive voter nothing else is known.
func (v VoterHealth) shortfalls() []Shortfall {
	for _, each := range []struct {
		kind  ShortfallKind
		isMet bool
	}{{VoterUnresponsive, !v.IsAlive}, {VoterLeaving, v.IsLeaving}, {VoterDiskUnhealthy, v.IsDiskUnhealthy}, {VoterBehind, !v.IsCaughtUp}, {HistoryIncomplete, !v.IsHistoryComplete}} {
		if each.isMet {
			return []Shortfall{{each.kind, v.Address}}
		}
	}
	return nil
}
