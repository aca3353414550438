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
	faults, unserved := []struck{}, []kernel.Micros{}
	start := kernel.Micros(0)
	for _, event := range events {
		if start == 0 || event.At < start {
			start = event.At
		}
		switch {
		case event.EventKind == FaultInjected:
			faults = append(faults, struck{event.Reason, event.At})
		case event.EventKind == CallEnded && event.Outcome != Served && event.Outcome != Abandoned:
			unserved = append(unserved, event.At)
		}
	}
	return costsOf(faults, unserved, start)
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
	faults, unserved := []struck{}, []kernel.Micros{}
	start := kernel.Micros(0)
	for _, event := range events {
		if start == 0 || event.At < start {
			start = event.At
		}
		switch {
		case event.EventKind == FaultStarted:
			faults = append(faults, struck{event.Why, event.At})
		case event.EventKind == AttemptEnded && event.Ending != Canceled && (event.Ending != Complete || !isSuccess(event.Status)):
			unserved = append(unserved, event.At)
		}
	}
	return costsOf(faults, unserved, start)
}

// struck is a fault and when it began.
type struck struct {
	name string
	at   kernel.Micros
}

// costsOf counts what ended unserved within causeSpan after each fault.
func costsOf(faults []struck, unserved []kernel.Micros, start kernel.Micros) []FaultCost {
	costs := []FaultCost{}
	for _, fault := range faults {
		cost := FaultCost{Fault: fault.name, At: fault.at - start}
		for _, at := range unserved {
			if after := at - fault.at; after >= 0 && after <= causeSpan {
				cost.Unserved++
				cost.LastAfter = max(cost.LastAfter, after)
			}
		}
		costs = append(costs, cost)
	}
	return costs
}
