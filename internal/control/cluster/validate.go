package cluster

import (
	"fmt"
)

// maxVoters bounds the voters that a document from elsewhere may name.
const maxVoters = 64

// Check tells whether a document is one that a leader may have made, whole or without its configuration.
func (d *Document) Check() error {
	if d == nil {
		return nil
	}
	if d.ClusterID == "" || d.Revision == 0 || d.Term == 0 {
		return InvalidDocumentError{"it names no founding, term or revision"}
	}
	if len(d.Voters) == 0 || len(d.Voters) > maxVoters {
		return InvalidDocumentError{fmt.Sprintf("it has %d voters", len(d.Voters))}
	}
	voters := map[MemberID]bool{}
	for _, member := range d.Voters {
		if member.ID == "" || voters[member.ID] {
			return InvalidDocumentError{fmt.Sprintf("%q is no voter's id, or is there twice", member.ID)}
		}
		voters[member.ID] = true
	}
	return d.CheckChain()
}

// CheckChain checks that the chain of configurations is in order and ends with the document's own; where the
// document carries its configuration, that must fit the digest. The error is an InvalidDocumentError.
func (d *Document) CheckChain() error {
	if d.ConfigRevision > d.Revision {
		return InvalidDocumentError{fmt.Sprintf("its configuration is of revision %d and itself of %d", d.ConfigRevision, d.Revision)}
	}
	last := ConfigRef{}
	for _, entry := range d.ConfigChain {
		if entry.Revision <= last.Revision {
			return InvalidDocumentError{"its chain is out of order"}
		}
		last = entry
	}
	if len(d.ConfigChain) == 0 {
		return nil
	}
	if last.Revision != d.ConfigRevision {
		return InvalidDocumentError{"its chain does not end with its configuration"}
	}
	if len(d.Config) > 0 && ConfigRefOf(d) != last {
		return InvalidDocumentError{"its configuration is not the one that its chain names"}
	}
	return nil
}
