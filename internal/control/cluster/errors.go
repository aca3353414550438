package cluster

// MaxMessageBytes bounds a message: a configuration of 4 MiB as text, and what goes with it.
const MaxMessageBytes = 16 << 20

// MalformedMessageError says that a message is torn, or holds what no node sends.
type MalformedMessageError struct{ Reason string }

func (b MalformedMessageError) Error() string { return "a malformed message: " + b.Reason }

// InvalidDocumentError says what about a document can't be.
type InvalidDocumentError struct{ Reason string }

func (b InvalidDocumentError) Error() string { return "a document that can't be: " + b.Reason }
