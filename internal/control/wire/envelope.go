package wire

import (
	"encoding/json"
	"fmt"

	"dunlinloom/internal/control/cluster"
)

// Decoding of messages from other nodes. Any input results either in a message that the control plane can process
// or in an error that states what is wrong.

const (
	// MessageFormat is the newest message format that this build reads. It is raised for a message that an
	// older build would misinterpret. New fields and new kinds of messages don't need that.
	MessageFormat = 1
)

// MessageTooLargeError reports that a message is larger than any that a node sends.
type MessageTooLargeError struct{ Bytes, Limit int }

func (e MessageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// NewerMessageError reports that a message has a later format than this build reads, so its sender runs a newer build.
type NewerMessageError struct{ Found, Known int }

func (e NewerMessageError) Error() string {
	return fmt.Sprintf("message has format %d, but this build supports formats up to %d", e.Found, e.Known)
}

// ForeignFleetError reports that a message comes from another fleet.
type ForeignFleetError struct{ Found, Own string }

func (e ForeignFleetError) Error() string {
	return fmt.Sprintf("message belongs to fleet %q, not to %q", e.Found, e.Own)
}

// ForeignClusterError reports that a message has another cluster id. A fleet gets a new cluster id when its core is
// rebuilt, so either the sender or this node has not joined the rebuilt cluster.
type ForeignClusterError struct{ Found, Own string }

func (e ForeignClusterError) Error() string {
	return fmt.Sprintf("message belongs to cluster %q, not to %q", e.Found, e.Own)
}

// MisdirectedError reports that a message is addressed to another node.
type MisdirectedError struct{ To string }

func (e MisdirectedError) Error() string { return "message is addressed to " + e.To }

// ReadEnvelope decodes a message. The error is a MessageTooLargeError, a MalformedMessageError, a NewerMessageError
// or an InvalidDocumentError.
func ReadEnvelope(content []byte) (Envelope, error) {
	var envelope Envelope
	if len(content) > cluster.MaxMessageBytes {
		return envelope, fmt.Errorf("read a message: %w", MessageTooLargeError{len(content), cluster.MaxMessageBytes})
	}
	if err := json.Unmarshal(content, &envelope); err != nil {
		return envelope, fmt.Errorf("read a message: %w", cluster.MalformedMessageError{Reason: err.Error()})
	}
	if envelope.Format > MessageFormat {
		return envelope, fmt.Errorf("read a message: %w", NewerMessageError{envelope.Format, MessageFormat})
	}
	if envelope.From == "" || envelope.To == "" {
		return envelope, fmt.Errorf("read a message: %w", cluster.MalformedMessageError{Reason: "its sender or receiver is not set"})
	}
	if count := envelope.Message.count(); count > 1 {
		return envelope, fmt.Errorf("read a message: %w", cluster.MalformedMessageError{Reason: fmt.Sprintf("%d of its message fields are set, but only one may be", count)})
	}
	for _, document := range envelope.Message.Documents() {
		if err := document.Check(); err != nil {
			return envelope, fmt.Errorf("read a message: %w", err)
		}
	}
	return envelope, nil
}
