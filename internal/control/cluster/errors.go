package cluster

// MaxMessageBytes limits the size of a message. It leaves room for a configuration of 4 MiB as text and the
// rest of its document.
const MaxMessageBytes = 16 << 20

// MalformedMessageError reports that a message is truncated or has content that no node sends.
type MalformedMessageError struct{ Reason string }

func (e MalformedMessageError) Error() string { return "malformed message: " + e.Reason }

// InvalidDocumentError reports that a document violates a rule that every document of a leader satisfies.
type InvalidDocumentError struct{ Reason string }

func (e InvalidDocumentError) Error() string { return "invalid document: " + e.Reason }
