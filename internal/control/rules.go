package control

import (
	"cmp"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// AckRule says when a committed operation is acknowledged.
type AckRule int

// The rules of acknowledgements.
const (
	// Strict: a majority of the registered routers has applied the document.
	Strict AckRule = iota
	// Disseminated: every node that reported within the last second has applied it, or DisseminationTimeout
	// is over. The majority of voters alone decides.
	Disseminated
)

// BootstrapRule says which members may bootstrap a fleet.
type BootstrapRule int

// The rules of the bootstrap.
const (
	// BootstrapFromSeeds: the seeds do, once all of them answer and are empty.
	BootstrapFromSeeds BootstrapRule = iota
	// BootstrapByAnnounce: under Bootstrap, empty members with a folder announce themselves
	// to the seeds, which agree on the bootstrap members.
	BootstrapByAnnounce
)

// defaultDisseminationTimeout is how long an acknowledgement waits for nodes that have not applied the revision.
const defaultDisseminationTimeout = 600 * kernel.Millisecond

// ConfigRejectedError is the final rejection of a configuration or a patch.
type ConfigRejectedError struct {
	Reason string // as in a reply
	Cause  error
}

func (b ConfigRejectedError) Error() string { return b.Reason + ": " + b.Cause.Error() }

// Unwrap returns the cause.
func (b ConfigRejectedError) Unwrap() error { return b.Cause }

// configError is the cause of a rejection that is not the checker's own.
type configError struct{ reason string }

func (b configError) Error() string { return b.reason }

func configErrorf(format string, args ...any) error { return configError{fmt.Sprintf(format, args...)} }

// evaluateConfig returns the configuration that an operation leads to, on top of the one in force, and its
// version; or a ConfigRejectedError.
func (s CoreSettings) evaluateConfig(m *cluster.Submit, current *cluster.Document) (config []byte, version uint64, err error) {
	// Versions only rise, so a clash on a base that was once in force stays a clash.
	if m.BaseVersion != nil && *m.BaseVersion != current.ConfigVersion {
		return nil, 0, ConfigRejectedError{cluster.ReasonConflict, configErrorf("the configuration is at version %d, not %d", current.ConfigVersion, *m.BaseVersion)}
	}
	config = m.Config
	if m.Operation == cluster.PatchConfig {
		if s.PatchConfig == nil {
			return nil, 0, ConfigRejectedError{cluster.ReasonUnknownOperation, configErrorf("%q", m.Operation)}
		}
		if config, err = s.PatchConfig(current.Config, m.Config); err != nil {
			return nil, 0, ConfigRejectedError{cluster.ReasonInvalid, err}
		}
	}
	if s.CheckConfig != nil {
		if err := s.CheckConfig(config); err != nil {
			return nil, 0, ConfigRejectedError{cluster.ReasonInvalid, err}
		}
	}
	// The revision only grows, so a clash on a base that was once in force stays a clash.
	if m.Base != nil && *m.Base != current.ConfigRevision {
		return nil, 0, ConfigRejectedError{cluster.ReasonConflict, configErrorf("the configuration is at revision %d, not %d", current.ConfigRevision, *m.Base)}
	}
	version = current.ConfigVersion
	switch {
	case s.VersionOf != nil:
		if version, err = s.VersionOf(config); err != nil {
			return nil, 0, ConfigRejectedError{cluster.ReasonInvalid, err}
		}
		if version <= current.ConfigVersion {
			return nil, 0, ConfigRejectedError{cluster.ReasonOldVersion, configErrorf("version %d is not above %d", version, current.ConfigVersion)}
		}
	case m.BaseVersion != nil:
		version++
	}
	return config, version, nil
}

// maxWantedVoters bounds the voters where the setting asks for fewer: each has to sync every document.
const maxWantedVoters = 5

// wantedVoters is how many voters there should be: no fewer than least, and else as many
// as there are members, up to maxWantedVoters. Of these numbers the largest is taken at which a
// whole zone can be lost, if there is one: four over three zones are worse than three.
func wantedVoters(least int, members []cluster.Member) int {
	most := max(least, min(len(members), maxWantedVoters))
	zones := map[string]int{}
	for _, member := range members {
		zones[member.Zone]++
	}
	for count := min(most, len(members)); count >= least; count-- {
		if largestZoneShare(zones, count) <= (count-1)/2 {
			return count
		}
	}
	return most
}

// largestZoneShare is how many of the members one zone has, if a number of them is dealt over
// the zones as evenly as these allow.
func largestZoneShare(zones map[string]int, count int) int {
	level := 0
	for count > 0 {
		level++
		placed := 0
		for _, available := range zones {
			if available >= level {
				placed++
			}
		}
		if placed == 0 {
			break
		}
		count -= placed
	}
	return level
}

// chooseVoters takes a number of members, one a zone in turn, the lowest addresses first.
func chooseVoters(members []cluster.Member, count int) []cluster.Member {
	rest := slices.SortedFunc(slices.Values(members), func(a, b cluster.Member) int { return cmp.Compare(a.Address, b.Address) })
	chosen, zones := []cluster.Member{}, map[string]int{}
	for len(rest) > 0 && len(chosen) < count {
		best := 0
		for i, member := range rest {
			if zones[member.Zone] < zones[rest[best].Zone] {
				best = i
			}
		}
		zones[rest[best].Zone]++
		chosen = append(chosen, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

// isCaughtUp tells whether a learner could vote at once.
func (c *Core) isCaughtUp(p *peer) bool {
	return p.hasFolder && !p.isLeaving && !p.isDiskUnhealthy && p.synced == c.committed.Position() && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
}

// reconcileVoterCount changes at most one voter where the number of voters is a setting.
func (c *Core) reconcileVoterCount(next *cluster.Document, reasons *[]string) {
	if c.replaceVoterWithoutFolder(next, reasons) {
		return
	}
	members, zones := []cluster.Member{}, map[string]int{}
	weak, lost := -1, -1
	for i, voter := range next.Voters {
		zones[voter.Zone]++
		switch {
		case c.isLost(voter):
			weak, lost = i, i
		case c.isMemberLeaving(voter):
			weak = i
		default:
			members = append(members, voter)
		}
	}
	var best *peer
	for _, p := range c.voterCandidates(next) {
		members = append(members, p.member)
		if best == nil || zones[p.member.Zone] < zones[best.member.Zone] {
			best = p
		}
	}
	wanted := wantedVoters(c.settings.Voters, members)
	if len(next.Voters) > wanted {
		drop := lost
		if drop < 0 {
			drop = weak
		}
		if drop < 0 {
			drop = c.voterOfFullestZone(next, zones)
		}
		c.dropVoter(next, drop, reasons)
		return
	}
	if best == nil {
		return
	}
	isBalancing := zones[best.member.Zone] == 0 && len(zones) < len(next.Voters)
	if len(next.Voters) < wanted || weak >= 0 || isBalancing {
		next.Voters = append(next.Voters, best.member)
		*reasons = append(*reasons, "voter added: "+best.member.Address)
	}
}

// replaceVoterWithoutFolder puts the caught-up successor at a voter's address into the place of that
// voter, in one step, and tells whether it did.
func (c *Core) replaceVoterWithoutFolder(next *cluster.Document, reasons *[]string) bool {
	for i, voter := range next.Voters {
		if voter.ID == c.settings.Self.ID {
			continue
		}
		for _, id := range c.peerIDs() {
			p := c.peers[id]
			if _, isIn := next.Voter(id); isIn || p.member.Address != voter.Address || !c.isCaughtUp(p) {
				continue
			}
			// A member with another id where the voter was: the voter's folder is lost, and
			// nobody will ever vote for it again. So a majority without it lies within the
			// others, and one step is enough. A voter that was heard since is alive elsewhere.
			if old := c.peers[voter.ID]; old == nil || old.lastContact <= p.joinedAt {
				*reasons = append(*reasons, "voter's folder is gone, its successor there takes its place: "+voter.Address)
				next.Voters[i] = p.member
				return true
			}
		}
	}
	return false
}

// voterCandidates lists the caught-up members that are not in the next document, neither by their
// identity nor by their address.
func (c *Core) voterCandidates(next *cluster.Document) []*peer {
	candidates := []*peer{}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		isTaken := slices.ContainsFunc(next.Voters, func(voter cluster.Member) bool { return voter.ID == id || voter.Address == p.member.Address })
		if !isTaken && c.isCaughtUp(p) {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// voterOfFullestZone is the index of the last voter, other than this member, of the zone with the most.
func (c *Core) voterOfFullestZone(next *cluster.Document, zones map[string]int) int {
	index := -1
	for i, voter := range next.Voters {
		if voter.ID != c.settings.Self.ID && (index < 0 || zones[voter.Zone] >= zones[next.Voters[index].Zone]) {
			index = i
		}
	}
	return index
}
