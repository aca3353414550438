package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// pendingPush is a push that needs confirmation and that this node distributes within its zone.
type pendingPush struct {
	from        string
	token       uint64 // the sender's token
	records     []registry.EngineRecord
	unconfirmed map[string]bool // addresses of the nodes of this zone that have yet to confirm
	confirmers  confirmers      // nodes that have confirmed this push or an earlier one of the same end
	resendAt    kernel.Micros
	resends     int
	resendUntil kernel.Micros
	answerAt    kernel.Micros // when a partial answer is sent if the zone's is not complete by then
	endAt       kernel.Micros // when this node forgets the push
	isAnswered  bool
}

// pushToCoordinators sends records to every coordinator, each of which forwards them to the nodes of its zone. This
// node forwards them itself if it is its zone's coordinator or that one is lost.
func (n *Node) pushToCoordinators(records []registry.EngineRecord) {
	if len(records) == 0 || n.lease.Applied() == nil {
		return
	}
	coordinators := append(n.otherCoordinators(), n.self())
	if !n.isCoordinator() && !n.isCoordinatorLost() {
		coordinators = coordinators[:len(coordinators)-1]
	}
	for _, coordinator := range coordinators {
		n.send(coordinator, wire.Message{Push: &wire.Push{IsForwarded: true, Engines: records}})
	}
}

// isLikelyAlive reports whether a node has been heard from recently. A coordinator judges the nodes of its own zone by
// their last lease request. All others are judged by their records, with an allowance for the delay between zones.
func (n *Node) isLikelyAlive(node registry.NodeRecord) bool {
	inZone, isNear := n.zone.nodes[node.Address]
	if isNear && n.isCoordinator() {
		return n.now-inZone.seenAt < sameZoneNodeTimeout
	}
	return n.now-node.UpdatedAt < n.nodeRefreshInterval()+crossZoneDelay
}

// aliveNodes returns the addresses of the likely live nodes of a zone, without this node.
func (n *Node) aliveNodes(zone string) []string {
	found := []string{}
	for node := range n.directory.AllNodes() {
		if node.Zone == zone && node.Address != n.self() && n.isLikelyAlive(node) {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) onPush(from string, m *wire.Push) {
	isChanged := n.mergePushed(m.Engines)
	switch {
	case !m.IsForwarded && m.Token != 0:
		n.send(from, wire.Message{PushResponse: &wire.PushResponse{Token: m.Token, Zone: n.settings.Identity.Zone, IsSingle: true}})
		n.confirmStored(from, m.Token, m.Engines)
	case m.IsForwarded && m.Token != 0:
		n.forwardPush(from, m)
		n.confirmStored(from, m.Token, m.Engines)
	case m.IsForwarded && (isChanged || from == n.self()):
		for _, target := range n.aliveNodes(n.settings.Identity.Zone) {
			if target != from {
				n.send(target, wire.Message{Push: &wire.Push{Engines: m.Engines}})
			}
		}
	}
}

// mergePushed merges the records of a push and reports whether any changed in a way that affects routing.
func (n *Node) mergePushed(records []registry.EngineRecord) (isChanged bool) {
	n.recordEnds(records)
	for _, record := range records {
		record = record.WithTimes(n.now)
		isNewlyDraining, isRecordChanged := n.directory.MergeRecord(n.now, record, n.engineMonitor(record.Zone) == n.self())
		if isNewlyDraining {
			n.noteLateEnd(record.ID)
		}
		isChanged = isChanged || isRecordChanged
	}
	return isChanged
}

// forwardPush distributes a push within this node's zone, and answers it on behalf of the zone. If it is a copy of a
// push that was answered already, only the answer is repeated.
func (n *Node) forwardPush(from string, m *wire.Push) {
	a := &n.announcements
	key := fmt.Sprint(from, "/", m.Token)
	if ownToken, isForwarded := a.forwardedTokens[key]; isForwarded {
		// The sender repeats its push, so the earlier answer may have been lost.
		if p := a.pushes[ownToken]; p != nil && p.isAnswered {
			n.answerPush(p)
		}
		return
	}
	a.nextToken++
	p := &pendingPush{
		from: from, token: m.Token, records: m.Engines, unconfirmed: map[string]bool{}, confirmers: n.confirmers(m.Engines),
		answerAt: n.now + pushPartialTimeout, resendUntil: n.now + pushLifetime, endAt: n.now + max(pushLifetime, n.settings.EndConfirmationTimeout),
	}
	for _, target := range n.boundNodes(n.settings.Identity.Zone) {
		node, _ := n.directory.Node(target)
		if target != from && !p.confirmers.has(node) {
			p.unconfirmed[target] = true
		}
	}
	a.pushes[a.nextToken], a.forwardedTokens[key] = p, a.nextToken
	n.tickPush(a.nextToken, p)
}

func (n *Node) answerPush(p *pendingPush) {
	p.isAnswered = true
	n.send(p.from, wire.Message{PushResponse: &wire.PushResponse{
		Token: p.token, Zone: n.settings.Identity.Zone, IsComplete: len(p.unconfirmed) == 0, Others: len(p.confirmers)}})
}

func (n *Node) tickPush(token uint64, p *pendingPush) {
	if len(p.unconfirmed) > 0 && n.now >= p.resendAt && n.now < p.resendUntil {
		// The pause doubles, because a node that does not answer may be late and has to process every copy.
		p.resendAt, p.resends = n.now+pushResendInterval<<p.resends, p.resends+1
		for _, target := range slices.Sorted(maps.Keys(p.unconfirmed)) {
			n.send(target, wire.Message{Push: &wire.Push{Token: token, Engines: p.records}})
		}
	}
	if !p.isAnswered && (len(p.unconfirmed) == 0 || n.now >= p.answerAt) {
		n.answerPush(p)
	}
	if n.now >= p.endAt {
		delete(n.announcements.pushes, token)
		delete(n.announcements.forwardedTokens, fmt.Sprint(p.from, "/", p.token))
	}
}

func (n *Node) onPushResponse(from string, m *wire.PushResponse) {
	if p := n.announcements.pushes[m.Token]; p != nil && p.unconfirmed[from] {
		delete(p.unconfirmed, from)
		node, _ := n.directory.Node(from)
		p.confirmers.add(node)
		if len(p.unconfirmed) == 0 {
			n.answerPush(p)
		}
		return
	}
	if p := n.announcements.confirmations[m.Token]; p != nil {
		if !m.IsSingle {
			known := p.zones[m.Zone]
			p.zones[m.Zone] = zoneConfirmation{isComplete: known.isComplete || m.IsComplete, others: max(known.others, m.Others)}
		}
		if from != n.self() {
			p.nodes[from] = true
			p.stored[from] = p.stored[from] || m.IsStored()
		}
		n.evaluateConfirmation(m.Token, p)
	}
}
