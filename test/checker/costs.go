package checker

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// The effect of a run on its callers: latencies, and the calls that were not served after each fault.

// Latency summarizes how long callers waited for the first byte of served responses.
type Latency struct {
	Count       int
	Median, P99 kernel.Micros
}

// LatencyOf returns the count, median and 99th percentile of the waits.
func LatencyOf(waits []kernel.Micros) Latency {
	if len(waits) == 0 {
		return Latency{}
	}
	ordered := slices.Clone(waits)
	slices.Sort(ordered)
	return Latency{Count: len(ordered), Median: ordered[len(ordered)/2], P99: ordered[len(ordered)*99/100]}
}

// FaultCost counts the calls that were not served within ten seconds after a fault. Faults less than ten seconds
// apart may count the same calls.
type FaultCost struct {
	Fault    string
	At       kernel.Micros // relative to the first event
	Unserved int
	// LastAfter is how long after the fault the last of these calls ended.
	LastAfter kernel.Micros
}

// FirstByteLatency returns how long callers waited for the first byte of served responses.
func FirstByteLatency(events []Event) Latency {
	waits := []kernel.Micros{}
	for _, event := range events {
		if event.EventKind == CallEnded && event.Outcome == Served && event.FirstAt > 0 {
			waits = append(waits, event.FirstAt-event.StartedAt)
		}
	}
	return LatencyOf(waits)
}

// FaultCosts returns the cost of each injected fault, in the order of the events.
func FaultCosts(events []Event) []FaultCost {
	found := costCollector{}
	for _, event := range events {
		found.record(event.At, event.EventKind == FaultInjected, event.Reason,
			event.EventKind == CallEnded && event.Outcome != Served && event.Outcome != Abandoned)
	}
	return found.perFault()
}

// RoutedFirstChunkLatency returns how long callers waited for the first chunk of served streams.
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

// RoutedFaultCosts returns the cost of each fault, counted in attempts that were not served.
func RoutedFaultCosts(events []RoutedEvent) []FaultCost {
	found := costCollector{}
	for _, event := range events {
		isServed := event.Ending == Complete && isSuccess(event.Status)
		found.record(event.At, event.EventKind == FaultStarted, event.Why,
			event.EventKind == AttemptEnded && event.Ending != Canceled && !isServed)
	}
	return found.perFault()
}

// costCollector collects the faults of a run and the times at which unserved calls ended.
type costCollector struct {
	start    kernel.Micros // of the first event
	faults   []injectedFault
	unserved []kernel.Micros
}

// injectedFault is an injected fault and when it began.
type injectedFault struct {
	name string
	at   kernel.Micros
}

// record records one event: a fault of the given name, a call that ended unserved, or neither. Every event
// counts for the start time.
func (c *costCollector) record(at kernel.Micros, isFault bool, name string, isUnserved bool) {
	if c.start == 0 || at < c.start {
		c.start = at
	}
	switch {
	case isFault:
		c.faults = append(c.faults, injectedFault{name, at})
	case isUnserved:
		c.unserved = append(c.unserved, at)
	}
}

// perFault counts what ended unserved within causeSpan after each fault.
func (c *costCollector) perFault() []FaultCost {
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
