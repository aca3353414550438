package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Which members vote: learners that join, and voters that are replaced one at a time.

// voterCount is how many voters the core keeps where their number is no setting.
const voterCount = 3

const (
	// maxHistoryWait is how long after its join a learner with an incomplete history is not made a voter.
	maxHistoryWait = 30 * kernel.Second
	// redirectPause is how soon a member asks the leader that a redirect names. An empty member should
	// join soon; the pause bounds the messages between two members that redirect to each other.
	redirectPause = 50 * kernel.Millisecond
)

// onJoin takes a member in as a learner, or renews what is known of one: heartbeats reach it from then on.
func (c *Core) onJoin(from string, m *wire.Join) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil {
		p = &peer{joinedAt: c.now, isHistoryIncomplete: true}
		c.peers[m.Member.ID] = p
		c.note(decision.Core, decision.AddLearner, "%s in zone %s asked to join", m.Member.Address, m.Member.Zone)
		c.isRoundWanted = true
	}
	if c.isOfEarlierIncarnation(p, m.Incarnation) {
		return
	}
	// It repeats its request until a heartbeat arrives, so the request alone is no reason to send a large
	// document once more.
	p.updateIncarnation(c.now, m.Incarnation, m.Synced, c.settings.Timing.MinElectionTimeout)
	p.member, p.hasFolder, p.lastContact = m.Member, m.HasFolder, c.now
	if p.synced.Before(m.Synced) {
		p.advanceSynced(m.Synced)
	}
	p.lacksConfig = p.lacksConfig || m.Synced.Revision == 0
}

// isLost tells whether a member has been silent for longer than ReplaceTimeout.
func (c *Core) isLost(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return false
	}
	p := c.peers[member.ID]
	return p == nil || c.now-p.lastContact > c.settings.Timing.ReplaceTimeout
}

// isReplaced tells whether another member has come up at a voter's address since the voter was last heard: most
// likely its folder is lost. Waiting for ReplaceTimeout besides would leave the core without tolerance of a
// further failure meanwhile. If the folder comes back after all, this is still safe, since voters change one
// at a time, by majorities that intersect.
func (c *Core) isReplaced(voter cluster.Member) bool {
	if voter.ID == c.settings.Self.ID {
		return false
	}
	old := c.peers[voter.ID]
	for id, p := range c.peers {
		if id != voter.ID && p.member.Address == voter.Address && p.hasFolder && (old == nil || old.lastContact <= p.joinedAt) {
			return true
		}
	}
	return false
}

// isMemberLeaving tells whether a planned stop of a member was asked for.
func (c *Core) isMemberLeaving(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return c.isLeaving
	}
	p := c.peers[member.ID]
	return p != nil && p.isLeaving
}

// reconcileVoters changes at most one voter of the next document, so that the majorities of two
// documents that follow each other intersect.
func (c *Core) reconcileVoters(next *cluster.Document, reasons *[]string) {
	if c.updateVoterAddress(next, reasons) {
		return
	}
	if c.settings.Voters > 0 {
		c.reconcileVoterCount(next, reasons)
		return
	}
	zones, weak := map[string]int{}, -1
	for i, member := range next.Voters {
		zones[member.Zone]++
		if c.isLost(member) || c.isReplaced(member) || c.isMemberLeaving(member) {
			weak = i
		}
	}
	if len(next.Voters) > voterCount {
		c.dropVoter(next, c.surplusVoter(next, zones, weak), reasons)
		return
	}
	hasSharedZone := len(zones) < len(next.Voters)
	if len(next.Voters) == voterCount && weak < 0 && !hasSharedZone {
		return
	}
	if weak >= 0 {
		zones[next.Voters[weak].Zone]--
	}
	best := c.bestLearner(next, zones)
	if best == nil {
		return
	}
	// With all voters healthy, a swap is worth it only for a zone without a voter.
	if len(next.Voters) == voterCount && weak < 0 && zones[best.member.Zone] > 0 {
		return
	}
	next.Voters = append(next.Voters, best.member)
	*reasons = append(*reasons, "voter added: "+best.member.Address)
}

// updateVoterAddress writes the new address of one voter that moved into the next document, and tells
// whether it did. The member stays the same: its folder moved to a machine of another name.
func (c *Core) updateVoterAddress(next *cluster.Document, reasons *[]string) bool {
	for i, member := range next.Voters {
		if p := c.peers[member.ID]; p != nil && p.member.Address != "" && p.member.Address != member.Address {
			next.Voters[i].Address = p.member.Address
			*reasons = append(*reasons, "voter moved to "+p.member.Address)
			return true
		}
	}
	return false
}

