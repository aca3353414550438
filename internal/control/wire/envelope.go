package wire

import (
	"encoding/json"
	"fmt"

	"dunlinloom/internal/control/cluster"
)

// How a message from another node is read. Whatever comes, the reader gets a message that the owners
// can bear or an error that names the fault.

const (
	// MessageFormat is the newest form of messages that this build reads. One that an older build
	// would misunderstand gets a higher number; new fields and kinds need none.
	MessageFormat = 1
)

// MessageTooLargeError says that a message is larger than any that a node sends.
type MessageTooLargeError struct{ Bytes, Limit int }

func (b MessageTooLargeError) Error() string {
	return fmt.Sprintf("a message of %d bytes is larger than %d", b.Bytes, b.Limit)
}

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

// ReadEnvelope decodes a message. Its error is a MessageTooLargeError, a MalformedMessageError, a NewerMessageError
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
		return envelope, fmt.Errorf("read a message: %w", cluster.MalformedMessageError{Reason: "it does not say from whom and to whom it is"})
	}
	if count := envelope.Message.count(); count > 1 {
		return envelope, fmt.Errorf("read a message: %w", cluster.MalformedMessageError{Reason: fmt.Sprintf("it holds %d messages", count)})
	}
	for _, document := range envelope.Message.Documents() {
		if err := document.Check(); err != nil {
			return envelope, fmt.Errorf("read a message: %w", err)
		}
	}
	return envelope, nil
}
