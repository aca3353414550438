// Package wire holds the messages between nodes: Envelope, the sum type Message with exactly one field set, and
// how both are read. Tags are fixed, since nodes of two versions run side by side. Messages may be lost,
// doubled, late or out of order; every receiver has to bear that. Source of the terms: docs/glossary.md.
package wire
