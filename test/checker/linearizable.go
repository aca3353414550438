package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// RegisterOperation is one operation of an operator on the configuration: a compare-and-set on
// its version, or a read of the newest one. Call and Return order the operations that did
// not overlap.
type RegisterOperation struct {
	Client int
	Call   int64
	Return int64 // of no use where the outcome is unknown
	IsRead bool
	// A read: what it showed. A put: the version that it builds on, and what it sets.
	Version uint64
	Value   string
	// Of a put alone.
	Outcome         PutOutcome
	IsUnconditional bool   // it builds on whatever version is current
	Sets            uint64 // the version that it makes, above the one before; zero: not known

	floor uint64 // see setFloors
}

// PutOutcome is how a compare-and-set ended, as its caller knows.
type PutOutcome int

// The outcomes of a compare-and-set.
const (
	PutUnknown  PutOutcome = iota // it may take effect at any time after its call, or never
	PutDone                       // the version was the one that it builds on, and rose
	PutRejected                   // it took no effect and never will
)

// NotLinearizableError says that no order of a history explains what its callers saw.
type NotLinearizableError struct{ Operations int }

func (err NotLinearizableError) Error() string {
	return fmt.Sprintf("no order of the %d operations explains them", err.Operations)
}

// UndecidedError says that a history was too large for the time that it was given.
type UndecidedError struct{ Operations int }

func (err UndecidedError) Error() string {
	return fmt.Sprintf("the %d operations were not judged in time", err.Operations)
}

// registerState is a configuration and its version.
type registerState struct {
	version uint64
	value   string
	// isVersionUnknown: the newest put took effect under a version that its caller never learned; it
	// is above version.
	isVersionUnknown bool
}

// canBeAtVersion reports whether a version may be the current one.
func (s registerState) canBeAtVersion(version uint64) bool {
	if s.isVersionUnknown {
		return version > s.version
	}
	return version == s.version
}

// after is the state that a put leads to.
func (s registerState) after(put RegisterOperation) registerState {
	if put.Sets == 0 {
		return registerState{s.version, put.Value, true}
	}
	return registerState{put.Sets, put.Value, false}
}

// registerModel is a register with compare-and-set by version. Rejected puts are left out: they have
// no effect and need no particular version, as a leader may reject one for a put that is committed
// just after; and each would multiply the sequences to try.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, _ any) (bool, any) {
		// Anything else was not made by Init, Step and CheckLinearizable, and no history.
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
	// A put of unknown outcome that comes too late takes no effect.
	return operation.Outcome == PutUnknown, state
}

// CheckLinearizable checks a history of a register that begins empty at version zero; nil: it is
// linearizable. It fails with a NotLinearizableError, or with an UndecidedError after the time-out.
func CheckLinearizable(history []RegisterOperation, timeout time.Duration) error {
	operations := []porcupine.Operation{}
	for _, operation := range decisive(history) {
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

// decisive gives the operations that decide whether a history is linearizable. Each that is left out
// halves the sequences to try, and there may be dozens of puts at the same time.
func decisive(history []RegisterOperation) []RegisterOperation {
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
		// It was neither read nor built on, so it may as well come last.
		isUnseen := operation.isUnknown() && operation.Sets == 0 && !values[operation.Value]
		if isRejected || isUnseen && canOmitUnseen {
			continue
		}
		selected = append(selected, operation)
	}
	setFloors(selected, known)
	return selected
}

// knownVersions gives those that certainly were current once, in their order.
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

// areBasesKnown reports whether every put that was done on a version was done on a known one, or on none.
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

// setFloors gives each operation the newest known version below its own. As versions only rise, that
// one was current before, so that a sequence which has not reached it yet need not be tried further.
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
