package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// initialAcceptorState gives the vote with which a life begins; nil: it has none. A member that was
// started anew and finds no vote in its folder can't know what it promised before, so it is amnesiac.
func (s NodeSettings) initialAcceptorState(incarnation string) *cluster.AcceptorState {
	switch {
	case s.AcceptorState != nil:
		acceptor := *s.AcceptorState
		return &acceptor
	case s.Document != nil || s.HardState.Term > 0:
		return nil
	case s.IsBootstrap && s.hasDurableVotes():
		return &cluster.AcceptorState{Acceptor: s.Member}
	case s.IsBootstrap:
		return &cluster.AcceptorState{Acceptor: cluster.MemberID(incarnation)}
	case s.hasDurableVotes():
		return &cluster.AcceptorState{Acceptor: s.Member, Incarnation: cluster.IncarnationID(incarnation), HasLostState: true}
	}
	return nil
}

// hasDurableVotes tells of a member whose votes are on disk before they are told.
func (s NodeSettings) hasDurableVotes() bool { return s.IsController && s.HasFolder }

// onPrepare promises a ballot, unless a higher one was promised.
func (n *Node) onPrepare(from string, m *wire.BootstrapPrepare) {
	f := n.bootstrapper
	if !slices.Equal(m.Seeds, f.seeds) {
		return
	}
	f.observeNumber(n.now, m.Number)
	f.learnIncarnations(m.Incarnations)
	acceptor := f.acceptor
	if acceptor == nil || !f.isSameAcceptor(from, m.Acceptor, m.Incarnation) || !n.canPromise(m) {
		return
	}
	promise := &wire.BootstrapPromise{Number: m.Number, Acceptor: acceptor.Acceptor, Incarnation: acceptor.Incarnation, HasLostState: acceptor.HasLostState}
	if m.Number.Before(acceptor.Promised) || !m.IncludesAll(acceptor.Incarnations) {
		promise.IsRejected, promise.Promised, promise.Incarnations = true, acceptor.Promised, acceptor.Incarnations
		n.send(from, wire.Message{BootstrapPromise: promise})
		return
	}
	acceptor.Promised, acceptor.Incarnations = m.Number, m.Incarnations
	promise.Accepted, promise.Document = acceptor.Accepted, acceptor.Document
	promise.IsFirstStart = n.isFirstStart()
	n.saveAcceptorState(func() { n.send(from, wire.Message{BootstrapPromise: promise}) })
}

// canPromise tells whether a ballot is one that this acceptor may promise. To an amnesiac one that
// is a ballot which names it, so that all of its promises were given after it had forgotten its own.
func (n *Node) canPromise(m *wire.BootstrapPrepare) bool {
	acceptor := n.bootstrapper.acceptor
	return !acceptor.HasLostState || slices.Contains(m.Incarnations, acceptor.Incarnation) && !n.knowsFleet()
}

// onAccept accepts a first document, unless a higher ballot was promised.
func (n *Node) onAccept(from string, m *wire.BootstrapAccept) {
	f := n.bootstrapper
	f.observeNumber(n.now, m.Number)
	if f.acceptor == nil || m.Document == nil || m.Acceptor != f.acceptor.Acceptor {
		return
	}
	accepted := &wire.BootstrapAccepted{Number: m.Number, Acceptor: f.acceptor.Acceptor}
	if m.Number != f.acceptor.Promised {
		accepted.IsRejected, accepted.Promised = true, f.acceptor.Promised
		n.send(from, wire.Message{BootstrapAccepted: accepted})
		return
	}
	f.acceptor.Accepted, f.acceptor.Document = m.Number, m.Document
	// Amnesiac acceptors are asked only under a ballot that recovers them.
	f.acceptor.HasLostState = false
	n.saveAcceptorState(func() { n.send(from, wire.Message{BootstrapAccepted: accepted}) })
}

// saveAcceptorState runs after once the vote is as safe as this acceptor can make it.
func (n *Node) saveAcceptorState(after func()) {
	if !n.settings.hasDurableVotes() {
		after()
		return
	}
	acceptor := *n.bootstrapper.acceptor
	n.core.saveAcceptorState(&acceptor, after)
}
