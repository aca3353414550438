package checker

// The rules for the complete history of the operators: linearizability, and repeats of acknowledged operations.

import (
	"errors"
	"time"
)

// linearizabilityTimeout limits the time of a linearizability check. It is a hundred times what decidable
// histories take, so that the result does not depend on the load of the machine.
const linearizabilityTimeout = 3 * time.Minute

// checkRegister checks that the configuration is a linearizable register with compare-and-set on its revision.
func (c *historyChecker) checkRegister(events []Event) {
	history := registerHistory(events)
	if len(history) == 0 {
		return
	}
	err := CheckLinearizable(history, c.bounds.LinearizabilityTimeout)
	last := events[len(events)-1].At
	switch {
	case errors.As(err, new(NotLinearizableError)):
		c.violation(HistoryNotLinearizable, last, "%v", err)
	case err != nil:
		c.violation(HistoryUndecided, last, "%v", err)
	}
}

// registerHistory derives the register operations from the operators' events. A put that never got a
// final answer has an unknown outcome.
func registerHistory(events []Event) []RegisterOperation {
	history := []RegisterOperation{}
	indexes := map[string]int{} // of the puts, by id
	for _, event := range events {
		switch event.EventKind {
		case ConfigSent:
			if _, isKnown := indexes[event.ID]; isKnown {
				continue
			}
			indexes[event.ID] = len(history)
			history = append(history, RegisterOperation{
				Client: len(history), Call: int64(event.At), Version: event.Base, Value: event.Digest, IsUnconditional: !event.HasBase,
			})
		case ConfigAccepted, ConfigRejected:
			if index, isKnown := indexes[event.ID]; isKnown {
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

// learnVersions sets the versions of puts of unknown outcome from the reads that returned their values.
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
		// If two puts have the same value, it is not known which of them was read.
		if operation.isUnknown() && puts[operation.Value] == 1 {
			operation.Sets = versions[operation.Value]
		}
	}
}

// endPut applies the first final answer to a put.
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

// checkRepeats checks that the repeat of an acknowledged operation is acknowledged under the same revision
// or gets no definite answer, but is never rejected.
func (c *historyChecker) checkRepeats(events []Event) {
	accepted := map[string]uint64{}
	for _, event := range events {
		switch event.EventKind {
		case ConfigAccepted:
			accepted[event.ID] = event.Revision
		case RepeatRejected:
			c.violation(RepeatRefused, event.At, "%s was acknowledged, but its repeat was rejected (%s)", event.ID, event.Reason)
		case RepeatAccepted:
			if revision, isAccepted := accepted[event.ID]; isAccepted && revision != event.Revision {
				c.violation(RepeatRefused, event.At, "%s was acknowledged as revision %d, but its repeat as %d", event.ID, revision, event.Revision)
			}
		}
	}
}
