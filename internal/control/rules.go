package control

import (
	"cmp"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// AckRule determines when a committed operation is acknowledged.
type AckRule int

// The rules of acknowledgements.
const (
	// Strict: a majority of the registered routers has applied the document.
	Strict AckRule = iota
	// Disseminated: every node that reported within ContactTimeout (by default a second) has applied the document, or
	// DisseminationTimeout is over. Such nodes only delay the acknowledgement. Whether the operation takes effect is
	// decided by the majority of voters alone.
	Disseminated
)

// BootstrapRule determines which members may bootstrap a fleet.
type BootstrapRule int

// The rules of the bootstrap.
const (
	// BootstrapFromSeeds: the seeds bootstrap the fleet, once all of them answer and are empty.
	BootstrapFromSeeds BootstrapRule = iota
	// BootstrapByAnnounce: if bootstrapping is enabled, empty members with a folder announce themselves to the seeds,
	// and the seeds agree on the bootstrap members.
	BootstrapByAnnounce
)

// defaultDisseminationTimeout is how long an acknowledgement under the rule Disseminated waits for nodes that have not
// applied the revision, unless the settings say otherwise.
const defaultDisseminationTimeout = 600 * kernel.Millisecond

// ConfigRejectedError is the final rejection of a configuration or a patch.
type ConfigRejectedError struct {
	Reason string // one of the cluster.Reason constants, as sent in the response
	Cause  error
}

func (e ConfigRejectedError) Error() string { return e.Reason + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ConfigRejectedError) Unwrap() error { return e.Cause }

// configError is the cause of a rejection that this package found by itself, rather than through a function from the
// settings.
type configError struct{ reason string }

func (e configError) Error() string { return e.reason }

func configErrorf(format string, args ...any) error { return configError{fmt.Sprintf(format, args...)} }

// evaluateConfig returns the configuration that results from an operation on the current one, and its version. Any
// error is a ConfigRejectedError.
func (s CoreSettings) evaluateConfig(m *cluster.Submit, current *cluster.Document) (config []byte, version uint64, err error) {
	// Versions only rise, so a base version that is no longer in force never will be again, and the conflict is final.
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
	// Revisions only rise, so a base revision that is no longer in force never will be again, and the conflict is
	// final.
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

// maxWantedVoters bounds the number of voters, unless the setting asks for more. Each voter has to sync every document.
const maxWantedVoters = 5

// wantedVoters returns how many voters there should be: at least least, and beyond that up to one per member, but no
// more than maxWantedVoters. It returns the largest of these numbers at which a majority remains after the loss of any
// one zone, or else the largest of all. Four voters over three zones, for example, are worse than three.
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

// largestZoneShare returns how many of count voters are in the zone that has most of them, if they are spread over the
// zones as evenly as possible. The map zones has the number of members in each zone.
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

// chooseVoters chooses count members, spread evenly over the zones and with the lowest addresses first.
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

// isCaughtUp reports whether a member could be a voter at once: it has a folder and a healthy disk, is not leaving, was
// heard within MinElectionTimeout, and has synced the committed document.
func (c *Core) isCaughtUp(p *peer) bool {
	return p.hasFolder && !p.isLeaving && !p.isDiskUnhealthy && p.synced == c.committed.Position() && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
}

// reconcileVoterCount takes the place of reconcileVoters in a core whose number of voters is a setting. It changes at
// most one voter.
func (c *Core) reconcileVoterCount(next *cluster.Document, reasons *[]string) {
	if c.replaceVoterWithoutFolder(next, reasons) {
		return
	}
	members, zones := []cluster.Member{}, map[string]int{}
	outgoing, lost := -1, -1
	for i, voter := range next.Voters {
		zones[voter.Zone]++
		switch {
		case c.isLost(voter):
			outgoing, lost = i, i
		case c.isMemberLeaving(voter):
			outgoing = i
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
			drop = outgoing
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
	if len(next.Voters) < wanted || outgoing >= 0 || isBalancing {
		next.Voters = append(next.Voters, best.member)
		*reasons = append(*reasons, "voter added: "+best.member.Address)
	}
}

// replaceVoterWithoutFolder replaces a voter in one step by the caught-up member that joined from the voter's address,
// and reports whether it did.
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
			// A member with another id at the voter's address shows that the voter's folder is lost. Nobody can then
			// vote with the voter's id again, so every majority consists of other voters, and it is safe to replace the
			// voter in one step. If the voter was heard after that member joined, however, it is alive elsewhere and
			// keeps its place.
			if old := c.peers[voter.ID]; old == nil || old.lastContact <= p.joinedAt {
				*reasons = append(*reasons, "voter's folder is lost, the member at its address replaces it: "+voter.Address)
				next.Voters[i] = p.member
				return true
			}
		}
	}
	return false
}

// voterCandidates returns the caught-up learners whose id and address no voter of the next document has.
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

// voterOfFullestZone returns the index of the last voter, other than this member, in the zone with the most voters.
func (c *Core) voterOfFullestZone(next *cluster.Document, zones map[string]int) int {
	index := -1
	for i, voter := range next.Voters {
		if voter.ID != c.settings.Self.ID && (index < 0 || zones[voter.Zone] >= zones[next.Voters[index].Zone]) {
			index = i
		}
	}
	return index
}
