package checker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// atConsecutiveTimes sets the times of the events, one microsecond apart.
func atConsecutiveTimes(events ...OperationEvent) []OperationEvent {
	for i := range events {
		events[i].At = kernel.Micros(i + 1)
	}
	return events
}

func sentOperation(call int, operation string, base, version uint64) OperationEvent {
	return OperationEvent{EventKind: OperationSent, Call: call, Operation: operation, Base: base, Version: version, Digest: operation}
}

func ended(call int, operation string, status int) OperationEvent {
	return OperationEvent{EventKind: OperationEnded, Call: call, Operation: operation, Status: status}
}

func readSent(call int) OperationEvent { return OperationEvent{EventKind: ReadSent, Call: call} }

func readAnswered(call int, version uint64, digest string) OperationEvent {
	return OperationEvent{EventKind: ReadAnswered, Call: call, Version: version, Digest: digest, Status: 200}
}

func atEnd(event OperationEvent) OperationEvent {
	event.IsLast = true
	return event
}

func rulesOf(violations []Violation) []Rule {
	rules := []Rule{}
	for _, violation := range violations {
		rules = append(rules, violation.Rule)
	}
	return rules
}

func TestEveryPlantedViolationOfOperationsIsFound(t *testing.T) {
	end := []OperationEvent{readSent(90), atEnd(readAnswered(90, 2, "b"))}
	invalid := sentOperation(1, "bad", 0, 1)
	invalid.IsInvalid = true
	for _, planted := range []struct {
		rule   Rule
		events []OperationEvent
	}{
		{StaleRead, append([]OperationEvent{sentOperation(1, "a", 0, 1), ended(1, "a", 200), sentOperation(2, "b", 1, 2), ended(2, "b", 200), readSent(3), readAnswered(3, 1, "a")}, end...)},
		{ReadMismatch, append([]OperationEvent{sentOperation(2, "b", 1, 2), ended(2, "b", 200), readSent(3), readAnswered(3, 2, "changed")}, end...)},
		{ConflictingAcknowledgements, append([]OperationEvent{sentOperation(1, "a", 0, 1), sentOperation(2, "b", 0, 2), ended(1, "a", 200), ended(2, "b", 200)}, end...)},
		{AcknowledgedRepeatRejected, append([]OperationEvent{sentOperation(1, "b", 0, 2), ended(1, "b", 200), sentOperation(2, "b", 0, 2), ended(2, "b", 412)}, end...)},
		{InvalidAccepted, append([]OperationEvent{invalid, ended(1, "bad", 200), sentOperation(2, "b", 1, 2), ended(2, "b", 200)}, end...)},
		{RejectedInForce, append([]OperationEvent{sentOperation(2, "b", 1, 2), ended(2, "b", 412)}, end...)},
		{FinalReadMissing, []OperationEvent{sentOperation(2, "b", 1, 2), ended(2, "b", 200)}},
		{FinalReadStale, []OperationEvent{sentOperation(1, "a", 0, 1), ended(1, "a", 200), sentOperation(2, "b", 1, 2), ended(2, "b", 200), readSent(3), atEnd(readAnswered(3, 1, "a"))}},
	} {
		t.Run(string(planted.rule), func(t *testing.T) {
			qt.Check(t, rulesOf(CheckOperations(atConsecutiveTimes(planted.events...))), qt.DeepEquals, []Rule{planted.rule})
		})
	}
}

func TestNearMissesOfOperationsAreNotReported(t *testing.T) {
	end := []OperationEvent{readSent(90), atEnd(readAnswered(90, 2, "b"))}
	for name, events := range map[string][]OperationEvent{
		"a read that was sent before the acknowledgement": {sentOperation(1, "a", 0, 1), ended(1, "a", 200), sentOperation(2, "b", 1, 2), readSent(3), ended(2, "b", 200), readAnswered(3, 1, "a")},
		"one of two concurrent operations is rejected":    {sentOperation(1, "a", 0, 1), sentOperation(2, "b", 0, 2), ended(1, "a", 412), ended(2, "b", 200)},
		"a repeat that is acknowledged again":             {sentOperation(1, "b", 0, 2), ended(1, "b", 200), sentOperation(2, "b", 0, 2), ended(2, "b", 200)},
		"a repeat without an answer":                      {sentOperation(1, "b", 0, 2), ended(1, "b", 200), sentOperation(2, "b", 0, 2), ended(2, "b", 503)},
		"a repeat after another change":                   {sentOperation(1, "a", 0, 1), ended(1, "a", 200), sentOperation(2, "b", 1, 2), ended(2, "b", 200), sentOperation(3, "a", 0, 1), ended(3, "a", 412)},
		"an operation without an answer that took effect": {sentOperation(2, "b", 1, 2), ended(2, "b", 0)},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, CheckOperations(atConsecutiveTimes(append(events, end...)...)), qt.HasLen, 0)
		})
	}
}
