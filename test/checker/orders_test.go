package checker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// history writes down events one microsecond apart.
func history(events ...OrderEvent) []OrderEvent {
	for i := range events {
		events[i].At = kernel.Micros(i + 1)
	}
	return events
}

func sentOrder(call int, order string, base, version uint64) OrderEvent {
	return OrderEvent{What: OrderSent, Call: call, Order: order, Base: base, Version: version, Digest: order}
}

func ended(call int, order string, status int) OrderEvent {
	return OrderEvent{What: OrderEnded, Call: call, Order: order, Status: status}
}

func askedFor(call int) OrderEvent { return OrderEvent{What: ReadSent, Call: call} }

func shown(call int, version uint64, digest string) OrderEvent {
	return OrderEvent{What: ReadAnswered, Call: call, Version: version, Digest: digest, Status: 200}
}

func lastly(event OrderEvent) OrderEvent {
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

func TestEveryPlantedViolationOfOrdersIsFound(t *testing.T) {
	c := qt.New(t)
	end := []OrderEvent{askedFor(90), lastly(shown(90, 2, "b"))}
	invalid := sentOrder(1, "bad", 0, 1)
	invalid.IsInvalid = true
	for _, planted := range []struct {
		rule   Rule
		events []OrderEvent
	}{
		{ReadOutdated, append([]OrderEvent{sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), shown(3, 1, "a")}, end...)},
		{ReadForeign, append([]OrderEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), shown(3, 2, "changed")}, end...)},
		{BothConfirmed, append([]OrderEvent{sentOrder(1, "a", 0, 1), sentOrder(2, "b", 0, 2), ended(1, "a", 200), ended(2, "b", 200)}, end...)},
		{AckRefused, append([]OrderEvent{sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 412)}, end...)},
		{InvalidTaken, append([]OrderEvent{invalid, ended(1, "bad", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200)}, end...)},
		{RefusedInForce, append([]OrderEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 412)}, end...)},
		{NeverReadBack, []OrderEvent{sentOrder(2, "b", 1, 2), ended(2, "b", 200)}},
		{AckLostAtTheEnd, []OrderEvent{sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), askedFor(3), lastly(shown(3, 1, "a"))}},
	} {
		c.Check(rulesOf(JudgeOrders(history(planted.events...))), qt.DeepEquals, []Rule{planted.rule}, qt.Commentf("%s", planted.rule))
	}
}

func TestNearMissesOfOrdersAreNone(t *testing.T) {
	c := qt.New(t)
	end := []OrderEvent{askedFor(90), lastly(shown(90, 2, "b"))}
	for name, events := range map[string][]OrderEvent{
		"a read that was sent before the acknowledgement":  {sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), askedFor(3), ended(2, "b", 200), shown(3, 1, "a")},
		"a race that one wins":                             {sentOrder(1, "a", 0, 1), sentOrder(2, "b", 0, 2), ended(1, "a", 412), ended(2, "b", 200)},
		"a repeat that is acknowledged again":              {sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 200)},
		"a repeat without an answer":                       {sentOrder(1, "b", 0, 2), ended(1, "b", 200), sentOrder(2, "b", 0, 2), ended(2, "b", 503)},
		"a repeat after another change":                    {sentOrder(1, "a", 0, 1), ended(1, "a", 200), sentOrder(2, "b", 1, 2), ended(2, "b", 200), sentOrder(3, "a", 0, 1), ended(3, "a", 412)},
		"an order without a clear answer that took effect": {sentOrder(2, "b", 1, 2), ended(2, "b", 0)},
	} {
		c.Check(JudgeOrders(history(append(events, end...)...)), qt.HasLen, 0, qt.Commentf("%s", name))
	}
}
