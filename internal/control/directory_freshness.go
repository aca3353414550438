package control

import (
	"fmt"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// directoryFreshness follows how old a node's view of the engines may be. See
// docs/control-safety/drains.md.
type directoryFreshness struct {
	requests map[uint64]directoryRequest // without an answer so far, by number
	freshAt  kernel.Micros               // zero: no answer has come in this incarnation
}

// directoryRequest is a lease request, as far as its answer tells of the directory.
type directoryRequest struct {
	to     string // the coordinator that was asked; the own address: this node is the coordinator
	sentAt kernel.Micros
}

// directoryRequestLifetime is for how long an answer to a request is waited for.
const directoryRequestLifetime = 30 * kernel.Second

func newDirectoryFreshness() directoryFreshness {
	return directoryFreshness{requests: map[uint64]directoryRequest{}}
}

// DirectoryFreshAt is the latest moment at which this node surely knew every end of an engine that
// was confirmed by then; zero: none is known.
func (n *Node) DirectoryFreshAt() kernel.Micros { return n.directoryFreshness.freshAt }

// request takes that a request is sent to a coordinator.
func (d *directoryFreshness) request(now kernel.Micros, seq uint64, to string) {
	for earlier, request := range d.requests {
		if now-request.sentAt > directoryRequestLifetime {
			delete(d.requests, earlier)
		}
	}
	if to != "" {
		d.requests[seq] = directoryRequest{to, now}
	}
}

// takeAnswer takes a coordinator's answer to a request, once its records are merged. How long ago the
// coordinator itself heard of a leader comes with it; the span is counted back from when the request
// was sent, so that no clock but the own one matters.
func (d *directoryFreshness) takeAnswer(from string, seq uint64, coordinator wire.Freshness) {
	request, isMine := d.requests[seq]
	if !isMine || request.to != from || !coordinator.IsFresh {
		return
	}
	delete(d.requests, seq)
	d.freshAt = max(d.freshAt, request.sentAt-coordinator.Age)
}

// takeGrant takes the leader's answer to a request of this node as its zone's coordinator: what was
// pushed to it before the request was sent has been handled before the answer.
func (d *directoryFreshness) takeGrant(self string, seq uint64) {
	request, isMine := d.requests[seq]
	if !isMine || request.to != self {
		return
	}
	delete(d.requests, seq)
	d.freshAt = max(d.freshAt, request.sentAt)
}

// noteLateEnd records that an engine's end came to be known here, if that may have been later after its
// announcement than a request may reach the engine.
func (n *Node) noteLateEnd(engine string) {
	age := n.now - n.DirectoryFreshAt()
	if n.settings.DrainTimeout > 0 && n.DirectoryFreshAt() > 0 && age > n.settings.DrainTimeout {
		n.note(decision.Engine(engine), decision.LearnEndLate, fmt.Sprintf("the view of the engines here was %d us old", age))
	}
}
