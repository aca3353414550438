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
	// mostMessage bounds a message: a configuration of 4 MiB as text, and what goes with it.
	mostMessage = 16 << 20
	mostVoters  = 64
)

// MessageTooLarge says that a message is larger than any that a node sends.
type MessageTooLarge struct{ Bytes, Most int }

func (b MessageTooLarge) Error() string {
	return fmt.Sprintf("a message of %d bytes is larger than %d", b.Bytes, b.Most)
}

// MalformedMessage says that a message is torn, or holds what no node sends.
type MalformedMessage struct{ Why string }

func (b MalformedMessage) Error() string { return "a malformed message: " + b.Why }

// NewerMessage says that a message is of a later format.
type NewerMessage struct{ Found, Known int }

func (b NewerMessage) Error() string {
	return fmt.Sprintf("a message is of format %d, this build knows up to %d", b.Found, b.Known)
}

// ForeignFleet says that a message belongs to another fleet.
type ForeignFleet struct{ Found, Own string }

func (b ForeignFleet) Error() string {
	return fmt.Sprintf("it belongs to fleet %q, not %q", b.Found, b.Own)
}

// ForeignFounding says that a message belongs to another founding of the fleet.
type ForeignFounding struct{ Found, Own string }

func (b ForeignFounding) Error() string {
	return fmt.Sprintf("it belongs to another founding of the fleet, %q and not %q", b.Found, b.Own)
}

// Misdirected says that a message was meant for another node.
type Misdirected struct{ To string }

func (b Misdirected) Error() string { return "it was meant for " + b.To }

// InvalidDocument says what about a document can't be.
type InvalidDocument struct{ Why string }

func (b InvalidDocument) Error() string { return "a document that can't be: " + b.Why }

// ReadEnvelope decodes a message. Its error is a MessageTooLarge, a MalformedMessage, a NewerMessage
// or an InvalidDocument.
func ReadEnvelope(content []byte) (Envelope, error) {
	var envelope Envelope
	if len(content) > mostMessage {
		return envelope, fmt.Errorf("read a message: %w", MessageTooLarge{len(content), mostMessage})
	}
	if err := json.Unmarshal(content, &envelope); err != nil {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessage{err.Error()})
	}
	if envelope.Format > messageFormat {
		return envelope, fmt.Errorf("read a message: %w", NewerMessage{envelope.Format, messageFormat})
	}
	if envelope.From == "" || envelope.To == "" {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessage{"it does not say from whom and to whom it is"})
	}
	if count := envelope.Message.count(); count > 1 {
		return envelope, fmt.Errorf("read a message: %w", MalformedMessage{fmt.Sprintf("it holds %d messages", count)})
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
	if d.Founding == "" || d.Revision == 0 || d.Term == 0 {
		return InvalidDocument{"it names no founding, term or revision"}
	}
	if len(d.Voters) == 0 || len(d.Voters) > mostVoters {
		return InvalidDocument{fmt.Sprintf("it has %d voters", len(d.Voters))}
	}
	voters := map[MemberID]bool{}
	for _, member := range d.Voters {
		if member.ID == "" || voters[member.ID] {
			return InvalidDocument{fmt.Sprintf("%q is no voter's id, or is there twice", member.ID)}
		}
		voters[member.ID] = true
	}
	return d.checkChain()
}

func (d *Document) checkChain() error {
	if d.ConfigRevision > d.Revision {
		return InvalidDocument{fmt.Sprintf("its configuration is of revision %d and itself of %d", d.ConfigRevision, d.Revision)}
	}
	last := ConfigMark{}
	for _, mark := range d.Chain {
		if mark.Revision <= last.Revision {
			return InvalidDocument{"its chain is out of order"}
		}
		last = mark
	}
	if len(d.Chain) == 0 {
		return nil
	}
	if last.Revision != d.ConfigRevision {
		return InvalidDocument{"its chain does not end with its configuration"}
	}
	if len(d.Config) > 0 && MarkOf(d) != last {
		return InvalidDocument{"its configuration is not the one that its chain names"}
	}
	return nil
}

// refusal tells why a message is not for this node; nil: it is.
func (n *Node) refusal(envelope Envelope) error {
	switch own := n.founding(); {
	case envelope.Fleet != n.settings.Identity.Fleet:
		return ForeignFleet{envelope.Fleet, n.settings.Identity.Fleet}
	case own != "" && envelope.Founding != "" && own != envelope.Founding:
		return ForeignFounding{envelope.Founding, own}
	case envelope.To != n.self():
		return Misdirected{envelope.To}
	}
	return nil
}

// noteRefusal notes the first refusal of a sender's messages, and one more now and then.
func (n *Node) noteRefusal(from string, err error) {
	if _, isNoted := n.rejected[from]; isNoted {
		return
	}
	n.rejected[from] = n.now
	n.note("node "+from, "decline message", err.Error())
}

// Unreadable notes a message that could not be read.
func (n *Node) Unreadable(now kernel.Micros, from string, err error) []any {
	n.now = now
	n.noteRefusal(from, err)
	return n.finish()
}
