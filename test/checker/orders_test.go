package checker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// history writes down events one microsecond apart.
func history(events ...OperationEvent) []OperationEvent {
	for i := range events {
		events[i].At = kernel.Micros(i + 1)
	}
	return events
}

func sentOrder(call int, order string, base, version uint64) OperationEvent {
	return OperationEvent{EventKind: OperationSent, Call: call, Operation: order, Base: base, Version: version, Digest: order}
}

func ended(call int, order string, status int) OperationEvent {
	return OperationEvent{EventKind: OperationEnded, Call: call, Operation: order, Status: status}
}

func askedFor(call int) OperationEvent { return OperationEvent{EventKind: ReadSent, Call: call} }

func shown(call int, version uint64, digest string) OperationEvent {
	return OperationEvent{EventKind: ReadAnswered, Call: call, Version: version, Digest: digest, Status: 200}
}

func lastly(event OperationEvent) OperationEvent {
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
	c := qt.New(t)
	end := []OperationEvent{askedFor(90), lastly(shown(90, 2, "b"))}
	invalid := sentOrder(1, "bad", 0, 1)
	invalid.IsInvalid = true
	for _, planted := range []struct {
		rule   Rule
		events []OperationEvent
	}{
		{StaleRead, append([]OperationEvent{sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), shown(3, 1, "a")}, end...)},
		{ReadMismatch, append([]OperationEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), shown(3, 2, "changed")}, end...)},
		{ConflictingAcknowledgements, append([]OperationEvent{sentOrder(1, "a", 0, 1), sentOrder(2, "b", 0, 2), ended(1, "a", 200), ended(2, "b", 200)}, end...)},
		{AcknowledgedRepeatRejected, append([]OperationEvent{sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 412)}, end...)},
		{InvalidAccepted, append([]OperationEvent{invalid, ended(1, "bad", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200)}, end...)},
		{RejectedInForce, append([]OperationEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 412)}, end...)},
		{FinalReadMissing, []OperationEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 200)}},
		{FinalReadStale, []OperationEvent{sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), lastly(shown(3, 1, "a"))}},
	} {
		c.Check(rulesOf(CheckOperations(history(planted.events...))), qt.DeepEquals, []Rule{planted.rule}, qt.Commentf("%s", planted.rule))
	}
}

func TestNearMissesOfOperationsAreNone(t *testing.T) {
	c := qt.New(t)
	end := []OperationEvent{askedFor(90), lastly(shown(90, 2, "b"))}
	for name, events := range map[string][]OperationEvent{
		"a read that was sent before the acknowledgement":  {sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), askedFor(3), ended(2, "b", 200), shown(3, 1, "a")},
		"a race that one wins":                             {sentOrder(1, "a", 0, 1), sentOrder(2, "b", 0, 2), ended(1, "a", 412), ended(2, "b", 200)},
		"a repeat that is acknowledged again":              {sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 200)},
		"a repeat without an answer":                       {sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 503)},
		"a repeat after another change":                    {sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), sentOrder(3, "a", 0, 1), ended(3, "a", 412)},
		"an order without a clear answer that took effect": {sentOrder(2, "b", 1, 2), ended(2, "b", 0)},
	} {
		c.Check(CheckOperations(history(append(events, end...)...)), qt.HasLen, 0, qt.Commentf("%s", name))
	}
}
