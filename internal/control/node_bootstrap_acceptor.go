package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// initialAcceptorState returns the acceptor state at the start of a process, or nil if it is no acceptor.
// A restarted member without a stored state can't know what it promised before, so it counts as having lost it.
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

// hasDurableVotes reports whether this member syncs its votes to disk before it sends them.
func (s NodeSettings) hasDurableVotes() bool { return s.IsController && s.HasFolder }

// onPrepare promises a proposal, unless a higher one was promised.
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

// canPromise reports whether this acceptor may promise a proposal. After a state loss it may only if the
// proposal names it, so that all promises of the proposal were given after the loss.
func (n *Node) canPromise(m *wire.BootstrapPrepare) bool {
	acceptor := n.bootstrapper.acceptor
	return !acceptor.HasLostState || slices.Contains(m.Incarnations, acceptor.Incarnation) && !n.knowsFleet()
}

// onAccept accepts a first document, unless a higher proposal was promised.
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
	// An acceptor that lost its state is asked to accept only by a proposal that recovers it.
	f.acceptor.HasLostState = false
	n.saveAcceptorState(func() { n.send(from, wire.Message{BootstrapAccepted: accepted}) })
}

// saveAcceptorState runs after once the acceptor state is synced, or at once if this acceptor has no folder.
func (n *Node) saveAcceptorState(after func()) {
	if !n.settings.hasDurableVotes() {
		after()
		return
	}
	acceptor := *n.bootstrapper.acceptor
	n.core.saveAcceptorState(&acceptor, after)
}
