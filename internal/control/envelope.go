package control

import (
	"encoding/json"
	"fmt"

	"dunlinloom/internal/kernel"
)

// How a message from another node is read. Whatever comes, the reader gets a message that the owners
// can bear or an error that names the fault.

const (
	// messageFormat is the newest form of messages that this build reads. One that an older build
	// would misunderstand gets a higher number; new fields and kinds need none.
	messageFormat = 1
)

// maxMessageBytes bounds a message: a configuration of 4 MiB as text, and what goes with it.
const maxMessageBytes = 16 << 20

// maxVoters bounds the voters that a document from elsewhere may name.
const maxVoters = 64

// MessageTooLargeError says that a message is larger than any that a node sends.
type MessageTooLargeError struct{ Bytes, Limit int }

func (b MessageTooLargeError) Error() string {
	return fmt.Sprintf("a message of %d bytes is larger than %d", b.Bytes, b.Limit)
}

// MalformedMessageError says that a message is torn, or holds what no node sends.
type MalformedMessageError struct{ Reason string }

func (b MalformedMessageError) Error() string { return "a malformed message: " + b.Reason }

// NewerMessageError says that a message is of a later format.
type NewerMessageError struct{ Found, Known int }

func (b NewerMessageError) Error() string {
	return fmt.Sprintf("a message is of format %d, this build knows up to %d", b.Found, b.Known)
}

// ForeignFleetError says that a message belongs to another fleet.
type ForeignFleetError struct{ Found, Own string }

func (b ForeignFleetError) Error() string {
	return fmt.Sprintf("it belongs to fleet %q, not %q", b.Found, b.Own)
}

// ForeignClusterError says that a message belongs to another founding of the fleet.
type ForeignClusterError struct{ Found, Own string }

func (b ForeignClusterError) Error() string {
	return fmt.Sprintf("it belongs to another founding of the fleet, %q and not %q", b.Found, b.Own)
}

// MisdirectedError says that a message was meant for another node.
type MisdirectedError struct{ To string }

func (b MisdirectedError) Error() string { return "it was meant for " + b.To }

// InvalidDocumentError says what about a document can't be.
type InvalidDocumentError struct{ Reason string }

func (b InvalidDocumentError) Error() string { return "a document that can't be: " + b.Reason }

// ReadEnvelope decodes a message. Its error is a MessageTooLargeError, a MalformedMessageError, a NewerMessageError
// or an InvalidDocumentError.
func ReadEnvelope(content []byte) (Envelope, error) {
	var envelope Envelope
	if len(content) > maxMessageBytes {
		return envelope, fmt.Errorf("read a message: %w", MessageTooLargeError{len(content), maxMessageBytes})
	}
	if err := json.Unmarshal(content, &envelope); err != nil {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessageError{err.Error()})
	}
	if envelope.Format > messageFormat {
		return envelope, fmt.Errorf("read a message: %w", NewerMessageError{envelope.Format, messageFormat})
	}
	if envelope.From == "" || envelope.To == "" {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessageError{"it does not say from whom and to whom it is"})
	}
	if count := envelope.Message.count(); count > 1 {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessageError{fmt.Sprintf("it holds %d messages", count)})
	}
	for _, document := range envelope.Message.documents() {
		if err := document.check(); err != nil {
			return envelope, fmt.Errorf("read a message: %w", err)
		}
	}
	return envelope, nil
}

// check tells whether a document is one that a leader may have made, whole or without its configuration.
func (d *Document) check() error {
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
	return d.checkChain()
}

func (d *Document) checkChain() error {
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

// rejection tells why a message is not for this node; nil: it is.
func (n *Node) rejection(envelope Envelope) error {
	switch own := n.clusterID(); {
	case envelope.Fleet != n.settings.Identity.Fleet:
		return ForeignFleetError{envelope.Fleet, n.settings.Identity.Fleet}
	case own != "" && envelope.ClusterID != "" && own != envelope.ClusterID:
		return ForeignClusterError{envelope.ClusterID, own}
	case envelope.To != n.self():
		return MisdirectedError{envelope.To}
	}
	return nil
}

// noteRejection notes the first refusal of a sender's messages, and one more now and then.
func (n *Node) noteRejection(from string, err error) {
	if _, isNoted := n.rejected[from]; isNoted {
		return
	}
	n.rejected[from] = n.now
	n.note("node "+from, "decline message", err.Error())
}

// Unreadable notes a message that could not be read.
func (n *Node) Unreadable(now kernel.Micros, from string, err error) []any {
	n.now = now
	n.noteRejection(from, err)
	return n.finish()
}
