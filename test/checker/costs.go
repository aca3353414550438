package checker

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// What a run cost its callers: latencies, and what was not served after each fault.

// Latency is how long callers waited for the first part of answers that were served.
type Latency struct {
	Count       int
	Median, P99 kernel.Micros
}

// LatencyOf orders waits.
func LatencyOf(waits []kernel.Micros) Latency {
	if len(waits) == 0 {
		return Latency{}
	}
	ordered := slices.Clone(waits)
	slices.Sort(ordered)
	return Latency{Count: len(ordered), Median: ordered[len(ordered)/2], P99: ordered[len(ordered)*99/100]}
}

// FaultCost is a fault with the calls within ten seconds after it that were not served. Faults that strike together
// count the same calls.
type FaultCost struct {
	Fault    string
	At       kernel.Micros // since the first event
	Unserved int
	// LastAfter is how long after the fault the last of them ended: from then on all was well, as far as callers saw.
	LastAfter kernel.Micros
}

// FirstByteLatency is how long callers waited for the first byte of responses that were served.
func FirstByteLatency(events []Event) Latency {
	waits := []kernel.Micros{}
	for _, event := range events {
		if event.EventKind == CallEnded && event.Outcome == Served && event.FirstAt > 0 {
			waits = append(waits, event.FirstAt-event.StartedAt)
		}
	}
	return LatencyOf(waits)
}

// FaultCosts gives each fault with what it cost.
func FaultCosts(events []Event) []FaultCost {
	found := costs{}
	for _, event := range events {
		found.note(event.At, event.EventKind == FaultInjected, event.Reason,
			event.EventKind == CallEnded && event.Outcome != Served && event.Outcome != Abandoned)
	}
	return found.ofFaults()
}

// RoutedFirstChunkLatency is how long callers waited for the first event of streams that were served.
func RoutedFirstChunkLatency(events []RoutedEvent) Latency {
	sent, waits := map[string]kernel.Micros{}, []kernel.Micros{}
	for _, event := range events {
		switch event.EventKind {
		case AttemptSentByCaller:
			sent[event.ID] = event.At
		case AttemptEnded:
			if at, isKnown := sent[event.ID]; isKnown && event.FirstAt > 0 && event.Ending == Complete && isSuccess(event.Status) {
				waits = append(waits, event.FirstAt-at)
			}
		}
	}
	return LatencyOf(waits)
}

// RoutedFaultCosts gives each fault with the attempts after it that were not served.
func RoutedFaultCosts(events []RoutedEvent) []FaultCost {
	found := costs{}
	for _, event := range events {
		isServed := event.Ending == Complete && isSuccess(event.Status)
		found.note(event.At, event.EventKind == FaultStarted, event.Why,
			event.EventKind == AttemptEnded && event.Ending != Canceled && !isServed)
	}
	return found.ofFaults()
}

// costs gathers the faults of a run and when calls ended unserved.
type costs struct {
	start    kernel.Micros // of the first event
	faults   []struck
	unserved []kernel.Micros
}

// struck is a fault and when it began.
type struck struct {
	name string
	at   kernel.Micros
}

// note takes one event: a fault of that name, a call that ended unserved, or neither.
func (c *costs) note(at kernel.Micros, isFault bool, name string, isUnserved bool) {
	if c.start == 0 || at < c.start {
		c.start = at
	}
	switch {
	case isFault:
		c.faults = append(c.faults, struck{name, at})
	case isUnserved:
		c.unserved = append(c.unserved, at)
	}
}

// ofFaults counts what ended unserved within causeSpan after each fault.
func (c *costs) ofFaults() []FaultCost {
	found := []FaultCost{}
	for _, fault := range c.faults {
		cost := FaultCost{Fault: fault.name, At: fault.at - c.start}
		for _, at := range c.unserved {
			if after := at - fault.at; after >= 0 && after <= causeSpan {
				cost.Unserved++
				cost.LastAfter = max(cost.LastAfter, after)
			}
		}
		found = append(found, cost)
	}
	return found
}
