package cluster

import (
	"fmt"
)

// maxVoters limits the number of voters in a received document.
const maxVoters = 64

// Check validates a received document, which may come without its configuration. The error is an
// InvalidDocumentError; a nil document is valid.
func (d *Document) Check() error {
	if d == nil {
		return nil
	}
	if d.ClusterID == "" || d.Revision == 0 || d.Term == 0 {
		return InvalidDocumentError{"its cluster id, revision or term is not set"}
	}
	if len(d.Voters) == 0 || len(d.Voters) > maxVoters {
		return InvalidDocumentError{fmt.Sprintf("it has %d voters", len(d.Voters))}
	}
	voters := map[MemberID]bool{}
	for _, member := range d.Voters {
		if member.ID == "" || voters[member.ID] {
			return InvalidDocumentError{fmt.Sprintf("the voter id %q is empty or a duplicate", member.ID)}
		}
		voters[member.ID] = true
	}
	return d.CheckChain()
}

// CheckChain checks that the chain of configurations is in ascending order and ends with the document's own
// configuration. If the document has its configuration, the digest has to match. The error is an
// InvalidDocumentError.
func (d *Document) CheckChain() error {
	if d.ConfigRevision > d.Revision {
		return InvalidDocumentError{fmt.Sprintf("its configuration has revision %d, which is above its own revision %d", d.ConfigRevision, d.Revision)}
	}
	last := ConfigRef{}
	for _, entry := range d.ConfigChain {
		if entry.Revision <= last.Revision {
			return InvalidDocumentError{"its configuration chain is not in ascending order"}
		}
		last = entry
	}
	if len(d.ConfigChain) == 0 {
		return nil
	}
	if last.Revision != d.ConfigRevision {
		return InvalidDocumentError{"its configuration chain does not end with the revision of its configuration"}
	}
	if len(d.Config) > 0 && ConfigRefOf(d) != last {
		return InvalidDocumentError{"its configuration does not match the digest in its chain"}
	}
	return nil
}
