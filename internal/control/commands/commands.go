package commands

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
)

// Command is an action or an answer that a node returns to the process that runs it. Package control declares
// further commands next to the methods that return them.
type Command interface {
	// IsCommand marks a type as a command.
	IsCommand()
}

// Send sends a message. Delivery is not guaranteed.
type Send struct {
	To      string
	Message wire.Message
}

// Save writes those of its fields that are not nil, and syncs them to disk. The process executes Save commands
// in the order of their tokens and reports each result to Node.Saved.
type Save struct {
	Token         uint64
	HardState     *cluster.HardState
	Document      *cluster.Document
	AcceptorState *cluster.AcceptorState
}

// CompileConfig compiles a document's configuration outside the goroutine of the node. The process reports the
// result to Node.ConfigCompiled.
type CompileConfig struct{ Document *cluster.Document }

// LoadConfig reads an earlier configuration from disk for another member. The process reports the result to
// Node.ConfigLoaded, which sends it to that member.
type LoadConfig struct {
	To     string
	Config cluster.ConfigRef
}

// Probe checks at once whether an engine responds. The process reports the result to Node.Probed.
type Probe struct{ Engine registry.EngineRecord }

// SaveHistory stores documents with earlier configurations, received from other members, in one write. The
// process reports the result to Node.HistoryStored.
type SaveHistory struct{ Documents []*cluster.Document }

// NoSpaceError reports that storing an earlier configuration would exceed the size limit of the data folder.
type NoSpaceError struct{ Bytes, Limit int }

func (e NoSpaceError) Error() string {
	return fmt.Sprintf("the stored documents would take %d bytes, which is above the limit of %d", e.Bytes, e.Limit)
}

// SaveHistoryResult is the result of a SaveHistory command.
type SaveHistoryResult struct {
	Saved []uint64 // the revisions of the configurations that are in the folder now
	// Rejected is the first revision that could not be stored, and Err is the reason. Later documents were
	// not tried. If Err is nil, all documents are stored.
	Rejected uint64
	Err      error
}

// IsCommand implements [Command].
func (Send) IsCommand() {}

// IsCommand implements [Command].
func (Save) IsCommand() {}

// IsCommand implements [Command].
func (CompileConfig) IsCommand() {}

// IsCommand implements [Command].
func (LoadConfig) IsCommand() {}

// IsCommand implements [Command].
func (Probe) IsCommand() {}

// IsCommand implements [Command].
func (SaveHistory) IsCommand() {}
