// Package wire defines the messages between nodes: Envelope, the sum type Message of which exactly one field is
// set, and their decoding. JSON tags never change, since nodes of two versions run at the same time. Messages may
// be lost, duplicated, delayed or reordered, and every receiver has to tolerate that. docs/glossary.md defines the
// terms.
package wire
