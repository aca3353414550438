package checker

import (
	"fmt"
	"net/http"
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules for versioned configurations. They apply to every node, also while it is partitioned.
const (
	StaleRead                   Rule = "a read shows a configuration older than one acknowledged before it"
	ReadMismatch                Rule = "a read shows a configuration that is not what was sent under its number"
	ConflictingAcknowledgements Rule = "two changes on top of one version were both acknowledged"
	AcknowledgedRepeatRejected  Rule = "a change that was acknowledged was sent again and refused"
	InvalidAccepted             Rule = "an invalid configuration was acknowledged or is in force"
	RejectedInForce             Rule = "a configuration is in force that was refused"
	FinalReadMissing            Rule = "the configuration could not be read back at the end"
	FinalReadStale              Rule = "the configuration read back at the end is older than the newest acknowledged one"
)

// OperationEventKind is what an OperationEvent reports.
type OperationEventKind string

// The kinds of operation events.
const (
	OperationSent  OperationEventKind = "order_sent"    // an operator sent an operation, for the first time or again
	OperationEnded OperationEventKind = "order_ended"   // one sending of an operation ended with a status; zero: no answer
	ReadSent       OperationEventKind = "read_sent"     // an operator sent a read
	ReadAnswered   OperationEventKind = "read_answered" // a read was answered
)

// OperationEvent is one event at an operator. Call identifies one sending of an operation or one read.
type OperationEvent struct {
	At        kernel.Micros      `json:"at_us"`
	EventKind OperationEventKind `json:"what"`
	Call      int                `json:"call"`
	Node      string             `json:"node,omitempty"`
	// Operation identifies an operation across its sendings. Digest is the digest of the configuration that
	// the operation leads to, or of the one that was read.
	Operation string `json:"order,omitempty"`
	Base      uint64 `json:"base,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	IsInvalid bool   `json:"invalid,omitempty"`
	Status    int    `json:"status,omitempty"`
	// IsLast marks the reads at the end of a run, when all faults are over.
	IsLast bool `json:"last,omitempty"`
}

// isAcknowledgement reports whether a status acknowledges an operation.
func isAcknowledgement(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isRejection reports whether a status guarantees that an operation took no effect. Timeouts and rate limits
// do not.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// operationHistory is what is known of one operation.
type operationHistory struct {
	first, last    OperationEvent // the first and the last sending
	acknowledgedAt kernel.Micros
	isAcknowledged bool
	isRejected     bool // every definite answer so far was a rejection
}

// operationChecker processes the events of operators in order of time.
type operationChecker struct {
	operations   map[string]*operationHistory
	byVersion    map[uint64][]*operationHistory
	byBase       map[uint64]*operationHistory // the acknowledged operations
	newest       uint64                       // the newest version acknowledged so far
	floors       map[int]uint64               // by call of a read: the newest version acknowledged before it
	sent         map[int]kernel.Micros        // when an operation was sent, by call
	newestSentAt kernel.Micros                // when the newest operation was first sent; repeats do not count
	violations   []Violation
	isReadBack   bool
	lastReadAt   kernel.Micros
}

// CheckOperations evaluates the history of a deployment's operators against every rule. The events may be in
// any order; events with the same time are processed in the given order.
func CheckOperations(events []OperationEvent) []Violation {
	ordered := slices.Clone(events)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	c := &operationChecker{
		operations: map[string]*operationHistory{}, byVersion: map[uint64][]*operationHistory{}, byBase: map[uint64]*operationHistory{},
		floors: map[int]uint64{}, sent: map[int]kernel.Micros{},
	}
	for _, event := range ordered {
		c.apply(event)
	}
	if !c.isReadBack {
		c.violation(FinalReadMissing, c.lastReadAt, "no read at the end was answered")
	}
	return c.violations
}

func (c *operationChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (c *operationChecker) apply(event OperationEvent) {
	switch event.EventKind {
	case OperationSent:
		c.applySent(event)
	case OperationEnded:
		c.applyEnded(event)
	case ReadSent:
		c.floors[event.Call] = c.newest
		c.lastReadAt = event.At
	case ReadAnswered:
		c.applyRead(event)
	}
}

func (c *operationChecker) applySent(event OperationEvent) {
	c.sent[event.Call] = event.At
	if known := c.operations[event.Operation]; known != nil {
		known.last = event
		return
	}
	history := &operationHistory{first: event, last: event}
	c.operations[event.Operation] = history
	c.byVersion[event.Version] = append(c.byVersion[event.Version], history)
	c.newestSentAt = event.At
}

func (c *operationChecker) applyEnded(event OperationEvent) {
	history := c.operations[event.Operation]
	switch {
	case history == nil:
	case isAcknowledgement(event.Status):
		c.applyAcknowledged(event, history)
	case isRejection(event.Status):
		// If no other operation was sent since the acknowledgement, nothing can have replaced its result.
		isNewest := c.newestSentAt < history.acknowledgedAt
		if history.isAcknowledged && isNewest && c.sent[event.Call] > history.acknowledgedAt {
			c.violation(AcknowledgedRepeatRejected, event.At, "%s was acknowledged at %d us, and its repeat was rejected with %d by %s", event.Operation, history.acknowledgedAt, event.Status, event.Node)
		}
		history.isRejected = !history.isAcknowledged
	}
}

func (c *operationChecker) applyAcknowledged(event OperationEvent, history *operationHistory) {
	if history.first.IsInvalid {
		c.violation(InvalidAccepted, event.At, "%s was acknowledged by %s", event.Operation, event.Node)
	}
	if !history.isAcknowledged {
		history.isAcknowledged, history.acknowledgedAt = true, event.At
	}
	history.isRejected = false
	if known := c.byBase[history.first.Base]; known != nil && known != history {
		c.violation(ConflictingAcknowledgements, event.At, "%s and %s were both acknowledged on version %d", known.first.Operation, event.Operation, history.first.Base)
	}
	c.byBase[history.first.Base] = history
	c.newest = max(c.newest, history.first.Version)
}

func (c *operationChecker) applyRead(event OperationEvent) {
	if event.Status != http.StatusOK {
		return
	}
	if floor := c.floors[event.Call]; event.Version < floor {
		rule := StaleRead
		if event.IsLast {
			rule = FinalReadStale
		}
		c.violation(rule, event.At, "%s returned version %d, but %d was acknowledged before the read was sent", event.Node, event.Version, floor)
	}
	c.isReadBack = c.isReadBack || event.IsLast
	isSent := false
	for _, history := range c.byVersion[event.Version] {
		if history.first.Digest != event.Digest {
			continue
		}
		isSent = true
		if history.first.IsInvalid {
			c.violation(InvalidAccepted, event.At, "%s returned version %d", event.Node, event.Version)
		}
		if history.isRejected {
			c.violation(RejectedInForce, event.At, "%s returned version %d of %s", event.Node, event.Version, history.first.Operation)
		}
	}
	if !isSent {
		c.violation(ReadMismatch, event.At, "%s returned version %d with contents that no operator sent", event.Node, event.Version)
	}
}
