package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// initialAcceptorState returns the acceptor state with which this process starts, or nil if this node is no acceptor. A
// member that was restarted without a stored state cannot know what it promised before, so it counts as having lost its
// state. A member whose folder is pending is no acceptor: it would forget what it promised, or promise anew what the
// folder has promised. The argument incarnation identifies this process.
func (s NodeSettings) initialAcceptorState(incarnation string) *cluster.AcceptorState {
	switch {
	case s.AcceptorState != nil:
		acceptor := *s.AcceptorState
		return &acceptor
	case s.IsFolderPending || s.Document != nil || s.HardState.Term > 0:
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

// hasDurableVotes reports whether this node is a controller with a data folder, so that it syncs its votes to disk
// before it sends them.
func (s NodeSettings) hasDurableVotes() bool { return s.IsController && s.HasFolder }

// onPrepare promises a proposal. It rejects the proposal if it has promised a higher one, or if the proposal does not
// name all incarnations that earlier promises named. It does not answer a proposer that uses other seeds or has
// forgotten its own earlier promises, nor a proposal that canPromise excludes.
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

// canPromise reports whether this acceptor may promise a proposal. After a state loss it may do so only if the proposal
// names its incarnation and this node knows of no bootstrapped cluster. A proposal that names the incarnation was
// opened after the loss, so all of its promises were given after the loss too.
func (n *Node) canPromise(m *wire.BootstrapPrepare) bool {
	acceptor := n.bootstrapper.acceptor
	return !acceptor.HasLostState || slices.Contains(m.Incarnations, acceptor.Incarnation) && !n.knowsFleet()
}

// onAccept accepts a first document if its proposal is the one that this acceptor promised last. Otherwise it rejects
// the request and reports the promised number.
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
	// An acceptor that lost its state receives this request only from a proposal that recovers it, so its state counts
	// as complete from now on.
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
