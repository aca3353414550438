package commands

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
)

// Command is an action or an answer that a node returns to the process that runs it. The commands of this
// package are those of a core. The commands of a node are declared next to the methods that return them.
type Command interface {
	// IsCommand marks the types that are commands.
	IsCommand()
}

// Send sends a message. Delivery is not guaranteed.
type Send struct {
	To      string
	Message wire.Message
}

// Save writes hard state, a document or both, or acceptor state, and syncs them to disk. The process executes
// Save commands in the order of their tokens and reports the result to Node.Saved.
type Save struct {
	Token         uint64
	HardState     *cluster.HardState
	Document      *cluster.Document
	AcceptorState *cluster.AcceptorState
}

// CompileConfig compiles a document's configuration outside the goroutine of the node. The process reports the
// result to Node.ConfigCompiled.
type CompileConfig struct{ Document *cluster.Document }

// LoadConfig reads an earlier configuration from disk and sends it to another member.
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

// IsCommand marks a command.
func (Send) IsCommand() {}

// IsCommand marks a command.
func (Save) IsCommand() {}

// IsCommand marks a command.
func (CompileConfig) IsCommand() {}

// IsCommand marks a command.
func (LoadConfig) IsCommand() {}

// IsCommand marks a command.
func (Probe) IsCommand() {}

// IsCommand marks a command.
func (SaveHistory) IsCommand() {}