// surplusVoter is the index of the voter to drop where there are more than voterCount: one that is lost
// or replaced, else the weak one, else one that shares its zone, else the last.
func (c *Core) surplusVoter(next *cluster.Document, zones map[string]int, weak int) int {
	drop := weak
	for i, member := range next.Voters {
		if c.isLost(member) || c.isReplaced(member) {
			drop = i
		}
	}
	for i := 0; drop < 0 && i < len(next.Voters); i++ {
		if zones[next.Voters[i].Zone] > 1 && next.Voters[i].ID != c.settings.Self.ID {
			drop = i
		}
	}
	if drop < 0 {
		drop = len(next.Voters) - 1
	}
	return drop
}

// dropVoter removes a voter from the next document. A leader never removes itself: it transfers the
// leadership first.
func (c *Core) dropVoter(next *cluster.Document, index int, reasons *[]string) {
	voter := next.Voters[index]
	if voter.ID == c.settings.Self.ID {
		return
	}
	*reasons = append(*reasons, "voter dropped: "+voter.Address)
	next.Voters = slices.Delete(next.Voters, index, index+1)
}

// bestLearner is the caught-up member outside the next document whose zone has the fewest voters; nil:
// there is none.
func (c *Core) bestLearner(next *cluster.Document, zones map[string]int) *peer {
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := next.Voter(id); isIn || !p.hasFolder || p.isLeaving || p.isDiskUnhealthy {
			continue
		}
		isCaughtUp := p.synced == c.committed.Position() && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		// A voter should hold the history too, or losing disks one after the other loses it. What no
		// member holds any more must not keep a place empty for ever.
		isCaughtUp = isCaughtUp && (!p.isHistoryIncomplete || c.now-p.joinedAt > maxHistoryWait)
		if isCaughtUp && (best == nil || zones[p.member.Zone] < zones[best.member.Zone]) {
			best = p
		}
	}
	return best
}

// onRedirect takes the addresses of the leader and the voters from a member that does not lead.
func (c *Core) onRedirect(m *wire.Redirect) {
	c.leaderHints = append([]string{m.Leader}, m.Voters...)
	if c.settings.Voters > 0 && m.Leader != "" {
		c.joinTimer = min(c.joinTimer, c.now+redirectPause)
	}
}

// joinAsReplacement has an empty member ask the leader to join whose heartbeat was meant for the member that had
// this address before. Its seeds may all have been removed.
func (c *Core) joinAsReplacement(leader string) {
	if c.doc != nil || len(c.leaderHints) > 0 && c.leaderHints[0] == leader {
		return
	}
	c.leaderHints = []string{leader}
	c.joinTimer = min(c.joinTimer, c.now)
}

// setFleetVoters takes the voters of a document that the process applied as a router. An empty member
// may know the core by that alone.
func (c *Core) setFleetVoters(addresses []string) { c.fleetVoters = addresses }

// join asks to be taken in as long as no leader sends heartbeats to this member.
func (c *Core) join() {
	if c.now < c.joinTimer || c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MinElectionTimeout {
		return
	}
	c.joinTimer = c.now + 3*c.settings.Timing.HeartbeatInterval
	// The leader if a redirect named it, then one other member, round robin.
	targets := []string{}
	if len(c.leaderHints) > 0 && c.leaderHints[0] != "" {
		targets = append(targets, c.leaderHints[0])
	}
	others := slices.Clone(c.settings.Seeds)
	if len(c.leaderHints) > 1 {
		others = append(others, c.leaderHints[1:]...)
	}
	others = append(others, c.doc.VoterAddresses()...)
	others = append(others, c.fleetVoters...)
	switch {
	case c.settings.Voters > 0:
		// Seeds may have been removed by now; a place among the voters should not wait for their turns.
		targets = slices.Compact(cluster.Sorted(append(targets, others...)))
	case len(others) > 0:
		c.nextJoinTarget++
		targets = append(targets, others[c.nextJoinTarget%len(others)])
	}
	for _, target := range targets {
		if target != c.settings.Self.Address {
			c.send(target, wire.Message{Join: &wire.Join{Member: c.settings.Self, Synced: c.synced, HasFolder: c.settings.HasFolder, Incarnation: c.settings.Incarnation}})
		}
	}
}
