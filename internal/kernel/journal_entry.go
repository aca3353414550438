package kernel

import (
	"cmp"
	"slices"
)

// Entry is one decision with its reason.
type Entry struct {
	Seq       uint64 `json:"seq"`             // counts the entries of one process, from zero
	Start     uint64 `json:"start,omitempty"` // start identity of the process; greater for later ones
	At        Micros `json:"at_us"`           // by the node's own clock, which no other node shares
	WallTime  Micros `json:"wall_us,omitempty"`
	Revision  uint64 `json:"era,omitempty"` // the revision in force at the node
	Component string `json:"part"`
	Subject   string `json:"subject"` // what was decided about: a request, a member, an engine
	Decision  string `json:"decision"`
	Reason    string `json:"why"`
	// IsRequest marks an entry about one caller's request: those are frequent, and must not displace
	// the rare ones.
	IsRequest bool `json:"request,omitempty"`
}

// Streams of a journal, each with a bound of its own.
const (
	requestStream = iota // entries about callers' requests
	decisionStream
	streamCount
)

// stream returns the index of the stream that an entry belongs to.
func (entry Entry) stream() int {
	if entry.IsRequest {
		return requestStream
	}
	return decisionStream
}

// compareEntries orders the entries of one node: by process, then by their number in it. Entries of an
// unknown process may have the same number; their subjects make the order definite.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Subject, b.Subject))
}

// MergeEntries merges lists of one node's entries, of disk and memory, into one in order, without
// duplicates.
func MergeEntries(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEntries)
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Start == b.Start && a.Seq == b.Seq })
}
