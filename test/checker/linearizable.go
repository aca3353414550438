package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// RegisterOperation is one operation of an operator on the configuration: a compare-and-set by version
// (put) or a read of the newest version. Call and Return are the times at which it was sent and
// answered; they order the operations that did not overlap.
type RegisterOperation struct {
	Client int
	Call   int64
	Return int64 // ignored if the outcome is unknown
	IsRead bool
	// Of a read: the version and value returned. Of a put: the version it builds on and the value it sets.
	Version uint64
	Value   string
	// The following fields apply to puts only.
	Outcome         PutOutcome
	IsUnconditional bool   // the put builds on any current version
	Sets            uint64 // the version that the put creates, higher than the one before; zero: unknown

	floor uint64 // see setFloors
}

// PutOutcome is the outcome of a compare-and-set as its caller knows it.
type PutOutcome int

// The outcomes of a compare-and-set.
const (
	PutUnknown  PutOutcome = iota // may take effect at any time after the call, or never
	PutDone                       // took effect on the version it builds on
	PutRejected                   // took no effect and never will
)

// NotLinearizableError reports that no sequential order of the operations explains what their callers saw.
type NotLinearizableError struct{ Operations int }

func (err NotLinearizableError) Error() string {
	return fmt.Sprintf("history of %d operations is not linearizable: no sequential order explains the results", err.Operations)
}

// UndecidedError reports that the check did not finish within its timeout.
type UndecidedError struct{ Operations int }

func (err UndecidedError) Error() string {
	return fmt.Sprintf("linearizability check of %d operations timed out", err.Operations)
}

// registerState is the state of the register model: a configuration and its version.
type registerState struct {
	version uint64
	value   string
	// isVersionUnknown means that the newest put took effect under a version which its caller never
	// learned. That version is higher than version.
	isVersionUnknown bool
}

// canBeAtVersion reports whether a version may be the current one.
func (s registerState) canBeAtVersion(version uint64) bool {
	if s.isVersionUnknown {
		return version > s.version
	}
	return version == s.version
}

// after returns the state that a put leads to.
func (s registerState) after(put RegisterOperation) registerState {
	if put.Sets == 0 {
		return registerState{s.version, put.Value, true}
	}
	return registerState{put.Sets, put.Value, false}
}

// registerModel models a register with compare-and-set by version. Rejected puts are not part of it. They
// have no effect and imply no particular version, since a leader may reject a put because of another one
// that is committed only afterwards. Each would also multiply the number of sequences to try.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, _ any) (bool, any) {
		// Values of other types do not come from Init, Step or CheckLinearizable.
		register, isState := state.(registerState)
		operation, isOperation := input.(RegisterOperation)
		if !isState || !isOperation {
			return false, state
		}
		return stepRegister(register, operation)
	},
	Equal: func(one, other any) bool { return one == other },
}

func stepRegister(state registerState, operation RegisterOperation) (bool, any) {
	if operation.IsRead {
		isShown := state.value == operation.Value && state.canBeAtVersion(operation.Version) && state.version >= operation.floor
		return isShown, registerState{operation.Version, operation.Value, false}
	}
	isBase := operation.IsUnconditional || state.canBeAtVersion(operation.Version)
	isRising := operation.Sets == 0 || operation.Sets > state.version && state.version >= operation.floor
	if isBase && isRising {
		return true, state.after(operation)
	}
	// A put of unknown outcome whose base version is no longer current takes no effect.
	return operation.Outcome == PutUnknown, state
}

// CheckLinearizable returns nil if the history of a register that starts empty at version zero is
// linearizable. Otherwise it returns a NotLinearizableError, or an UndecidedError after the timeout.
func CheckLinearizable(history []RegisterOperation, timeout time.Duration) error {
	operations := []porcupine.Operation{}
	for _, operation := range decisiveOperations(history) {
		returned := operation.Return
		if operation.isUnknown() {
			returned = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: operation.Client, Input: operation, Call: operation.Call, Return: returned,
		})
	}
	switch porcupine.CheckOperationsTimeout(registerModel, operations, timeout) {
	case porcupine.Illegal:
		return NotLinearizableError{len(history)}
	case porcupine.Unknown:
		return UndecidedError{len(history)}
	}
	return nil
}

func (o RegisterOperation) isUnknown() bool { return !o.IsRead && o.Outcome == PutUnknown }

// decisiveOperations returns the operations that decide whether a history is linearizable. Each operation left out
// halves the number of sequences to try, and dozens of puts may be concurrent.
func decisiveOperations(history []RegisterOperation) []RegisterOperation {
	known := knownVersions(history)
	canOmitUnseen := areBasesKnown(history, known)
	values := map[string]bool{}
	for _, operation := range history {
		if operation.IsRead {
			values[operation.Value] = true
		}
	}
	selected := []RegisterOperation{}
	for _, operation := range history {
		isRejected := !operation.IsRead && operation.Outcome == PutRejected
		// A put whose value was never read and on which no other put builds can always be ordered last.
		isUnseen := operation.isUnknown() && operation.Sets == 0 && !values[operation.Value]
		if isRejected || isUnseen && canOmitUnseen {
			continue
		}
		selected = append(selected, operation)
	}
	setFloors(selected, known)
	return selected
}

// knownVersions returns, in ascending order, the versions that are known to have been current.
func knownVersions(history []RegisterOperation) []uint64 {
	known := []uint64{}
	for _, operation := range history {
		switch {
		case operation.IsRead:
			known = append(known, operation.Version)
		case operation.Outcome == PutDone && operation.Sets > 0:
			known = append(known, operation.Sets)
		}
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// areBasesKnown reports whether every conditional put that may have taken effect builds on a known version
// or on version zero.
func areBasesKnown(history []RegisterOperation, known []uint64) bool {
	for _, operation := range history {
		if operation.IsRead || operation.Outcome == PutRejected || operation.IsUnconditional || operation.Version == 0 {
			continue
		}
		if _, isKnown := slices.BinarySearch(known, operation.Version); !isKnown {
			return false
		}
	}
	return true
}

// setFloors sets the floor of each operation to the newest known version below its own. Versions only
// rise, so that version was current before. A sequence that has not reached it yet need not be tried further.
func setFloors(operations []RegisterOperation, known []uint64) {
	for i := range operations {
		operation := &operations[i]
		version := operation.Sets
		if operation.IsRead {
			version = operation.Version
		}
		if index, _ := slices.BinarySearch(known, version); version > 0 && index > 0 {
			operation.floor = known[index-1]
		}
	}
}
