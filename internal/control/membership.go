package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Which members vote: standbys that join, voters that are replaced one at a time.

// voterCount is how many voters the core keeps.
const voterCount = 3

func (c *Core) onJoin(from string, m *wire.Join) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil {
		p = &peer{joinedAt: c.now, isHistoryIncomplete: true}
		c.peers[m.Member.ID] = p
		c.note("core", "take standby", "%s in zone %s asked to join", m.Member.Address, m.Member.Zone)
		c.isRoundWanted = true
	}
	if c.isOfEarlierIncarnation(p, m.Incarnation) {
		return
	}
	// It repeats itself until a heartbeat comes through, so its word alone is no reason to send a
	// large document once more.
	p.updateIncarnation(c.now, m.Incarnation, m.Synced, c.settings.Timing.MinElectionTimeout)
	p.member, p.hasFolder, p.lastContact = m.Member, m.HasFolder, c.now
	if p.synced.Before(m.Synced) {
		p.advanceSynced(m.Synced)
	}
	p.lacksConfig = p.lacksConfig || m.Synced.Revision == 0
}

func (c *Core) isLost(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return false
	}
	p := c.peers[member.ID]
	return p == nil || c.now-p.lastContact > c.settings.Timing.ReplaceTimeout
}

// isReplaced tells of a voter at whose address another member has come up since it was
// last heard: most likely its folder is lost. To wait out its silence besides would leave
// the core with no voter to spare meanwhile. Should the folder come back after all, no
// harm is done, since voters still change one at a time, by majorities that intersect.
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

func (c *Core) isMemberLeaving(member cluster.Member) bool {
	if member.ID == c.settings.Self.ID {
		return c.isLeaving
	}
	p := c.peers[member.ID]
	return p != nil && p.isLeaving
}

func (c *Core) reconcileVoters(next *cluster.Document, reasons *[]string) {
	// An address may change under the same member: the folder moved to another machine's name.
	for i, member := range next.Voters {
		if p := c.peers[member.ID]; p != nil && p.member.Address != "" && p.member.Address != member.Address {
			next.Voters[i].Address = p.member.Address
			*reasons = append(*reasons, "voter moved to "+p.member.Address)
			return
		}
	}
	if c.settings.Voters > 0 {
		c.reconcileVoterCount(next, reasons)
		return
	}
	zones := map[string]int{}
	weak := -1
	for i, member := range next.Voters {
		zones[member.Zone]++
		if c.isLost(member) || c.isReplaced(member) || c.isMemberLeaving(member) {
			weak = i
		}
	}
	if len(next.Voters) > voterCount {
		// Fewer voters again: the lost one first, then one that goes, then one that shares a zone.
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
		if next.Voters[drop].ID == c.settings.Self.ID {
			return // a leader that goes names its successor first
		}
		*reasons = append(*reasons, "voter dropped: "+next.Voters[drop].Address)
		next.Voters = slices.Delete(next.Voters, drop, drop+1)
		return
	}
	hasSharedZone := len(zones) < len(next.Voters)
	if len(next.Voters) == voterCount && weak < 0 && !hasSharedZone {
		return
	}
	if weak >= 0 {
		zones[next.Voters[weak].Zone]--
	}
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := next.Voter(id); isIn || !p.hasFolder || p.isLeaving || p.isDiskUnhealthy {
			continue
		}
		isCaughtUp := p.synced == c.committed.Position() && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		// A voter should hold the past too, or losing disks one after the other loses
		// it. What nobody has any more must not keep a place empty for ever.
		isCaughtUp = isCaughtUp && (!p.isHistoryIncomplete || c.now-p.joinedAt > 30*kernel.Second)
		if isCaughtUp && (best == nil || zones[p.member.Zone] < zones[best.member.Zone]) {
			best = p
		}
	}
	if best == nil {
		return
	}
	// With all voters well, a swap is worth it only for a zone that has none.
	if len(next.Voters) == voterCount && weak < 0 && zones[best.member.Zone] > 0 {
		return
	}
	next.Voters = append(next.Voters, best.member)
	*reasons = append(*reasons, "voter added: "+best.member.Address)
}

// joinAsReplacement has an empty member ask a leader to join that speaks to the member which had this
// address before. The seeds that it was told may all be gone.
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

// join makes this controller known while no leader speaks to it.
func (c *Core) join() {
	if c.now < c.joinTimer || c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MinElectionTimeout {
		return
	}
	c.joinTimer = c.now + 3*c.settings.Timing.HeartbeatInterval
	// The leader if someone named it, then one other in turn.
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
		// Seeds may be gone by now; a place in the core is not to wait out their turns.
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
