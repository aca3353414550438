package control

import "slices"

// isQuorum tells whether a majority of the document's voters meets a test, and where it swaps
// a voter in one step a majority of the voters before it as well (joint consensus): so the
// quorums of any two documents that follow each other intersect.
func (d *Document) isQuorum(isMet func(MemberID) bool) bool {
	return isMajority(d.Voters, isMet) && (len(d.PriorVoters) == 0 || isMajority(d.PriorVoters, isMet))
}

func isMajority(members []Member, isMet func(MemberID) bool) bool {
	count := 0
	for _, member := range members {
		if isMet(member.ID) {
			count++
		}
	}
	return count > len(members)/2
}

// electors are all whose votes a candidate holding the document may need.
func (d *Document) electors() []Member {
	found := slices.Clone(d.Voters)
	for _, member := range d.PriorVoters {
		if !slices.ContainsFunc(found, func(voter Member) bool { return voter.ID == member.ID }) {
			found = append(found, member)
		}
	}
	return found
}
