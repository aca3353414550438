package kernel

import (
	"cmp"
	"slices"
)

// Entry is one decision with its reason.
type Entry struct {
	Seq       uint64 `json:"seq"`             // sequence number within the process, from zero
	Start     uint64 `json:"start,omitempty"` // start identity of the process; increases with each process
	At        Micros `json:"at_us"`           // by the node's own clock, so not comparable between nodes
	WallTime  Micros `json:"wall_us,omitempty"`
	Revision  uint64 `json:"era,omitempty"` // the revision in force at the node
	Component string `json:"part"`
	Subject   string `json:"subject"` // what the decision is about, such as a request, a member or an engine
	Decision  string `json:"decision"`
	Reason    string `json:"why"`
	// IsRequest marks an entry about one caller's request. These entries are frequent and have a stream of
	// their own, so that they don't displace the rare ones.
	IsRequest bool `json:"request,omitempty"`
}

// The streams of a journal. Each has its own size limit.
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

// compareEntries orders the entries of one node by process and then by sequence number. Entries without a
// start identity may have the same number; they are ordered by subject, to make the order deterministic.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Subject, b.Subject))
}

// MergeEntries merges lists of one node's entries, such as those on disk and in memory, into one ordered
// list without duplicates.
func MergeEntries(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEntries)
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Start == b.Start && a.Seq == b.Seq })
}
