package checker

import (
	"fmt"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules of versioned configurations, whichever node is asked and whatever it is in touch with.
const (
	ReadOutdated    Rule = "a read shows a configuration older than one acknowledged before it"
	ReadForeign     Rule = "a read shows a configuration that is not what was sent under its number"
	BothConfirmed   Rule = "two changes on top of one version were both acknowledged"
	AckRefused      Rule = "a change that was acknowledged was sent again and refused"
	InvalidTaken    Rule = "an invalid configuration was acknowledged or is in force"
	RefusedInForce  Rule = "a configuration is in force that was refused"
	NeverReadBack   Rule = "the configuration could not be read back at the end"
	AckLostAtTheEnd Rule = "the configuration read back at the end is older than the newest acknowledged one"
)

// OrderHappening says what an event of operators is about.
type OrderHappening string

// What operators do and see.
const (
	OrderSent    OrderHappening = "order_sent"    // for the first time, or again
	OrderEnded   OrderHappening = "order_ended"   // one sending of it, with a status; zero: no answer
	ReadSent     OrderHappening = "read_sent"     // a read was sent
	ReadAnswered OrderHappening = "read_answered" // and answered
)

// OrderEvent is one thing that an operator did or saw. Sendings and reads are told apart by Call.
type OrderEvent struct {
	At   kernel.Micros  `json:"at_us"`
	What OrderHappening `json:"what"`
	Call int            `json:"call"`
	Node string         `json:"node,omitempty"`
	// Of orders. Digest is of the configuration that the order leads to.
	Order     string `json:"order,omitempty"`
	Base      uint64 `json:"base,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	IsInvalid bool   `json:"invalid,omitempty"`
	Status    int    `json:"status,omitempty"`
	// IsLast marks the reads at the end, when all is well again.
	IsLast bool `json:"last,omitempty"`
}

// isAcknowledgement and isRefusal sort the answers to orders.
func isAcknowledgement(status int) bool { return status >= 200 && status < 300 }

func isRefusal(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

type orderHistory struct {
	first, last    OrderEvent // sendings
	acknowledgedAt kernel.Micros
	isAcknowledged bool
	isRefused      bool // by every clear answer so far
}

// orderJudge takes the events of operators in their order.
type orderJudge struct {
	orders     map[string]*orderHistory
	byVersion  map[uint64][]*orderHistory
	byBase     map[uint64]*orderHistory // acknowledged
	newest     uint64                   // acknowledged until now
	asked      map[int]uint64           // by call of a read: what was acknowledged before it
	sent       map[int]kernel.Micros    // by call of an order
	othersSent kernel.Micros            // when the last order that is not a repeat was first sent
	violations []Violation
	isReadBack bool
	lastReadAt kernel.Micros
}

// JudgeOrders holds the history of a deployment's operators against every rule.
func JudgeOrders(events []OrderEvent) []Violation {
	ordered := append([]OrderEvent(nil), events...)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	j := &orderJudge{
		orders: map[string]*orderHistory{}, byVersion: map[uint64][]*orderHistory{}, byBase: map[uint64]*orderHistory{},
		asked: map[int]uint64{}, sent: map[int]kernel.Micros{},
	}
	for _, event := range ordered {
		j.take(event)
	}
	if !j.isReadBack {
		j.violation(NeverReadBack, j.lastReadAt, "no read at the end was answered")
	}
	return j.violations
}

func (j *orderJudge) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	j.violations = append(j.violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (j *orderJudge) take(event OrderEvent) {
	switch event.What {
	case OrderSent:
		j.takeSent(event)
	case OrderEnded:
		j.takeEnded(event)
	case ReadSent:
		j.asked[event.Call] = j.newest
		j.lastReadAt = event.At
	case ReadAnswered:
		j.takeRead(event)
	}
}

func (j *orderJudge) takeSent(event OrderEvent) {
	j.sent[event.Call] = event.At
	if known := j.orders[event.Order]; known != nil {
		known.last = event
		return
	}
	history := &orderHistory{first: event, last: event}
	j.orders[event.Order] = history
	j.byVersion[event.Version] = append(j.byVersion[event.Version], history)
	j.othersSent = event.At
}

func (j *orderJudge) takeEnded(event OrderEvent) {
	history := j.orders[event.Order]
	switch {
	case history == nil:
	case isAcknowledgement(event.Status):
		j.takeAcknowledged(event, history)
	case isRefusal(event.Status):
		// With no other order sent since the acknowledgement nothing can have taken its place.
		isAlone := j.othersSent < history.acknowledgedAt
		if history.isAcknowledged && isAlone && j.sent[event.Call] > history.acknowledgedAt {
			j.violation(AckRefused, event.At, "%s was acknowledged at %d us and refused with %d by %s", event.Order, history.acknowledgedAt, event.Status, event.Node)
		}
		history.isRefused = !history.isAcknowledged
	}
}

func (j *orderJudge) takeAcknowledged(event OrderEvent, history *orderHistory) {
	if history.first.IsInvalid {
		j.violation(InvalidTaken, event.At, "%s was acknowledged by %s", event.Order, event.Node)
	}
	if !history.isAcknowledged {
		history.isAcknowledged, history.acknowledgedAt = true, event.At
	}
	history.isRefused = false
	if known := j.byBase[history.first.Base]; known != nil && known != history {
		j.violation(BothConfirmed, event.At, "%s and %s on version %d", known.first.Order, event.Order, history.first.Base)
	}
	j.byBase[history.first.Base] = history
	j.newest = max(j.newest, history.first.Version)
}

func (j *orderJudge) takeRead(event OrderEvent) {
	if event.Status != 200 {
		return
	}
	if floor := j.asked[event.Call]; event.Version < floor {
		rule := ReadOutdated
		if event.IsLast {
			rule = AckLostAtTheEnd
		}
		j.violation(rule, event.At, "%s shows version %d, and %d was acknowledged before it was asked", event.Node, event.Version, floor)
	}
	j.isReadBack = j.isReadBack || event.IsLast
	isSent := false
	for _, history := range j.byVersion[event.Version] {
		if history.first.Digest != event.Digest {
			continue
		}
		isSent = true
		if history.first.IsInvalid {
			j.violation(InvalidTaken, event.At, "%s shows version %d", event.Node, event.Version)
		}
		if history.isRefused {
			j.violation(RefusedInForce, event.At, "%s shows version %d of %s", event.Node, event.Version, history.first.Order)
		}
	}
	if !isSent {
		j.violation(ReadForeign, event.At, "%s shows version %d, which nobody sent as it is", event.Node, event.Version)
	}
}
