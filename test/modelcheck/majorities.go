package modelcheck

import (
	"dunlinloom/internal/control/cluster"
)

// The invariant on majorities: which members could still be elected, and by which voters.

// majoritiesIntersect checks that no two members could still win elections, each under the document on its own
// disk, by disjoint majorities.
func majoritiesIntersect(w *World) error {
	electable := []electorate{}
	for _, p := range w.processes {
		if found, isElectable := w.electorateOf(p); isElectable {
			electable = append(electable, found)
		}
	}
	for i, one := range electable {
		for _, other := range electable[i+1:] {
			if one.isDisjointFrom(other) {
				return violated(MajoritiesIntersect, "disjoint majorities could elect m%d under %v with %d voters and m%d under %v with %d voters",
					one.candidate+1, one.position, one.size, other.candidate+1, other.position, other.size)
			}
		}
	}
	return nil
}

// electorate is the set of quorums that could elect one member under the document on its disk.
type electorate struct {
	candidate int
	position  cluster.Position
	size      int
	quorums   []uint // each a bit set of processes, including the candidate
}

// electorateOf returns the quorums of a member's document among the processes that have no newer document. It
// reports whether there are any.
func (w *World) electorateOf(p *process) (electorate, bool) {
	document := p.disk.document
	found := electorate{candidate: p.index, position: document.Position()}
	if _, isVoter := document.Voter(p.disk.member); !isVoter {
		return found, false
	}
	if found.position.Before(p.disk.newestWritten()) {
		return found, false
	}
	found.size = len(document.Voters)
	willing := uint(0)
	indices := map[cluster.MemberID]uint{}
	for _, other := range w.processes {
		indices[other.disk.member] = 1 << other.index
		if !found.position.Before(other.disk.newestWritten()) {
			willing |= 1 << other.index
		}
	}
	for quorum := range uint(1) << len(w.processes) {
		isAble := quorum&^willing == 0 && quorum&(1<<p.index) != 0
		if isAble && document.IsQuorum(func(id cluster.MemberID) bool { return quorum&indices[id] != 0 }) {
			found.quorums = append(found.quorums, quorum)
		}
	}
	return found, len(found.quorums) > 0
}

// isDisjointFrom reports whether the two electorates have quorums that share no process.
func (e electorate) isDisjointFrom(other electorate) bool {
	for _, one := range e.quorums {
		for _, two := range other.quorums {
			if one&two == 0 {
				return true
			}
		}
	}
	return false
}
