package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Membership of the core: members join as learners, and voters are added, replaced and dropped one at a time.

// defaultVoterCount is the number of voters if the settings name none.
const defaultVoterCount = 3

const (
	// maxHistoryWait limits how long an incomplete history keeps a learner from becoming a voter, counted from when the
	// learner joined.
	maxHistoryWait = 30 * kernel.Second
	// redirectJoinDelay is the delay before a member that was redirected to a leader sends it a Join. It is short,
	// because an empty member should join soon. It limits the message rate between two members that redirect to each
	// other.
	redirectJoinDelay = 50 * kernel.Millisecond
)

// onJoin adds an unknown member as a learner, or updates what is known of a member. The leader then sends heartbeats to
// it. A member that does not lead answers with a redirect.
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
	// A member repeats its request until a heartbeat arrives, so the request alone does not cancel the transfer of a
	// large document to it.
	p.updateIncarnation(c.now, m.Incarnation, m.Synced, c.settings.Timing.MinElectionTimeout)
	p.member, p.hasFolder, p.lastContact = m.Member, m.HasFolder, c.now
	if p.synced.Before(m.Synced) {
		p.advanceSynced(m.Synced)
	}
	p.lacksConfig = p.lacksConfig || m.Synced.Revision == 0
}

// isLost reports whether another member has been silent for longer than ReplaceTimeout or is unknown to this leader.
func (c *Core) isLost(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return false
	}
	p := c.peers[member.ID]
	return p == nil || c.now-p.lastContact > c.settings.Timing.ReplaceTimeout
}

// isReplaced reports whether another member has joined from a voter's address since the voter was last heard. Most
// likely the voter's data folder is lost. The voter is then replaced without waiting for ReplaceTimeout, because the
// core could not tolerate another failure meanwhile. This is safe even if the folder comes back, because voters change
// one at a time, by majorities that intersect.
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

// isMemberLeaving reports whether a planned stop of a member was requested.
func (c *Core) isMemberLeaving(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return c.isLeaving
	}
	p := c.peers[member.ID]
	return p != nil && p.isLeaving
}

// reconcileVoters changes at most one voter in the next document, so that the majorities of consecutive documents
// intersect.
func (c *Core) reconcileVoters(next *cluster.Document, reasons *[]string) {
	if c.updateVoterAddress(next, reasons) {
		return
	}
	if c.settings.Voters > 0 {
		c.reconcileVoterCount(next, reasons)
		return
	}
	zones, outgoing := map[string]int{}, -1
	for i, member := range next.Voters {
		zones[member.Zone]++
		if c.isLost(member) || c.isReplaced(member) || c.isMemberLeaving(member) {
			outgoing = i
		}
	}
	if len(next.Voters) > defaultVoterCount {
		c.dropVoter(next, c.surplusVoter(next, zones, outgoing), reasons)
		return
	}
	hasSharedZone := len(zones) < len(next.Voters)
	if len(next.Voters) == defaultVoterCount && outgoing < 0 && !hasSharedZone {
		return
	}
	if outgoing >= 0 {
		zones[next.Voters[outgoing].Zone]--
	}
	best := c.bestLearner(next, zones)
	if best == nil {
		return
	}
	// If all voters are healthy, a voter is replaced only to give a zone its first voter.
	if len(next.Voters) == defaultVoterCount && outgoing < 0 && zones[best.member.Zone] > 0 {
		return
	}
	next.Voters = append(next.Voters, best.member)
	*reasons = append(*reasons, "voter added: "+best.member.Address)
}

// updateVoterAddress looks for a voter that has moved, puts its new address into the next document, and reports whether
// there was one. The member stays the same: its data folder moved to a machine with another address.
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

// surplusVoter returns the index of the voter to drop if there are more than defaultVoterCount. It prefers a voter that
// is lost or replaced, then the voter at index outgoing unless that is negative, then one other than this member that
// shares its zone with another voter, then the last one.
func (c *Core) surplusVoter(next *cluster.Document, zones map[string]int, outgoing int) int {
	drop := outgoing
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

// dropVoter removes a voter from the next document. It never removes the leader itself, which has to transfer its
// leadership before another leader can drop it.
func (c *Core) dropVoter(next *cluster.Document, index int, reasons *[]string) {
	voter := next.Voters[index]
	if voter.ID == c.settings.Self.ID {
		return
	}
	*reasons = append(*reasons, "voter dropped: "+voter.Address)
	next.Voters = slices.Delete(next.Voters, index, index+1)
}

// bestLearner returns the caught-up learner whose zone has the fewest voters in the next document, or nil.
func (c *Core) bestLearner(next *cluster.Document, zones map[string]int) *peer {
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := next.Voter(id); isIn || !p.hasFolder || p.isLeaving || p.isDiskUnhealthy {
			continue
		}
		isCaughtUp := p.synced == c.committed.Position() && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		// A voter should hold the complete history too, or the history is lost when disks are lost one after another.
		// The wait is bounded, because the missing part may be lost on all members.
		isCaughtUp = isCaughtUp && (!p.isHistoryIncomplete || c.now-p.joinedAt > maxHistoryWait)
		if isCaughtUp && (best == nil || zones[p.member.Zone] < zones[best.member.Zone]) {
			best = p
		}
	}
	return best
}

// onRedirect records the addresses of the leader and the voters, as named by a member that does not lead. If the number
// of voters is configured, this member asks that leader soon.
func (c *Core) onRedirect(m *wire.Redirect) {
	c.leaderHints = append([]string{m.Leader}, m.Voters...)
	if c.settings.Voters > 0 && m.Leader != "" {
		c.joinTimer = min(c.joinTimer, c.now+redirectJoinDelay)
	}
}

// joinAsReplacement handles a heartbeat that was meant for another member, which had this address before. If this
// member is empty, it asks the leader that sent the heartbeat to join. It may have no other way, since the seeds in its
// settings may all have been removed.
func (c *Core) joinAsReplacement(leader string) {
	if c.doc != nil || len(c.leaderHints) > 0 && c.leaderHints[0] == leader {
		return
	}
	c.leaderHints = []string{leader}
	c.joinTimer = min(c.joinTimer, c.now)
}

// setFleetVoters sets the addresses of the voters in the document that the process has applied as a router. An empty
// member may know no other members of the core.
func (c *Core) setFleetVoters(addresses []string) { c.fleetVoters = addresses }

// join asks other members to let this one join. It does nothing while heartbeats arrive from a leader.
func (c *Core) join() {
	if c.now < c.joinTimer || c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MinElectionTimeout {
		return
	}
	c.joinTimer = c.now + 3*c.settings.Timing.HeartbeatInterval
	// The targets are the known leader and, in round-robin order, one other member.
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
		// With a configured number of voters, all members are asked at once. Seeds may have been removed by now, and a
		// vacancy among the voters should not last until round robin reaches a live member.
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
