package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Asks between a node, its home and the leader, and the news that come back.

type newsMark struct {
	home string
	upto uint64
}

func (n *Node) onAsk(from string, m *Ask) {
	n.directory.TakeNode(n.now, m.Node.placed(n.now), true)
	n.zoneHeard[m.Address] = n.now
	if n.settings.ServeOn >= ServeOnAlways {
		n.answerAsk(from, m)
		return
	}
	// Sent even when empty: the node hears by it that its home is there.
	n.send(from, Message{News: n.directory.NewsSince(n.now, m.SeenHome, m.SeenNews, false)})
	// Where the two differ, each gets what the other has: what only this node
	// knows, say a mark from before this home was one, would else stay with it.
	if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, Message{News: &News{Home: n.directory.incarnation, Engines: differing}})
		n.send(from, Message{Mend: &Mend{Digests: n.directory.Digests()}})
	}
	// A node that is behind need not wait for the leader's word to get the document.
	n.zoneHeld[m.Address] = m.holds()
	if n.zoneHeld[m.Address] < n.lease.Revision() {
		document := n.pushed.offer(n.now, from, n.lease.applied, n.zoneHeld[m.Address], n.isVoterAt(from))
		n.send(from, Message{Grant: &Grant{Revision: n.lease.Revision(), Document: document}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchHot = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterAsk
}

// answerAsk answers in one message. Nobody serves by the leader's word here, so the home
// need not wait for it: it tells what it holds itself, and who leads if it knows.
func (n *Node) answerAsk(from string, m *Ask) {
	n.zoneHeld[m.Address] = m.holds()
	grant := &Grant{Revision: n.lease.Revision(), News: n.directory.NewsSince(n.now, m.SeenHome, m.SeenNews, false)}
	if n.now-n.leaderWord < kernel.Second {
		grant.Leader = n.leaderHint
	}
	grant.Document = n.pushed.offer(n.now, from, n.lease.applied, n.zoneHeld[m.Address], n.isVoterAt(from))
	grant.Ask, grant.Freshness = m.Seq, n.lease.Freshness(n.now)
	n.send(from, Message{Grant: grant})
	if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, Message{News: &News{Home: n.directory.incarnation, Engines: differing}})
		n.send(from, Message{Mend: &Mend{Digests: n.directory.Digests()}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchHot = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterAsk
}

func (n *Node) onGrantBatch(m *GrantBatch) {
	n.leaderHint, n.leaderWord = m.Leader, n.now
	n.applied(n.lease.Apply(n.filled(m.Document)))
	for _, ask := range m.Asks {
		grant := &Grant{Seq: ask.Seq, Revision: m.Revision, Leader: m.Leader}
		if ask.Address == n.self() {
			n.lease.TakeFreshness(ask.Seq, m.Revision, m.Freshness)
			n.applied(n.lease.TakeGrant(n.now, grant))
			continue
		}
		// They have had their answer; a newer document goes to them as it is applied here.
		if n.settings.ServeOn >= ServeOnAlways {
			continue
		}
		if held := max(n.zoneHeld[ask.Address], ask.Applied); held < m.Revision && n.lease.Revision() >= m.Revision {
			grant.Document = n.pushed.offer(n.now, ask.Address, n.lease.applied, held, n.isVoterAt(ask.Address))
		}
		n.send(ask.Address, Message{Grant: grant})
	}
}

func (n *Node) onNews(from string, m *News) {
	if from == n.home() {
		n.homeWord = n.now
		if m.Upto > 0 {
			if n.seenHome != m.Home {
				n.seenHome, n.seenNews = m.Home, 0
			}
			n.seenNews = max(n.seenNews, m.Upto)
		}
	}
	if m.Upto > 0 && n.isHome() {
		mark := n.peerNews[from]
		if mark.home != m.Home {
			mark = newsMark{home: m.Home}
		}
		mark.upto = max(mark.upto, m.Upto)
		n.peerNews[from] = mark
	}
	n.outlive(m.Nodes)
	isLeavingNews, isLacking := n.directory.TakeNews(n.now, m, false)
	if isLeavingNews && n.isHome() {
		n.spread(m.Engines, false)
	}
	// The sender goes by what was taken once, and can't know what was dropped here since:
	// it is asked for all again.
	if isLacking {
		n.note("cell", "ask for all", from+" was brief on a node that is not known here")
		delete(n.peerNews, from)
		if from == n.home() {
			n.seenHome, n.seenNews = "", 0
		}
	}
}

// outlive sees to it that this life counts as the later one where the fleet remembers
// another: the time of day may have jumped back between the two.
func (n *Node) outlive(records []NodeRecord) {
	for _, record := range records {
		isOther := record.Start > n.settings.Start || record.Start == n.settings.Start && record.Seq > n.nodeSeq
		if record.Address == n.self() && isOther {
			n.note("node "+n.self(), "count as later", fmt.Sprintf("the fleet remembers start %d, this one began as %d", record.Start, n.settings.Start))
			n.settings.Start, n.nodeSeqTimer, n.askTimer = record.Start+1, n.now, n.now
		}
	}
}

func (n *Node) onMend(from string, m *Mend) {
	if m.IsHome {
		if news := n.directory.NewsSince(n.now, m.SeenHome, m.SeenNews, true); len(news.Engines)+len(news.Nodes) > 0 || news.IsAll {
			n.send(from, Message{News: news})
		}
	}
	if m.Digests != nil {
		if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
			n.note("cell", "mend", fmt.Sprintf("%d records of differing ranges go to %s", len(differing), from))
			n.send(from, Message{News: &News{Home: n.directory.incarnation, Engines: differing}})
		}
	}
}

func (n *Node) record() NodeRecord {
	if n.now >= n.nodeSeqTimer {
		n.nodeSeqTimer = n.now + n.nodeRefresh()
		n.nodeSeq++
	}
	identity := n.settings.Identity
	return NodeRecord{
		Address: identity.Address, Public: identity.Public, Zone: identity.Zone,
		IsRouter: n.settings.IsRouter, IsController: n.settings.IsController, IsLeaving: n.isLeaving,
		Start: n.settings.Start, Seq: n.nodeSeq, Applied: n.lease.Revision(), AsOf: n.now,
	}
}

// nodeRefresh is how often a node says anew that it lives.
func (n *Node) nodeRefresh() kernel.Micros { return n.settings.Timing.NodeGone / 5 }

func (n *Node) ask() {
	n.askTimer = n.now + n.settings.Timing.Ask
	if n.lease.applied == nil {
		// Until it serves at all it asks round more often; the home is not loaded by that.
		n.askTimer = n.now + min(n.settings.Timing.Ask, 250*kernel.Millisecond)
	}
	record := n.record()
	n.directory.TakeNode(n.now, record, true)
	own := RouterAsk{
		Address: n.self(), Zone: n.settings.Identity.Zone, Seq: n.lease.NewAsk(n.now),
		Applied: n.lease.Revision(), IsRouter: n.settings.IsRouter && !n.isLeaving, IsBare: n.lease.isBare,
	}
	if held := n.lease.Held(); held > own.Applied {
		own.Held = held
	}
	if n.isHome() {
		n.batch[n.self()] = own
		return
	}
	if home := n.home(); home != "" {
		ask := &Ask{RouterAsk: own, SeenHome: n.seenHome, SeenNews: n.seenNews}
		// Told twice, since one may be lost, and at once to a new home.
		if n.recordHome != home || n.recordSeq != record.Seq {
			n.recordHome, n.recordSeq, n.recordTold = home, record.Seq, 0
		}
		if n.recordTold < 2 {
			n.recordTold++
			ask.Node = record.aged(n.now)
		}
		if n.askTurn++; n.askTurn%4 == 0 {
			ask.Digests = n.directory.Digests()
		}
		n.send(home, Message{Ask: ask})
	}
	// A silent home must not cost the lease: the leader is asked directly as well.
	if n.isHomeless() {
		n.send(n.leaderTarget(), Message{AskBatch: &AskBatch{Zone: own.Zone, Revision: n.lease.holds(), Asks: []RouterAsk{own}}})
	}
}

func (n *Node) sendBatch() {
	if len(n.batch) == 0 || n.now < n.batchTimer && !n.isBatchHot {
		return
	}
	// Waiting a little lets one crossing between zones carry the whole zone's asks.
	n.batchTimer, n.isBatchHot = n.now+100*kernel.Millisecond, false
	if n.settings.ServeOn >= ServeOnAlways {
		// No lease hangs on it.
		n.batchTimer = n.now + max(100*kernel.Millisecond, n.settings.Timing.Ask/2)
	}
	batch := &AskBatch{Zone: n.settings.Identity.Zone, IsHome: n.isHome(), Revision: n.lease.holds()}
	for _, address := range slices.Sorted(maps.Keys(n.batch)) {
		batch.Asks = append(batch.Asks, n.batch[address])
	}
	n.batch = map[string]RouterAsk{}
	n.send(n.leaderTarget(), Message{AskBatch: batch})
}

func (n *Node) tickMend() {
	if n.now < n.mendTimer {
		return
	}
	n.mendTimer = n.now + n.settings.Timing.Mend/4
	n.mendTurn++
	if n.isHome() {
		for _, home := range n.otherHomes() {
			mark := n.peerNews[home]
			mend := &Mend{IsHome: true, SeenHome: mark.home, SeenNews: mark.upto}
			// Digests only now and then: they mend what was lost, news does the rest.
			if n.mendTurn%4 == 0 {
				mend.Digests = n.directory.Digests()
			}
			n.send(home, Message{Mend: mend})
		}
		return
	}
	if n.isHomeless() && n.mendTurn%2 == 0 {
		if neighbours := n.views.Neighbours(); len(neighbours) > 0 {
			n.send(neighbours[n.random.IntN(len(neighbours))], Message{Mend: &Mend{Digests: n.directory.Digests()}})
		}
	}
}
