package checker

// The rules of operators' whole histories: linearizability, and repeats of confirmed orders.

import (
	"errors"
	"time"
)

// linearizabilityTimeout bounds the time that the judge of a history may take. It is a hundred times what histories
// take that can be decided, so that the verdict doesn't go by how busy the machine is.
const linearizabilityTimeout = 3 * time.Minute

// register judges the configuration as a register with compare-and-set on its revision.
func (j *historyChecker) register(events []Event) {
	history := registerHistory(events)
	if len(history) == 0 {
		return
	}
	err := CheckLinearizable(history, j.bounds.LinearizabilityTimeout)
	last := events[len(events)-1].At
	switch {
	case errors.As(err, new(NotLinearizableError)):
		j.violation(HistoryNotLinearizable, last, "%v", err)
	case err != nil:
		j.violation(HistoryUndecided, last, "%v", err)
	}
}

// registerHistory makes the operations of the operators from what they saw. A put that was never
// answered for good is one of unknown outcome.
func registerHistory(events []Event) []RegisterOperation {
	history := []RegisterOperation{}
	indices := map[string]int{} // of the puts, by their ids
	for _, event := range events {
		switch event.EventKind {
		case ConfigSent:
			if _, isKnown := indices[event.ID]; isKnown {
				continue
			}
			indices[event.ID] = len(history)
			history = append(history, RegisterOperation{
				Client: len(history), Call: int64(event.At), Version: event.Base, Value: event.Digest, IsUnconditional: !event.HasBase,
			})
		case ConfigAccepted, ConfigRejected:
			if index, isKnown := indices[event.ID]; isKnown {
				history[index].endPut(event)
			}
		case NewestRead:
			history = append(history, RegisterOperation{
				Client: len(history), Call: int64(event.StartedAt), Return: int64(event.At), IsRead: true, Version: event.Revision, Value: event.Digest,
			})
		}
	}
	learnVersions(history, events)
	return history
}

// learnVersions finds the versions of puts that were never acknowledged by what was read of them.
func learnVersions(history []RegisterOperation, events []Event) {
	versions := map[string]uint64{}
	for _, event := range events {
		if event.EventKind == ConfigRead || event.EventKind == NewestRead {
			versions[event.Digest] = event.Revision
		}
	}
	puts := map[string]int{}
	for _, operation := range history {
		if !operation.IsRead {
			puts[operation.Value]++
		}
	}
	for i := range history {
		operation := &history[i]
		// Of two orders with the same contents nobody can tell whose was read.
		if operation.isUnknown() && puts[operation.Value] == 1 {
			operation.Sets = versions[operation.Value]
		}
	}
}

// endPut takes the first final answer to a put.
func (o *RegisterOperation) endPut(event Event) {
	if o.Outcome != PutUnknown {
		return
	}
	o.Return = int64(event.At)
	o.Outcome = PutRejected
	if event.EventKind == ConfigAccepted {
		o.Outcome, o.Sets = PutDone, event.Revision
	}
}

// repeats checks that an order which was acknowledged is acknowledged again, under the same
// revision, or left without a clear answer, but never refused.
func (j *historyChecker) repeats(events []Event) {
	acked := map[string]uint64{}
	for _, event := range events {
		switch event.EventKind {
		case ConfigAccepted:
			acked[event.ID] = event.Revision
		case RepeatRejected:
			j.violation(RepeatRefused, event.At, "%s was acknowledged, and its repeat was refused (%s)", event.ID, event.Reason)
		case RepeatAccepted:
			if revision, isAcked := acked[event.ID]; isAcked && revision != event.Revision {
				j.violation(RepeatRefused, event.At, "%s was acknowledged as revision %d, and its repeat as %d", event.ID, revision, event.Revision)
			}
		}
	}
}
