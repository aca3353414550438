package commands

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
)

// Command is what a node asks its shell to carry out, or answers it. The commands of this package are those of a core; those of
// a node stand beside the calls that lead to them.
type Command interface {
	// IsCommand marks the types that are commands.
	IsCommand()
}

// Send asks the shell to carry a message; it may get lost.
type Send struct {
	To      string
	Message wire.Message
}

// Save asks the shell to sync a ballot, a document or both, or a vote on the founding, in
// this order of tokens, and to bring a Saved event back.
type Save struct {
	Token         uint64
	HardState     *cluster.HardState
	Document      *cluster.Document
	AcceptorState *cluster.AcceptorState
}

// CompileConfig asks the shell to compile a document's configuration beside the owners, and to bring a
// Prepared event back.
type CompileConfig struct{ Document *cluster.Document }

// LoadConfig asks the shell to read a configuration of the past for another member.
type LoadConfig struct {
	To     string
	Config cluster.ConfigRef
}

// Probe asks the shell to try an engine at once, and to tell with Probed.
type Probe struct{ Engine registry.EngineRecord }

// SaveHistory asks the shell to keep configurations of the past that other members had, in one write.
// Node.Kept takes the outcome.
type SaveHistory struct{ Documents []*cluster.Document }

// NoSpaceError says that the folder's bound leaves no room for a configuration of the past.
type NoSpaceError struct{ Bytes, Limit int }

func (b NoSpaceError) Error() string {
	return fmt.Sprintf("with it the documents would take %d bytes, and %d are allowed", b.Bytes, b.Limit)
}

// SaveHistoryResult says what became of documents of the past that a folder was to keep.
type SaveHistoryResult struct {
	Saved []uint64 // the revisions of the configurations that are in the folder now
	// Rejected is the first revision that is not, and Err why; no later one was tried. Nil: all are kept.
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
