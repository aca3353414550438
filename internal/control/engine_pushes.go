package control

// Records of engines that a node carries into its zone, until every node there has confirmed them.

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// pushing is a push that this node carries into its zone.
type pushing struct {
	from       string
	token      uint64 // the sender's
	records    []EngineRecord
	waiting    map[string]bool
	confirmed  int
	resendAt   kernel.Micros
	answerAt   kernel.Micros
	endAt      kernel.Micros
	isAnswered bool
}

// pushOut sends records to every home, which carry them into their zones.
func (n *Node) pushOut(records []EngineRecord) {
	if len(records) == 0 || n.lease.applied == nil {
		return
	}
	homes := append(n.otherHomes(), n.self())
	if !n.isHome() && !n.isHomeless() {
		homes = homes[:len(homes)-1]
	}
	for _, home := range homes {
		n.send(home, Message{Push: &Push{IsOnward: true, Engines: records}})
	}
}

// mayLive tells whether a node was heard of lately, as far as its word can be expected here.
func (n *Node) mayLive(node NodeRecord) bool {
	heard, isNear := n.zoneHeard[node.Address]
	if isNear && n.isHome() {
		return n.now-heard < nodeNear
	}
	return n.now-node.AsOf < n.nodeRefresh()+nodeFar
}

// living gives the other nodes of a zone that may live.
func (n *Node) living(zone string) []string {
	found := []string{}
	for _, node := range n.directory.Nodes() {
		if node.Zone == zone && node.Address != n.self() && n.mayLive(node) {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) onPush(from string, m *Push) {
	isNews := false
	for _, record := range m.Engines {
		record = record.placed(n.now)
		_, isFresh := n.directory.takeEngine(n.now, record, n.judge(record.Zone) == n.self())
		isNews = isNews || isFresh
	}
	w, zone := &n.announcements, n.settings.Identity.Zone
	if !m.IsOnward {
		if m.Token != 0 {
			n.send(from, Message{PushReply: &PushReply{Token: m.Token, Zone: zone, IsSingle: true}})
		}
		return
	}
	targets := slices.DeleteFunc(n.living(zone), func(node string) bool { return node == from })
	if m.Token == 0 {
		if isNews || from == n.self() {
			for _, target := range targets {
				n.send(target, Message{Push: &Push{Engines: m.Engines}})
			}
		}
		return
	}
	key := fmt.Sprint(from, "/", m.Token)
	if own, isCarried := w.carried[key]; isCarried {
		// A reply may be lost like anything else.
		if p := w.pushes[own]; p != nil && p.isAnswered {
			n.answerPush(p)
		}
		return
	}
	w.nextToken++
	p := &pushing{
		from: from, token: m.Token, records: m.Engines, waiting: map[string]bool{},
		answerAt: n.now + pushPartial, endAt: n.now + pushEnd,
	}
	for _, target := range targets {
		p.waiting[target] = true
	}
	w.pushes[w.nextToken], w.carried[key] = p, w.nextToken
	n.tickPush(w.nextToken, p)
}

func (n *Node) answerPush(p *pushing) {
	p.isAnswered = true
	n.send(p.from, Message{PushReply: &PushReply{
		Token: p.token, Zone: n.settings.Identity.Zone, IsWhole: len(p.waiting) == 0, Others: p.confirmed}})
}

func (n *Node) tickPush(token uint64, p *pushing) {
	if len(p.waiting) > 0 && n.now >= p.resendAt {
		p.resendAt = n.now + pushResend
		for _, target := range slices.Sorted(maps.Keys(p.waiting)) {
			n.send(target, Message{Push: &Push{Token: token, Engines: p.records}})
		}
	}
	if !p.isAnswered && (len(p.waiting) == 0 || n.now >= p.answerAt) {
		n.answerPush(p)
	}
	if n.now >= p.endAt {
		delete(n.announcements.pushes, token)
		delete(n.announcements.carried, fmt.Sprint(p.from, "/", p.token))
	}
}

func (n *Node) onPushReply(from string, m *PushReply) {
	if p := n.announcements.pushes[m.Token]; p != nil && p.waiting[from] {
		delete(p.waiting, from)
		p.confirmed++
		if len(p.waiting) == 0 {
			n.answerPush(p)
		}
		return
	}
	if p := n.announcements.confirmations[m.Token]; p != nil {
		if !m.IsSingle {
			p.zones[m.Zone] = p.zones[m.Zone] || m.IsWhole
		}
		if from != n.self() {
			p.nodes[from] = true
		}
		p.others = max(p.others, m.Others)
		n.judgeConfirmation(m.Token, p)
	}
}
