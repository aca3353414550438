package checker

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// put returns a compare-and-set on base, called and returned at the given times.
func put(client int, call, returned int64, base uint64, value string, outcome PutOutcome) RegisterOperation {
	return RegisterOperation{Client: client, Call: call, Return: returned, Version: base, Value: value, Outcome: outcome, Sets: base + 1}
}

// overwrite returns an unconditional put. sets is zero if its caller never learned the new version.
func overwrite(client int, call, returned int64, value string, outcome PutOutcome, sets uint64) RegisterOperation {
	return RegisterOperation{Client: client, Call: call, Return: returned, Value: value, Outcome: outcome, IsUnconditional: true, Sets: sets}
}

func read(client int, call, returned int64, version uint64, value string) RegisterOperation {
	return RegisterOperation{Client: client, Call: call, Return: returned, IsRead: true, Version: version, Value: value}
}

func TestHistoriesThatAreNotLinearizableAreFound(t *testing.T) {
	for name, history := range map[string][]RegisterOperation{
		"two puts are confirmed on one version": {
			put(1, 1, 4, 0, "a", PutDone), put(2, 2, 3, 0, "b", PutDone),
		},
		"a read is older than an acknowledgement before it": {
			put(1, 1, 2, 0, "a", PutDone), read(2, 3, 4, 0, ""),
		},
		"a read is older than one that returned before it": {
			put(1, 1, 9, 0, "a", PutDone), read(2, 2, 3, 1, "a"), read(3, 4, 5, 0, ""),
		},
		"a rejected put is read": {
			put(1, 1, 2, 0, "a", PutRejected), read(2, 3, 4, 1, "a"),
		},
		"a put of unknown outcome is read before it was sent": {
			read(2, 1, 2, 1, "a"), put(1, 3, 0, 0, "a", PutUnknown),
		},
		"a put of unknown outcome is read and then another is confirmed on its version": {
			put(1, 1, 0, 0, "a", PutUnknown), read(2, 2, 3, 1, "a"), put(3, 4, 5, 0, "b", PutDone),
		},
		"a version is read with the value of another put": {
			put(1, 1, 2, 0, "a", PutDone), put(2, 1, 0, 0, "b", PutUnknown), read(3, 3, 4, 1, "b"),
		},
		"an acknowledged put is lost": {
			put(1, 1, 2, 0, "a", PutDone), put(1, 3, 4, 1, "b", PutDone), read(2, 5, 6, 1, "a"),
		},
		"overwrites are acknowledged in descending order of versions": {
			overwrite(1, 1, 2, "a", PutDone, 7), overwrite(1, 3, 4, "b", PutDone, 6),
		},
		"a put is confirmed on a version that was overwritten": {
			overwrite(1, 1, 2, "a", PutDone, 5), overwrite(1, 3, 4, "b", PutDone, 6), put(2, 5, 6, 5, "c", PutDone),
		},
		"a put of unknown version is read under a version below the one before": {
			overwrite(1, 1, 2, "a", PutDone, 5), overwrite(1, 3, 0, "b", PutUnknown, 0), read(2, 5, 6, 4, "b"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, CheckLinearizable(history, time.Minute), qt.ErrorAs, new(NotLinearizableError))
		})
	}
}

func TestLinearizableHistoriesPass(t *testing.T) {
	for name, history := range map[string][]RegisterOperation{
		"nothing happened": {},
		"one of two puts on one version is confirmed": {
			put(1, 1, 4, 0, "a", PutDone), put(2, 2, 3, 0, "b", PutRejected), read(3, 5, 6, 1, "a"),
		},
		"reads that overlap a put show the value before or after it": {
			put(1, 1, 9, 0, "a", PutDone), read(2, 2, 5, 0, ""), read(3, 3, 4, 1, "a"),
		},
		"a put of unknown outcome takes effect long after its call": {
			put(1, 1, 0, 0, "a", PutUnknown), read(2, 2, 3, 0, ""), read(2, 8, 9, 1, "a"),
		},
		"a put of unknown outcome never takes effect": {
			put(1, 1, 0, 0, "a", PutUnknown), put(2, 3, 4, 0, "b", PutDone), read(2, 5, 6, 1, "b"),
		},
		"a put is built on one of unknown outcome": {
			put(1, 1, 0, 0, "a", PutUnknown), put(2, 3, 4, 1, "b", PutDone), read(2, 5, 6, 2, "b"),
		},
		"a put of unknown version is read and built on": {
			overwrite(1, 1, 2, "a", PutDone, 5), overwrite(1, 3, 0, "b", PutUnknown, 0), read(2, 5, 6, 9, "b"), put(1, 7, 8, 9, "c", PutDone),
		},
		"versions rise by more than one": {
			overwrite(1, 1, 2, "a", PutDone, 5), overwrite(2, 3, 4, "b", PutDone, 9), read(2, 5, 6, 9, "b"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, CheckLinearizable(history, time.Minute), qt.IsNil)
		})
	}
}

// Dozens of concurrent puts with known versions have to be checked quickly: the floors exclude most of their
// possible orders.
func TestManyOverlappingPutsAreCheckedSoon(t *testing.T) {
	const count = 60
	history := []RegisterOperation{}
	for i := range count {
		history = append(history, overwrite(i, int64(i), count+int64(i), fmt.Sprint("value ", i), PutDone, uint64(count-i)))
		history = append(history, overwrite(i, int64(i), 0, fmt.Sprint("unseen ", i), PutUnknown, 0))
	}
	last := read(count, 3*count, 4*count, count, "value 0")
	qt.Assert(t, CheckLinearizable(append(history, last), time.Minute), qt.IsNil)
	last.Version = 1
	last.Value = fmt.Sprint("value ", count-1)
	qt.Assert(t, CheckLinearizable(append(history, last), time.Minute), qt.ErrorAs, new(NotLinearizableError))
}

// hardToCheck returns a history whose puts of unknown outcome have more possible orders than can be tried.
func hardToCheck() []RegisterOperation {
	history := []RegisterOperation{}
	for i := range 40 {
		history = append(history, overwrite(i, 1, 0, fmt.Sprint("value ", i), PutUnknown, 0))
	}
	// The last put builds on a version that only one of the others can have created.
	return append(history, put(40, 2, 3, 7, "z", PutDone), read(40, 4, 5, 1, "a value that no put set"))
}

func TestCheckThatTimesOutIsUndecided(t *testing.T) {
	qt.Assert(t, CheckLinearizable(hardToCheck(), time.Millisecond), qt.ErrorAs, new(UndecidedError))
}
