package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Hello is what a node that has just started says to whoever may know the fleet. Any node
// with a document in force answers with a Grant that brings it and the engines; no leader
// is needed for that, since it takes no lease from it.
type Hello struct {
	Held   uint64     `json:"held,omitempty"` // the revision it holds
	IsKeen bool       `json:"keen,omitempty"` // it wants the document, however large
	Node   NodeRecord `json:"node"`
}

const (
	helloEvery  = 100 * kernel.Millisecond
	helloSpan   = 2 * kernel.Second // for which one that has a document goes on, if nobody answers
	helloOthers = 6                 // asked besides the seeds, in turn
	helloAgain  = 250 * kernel.Millisecond
	// A configuration up to this size is sent by everyone who is asked, a larger one only to who
	// asks this node alone for it.
	helloConfig = 64 << 10
	// keenDoublings is how often the pause before another node is asked for a large document doubles.
	keenDoublings = 4
)

// greeting is a node's part in being told by whoever knows.
type greeting struct {
	until    kernel.Micros
	timer    kernel.Micros
	isOver   bool
	turn     int
	keenOn   string        // it has a document that was too large to send to all
	keenFrom kernel.Micros // the next time at which one may be asked for such
	keenAsks int           // so far
	answered map[string]kernel.Micros
}

func (n *Node) tickHello() {
	g := &n.greeting
	if g.isOver || n.now < g.timer {
		return
	}
	hasDocument := n.lease.Held() > 0
	if hasDocument && n.now >= g.until {
		g.isOver = true
		return
	}
	g.timer = n.now + helloEvery
	targets := slices.Clone(n.settings.Seeds)
	others := append(n.lease.applied.voterAddresses(), n.otherHints...)
	others = append(others, n.views.Neighbours()...)
	for range min(helloOthers, len(others)) {
		g.turn++
		targets = append(targets, others[g.turn%len(others)])
	}
	keenOn := ""
	if g.keenOn != "" && n.now >= g.keenFrom {
		keenOn, g.keenOn = g.keenOn, ""
		// Each copy takes the link from those before it, so the next one is asked for after twice as long.
		g.keenFrom = n.now + keenPause<<min(g.keenAsks, keenDoublings)
		g.keenAsks++
		targets = append(targets, keenOn)
	}
	slices.Sort(targets)
	record := n.record().aged(n.now)
	for _, target := range slices.Compact(targets) {
		if target != n.self() {
			n.send(target, Message{Hello: &Hello{Held: n.lease.holds(), IsKeen: target == keenOn, Node: record}})
		}
	}
}

func (n *Node) onHello(from string, m *Hello) {
	n.directory.TakeNode(n.now, m.Node.placed(n.now), m.Node.Zone == n.settings.Identity.Zone)
	if n.lease.applied == nil || n.settings.ServeOn < ServeOnAlways {
		return
	}
	// It asks again before the answer can be there; a large one need not go twice for that.
	key := fmt.Sprint(from, "/", m.Node.Start, m.IsKeen, "/", n.lease.Revision())
	if at, isAnswered := n.greeting.answered[key]; isAnswered && n.now-at < helloAgain {
		return
	}
	maps.DeleteFunc(n.greeting.answered, func(_ string, at kernel.Micros) bool { return n.now-at >= helloAgain })
	n.greeting.answered[key] = n.now
	grant := &Grant{Revision: n.lease.Revision(), News: n.directory.NewsSince(n.now, "", 0, false)}
	if n.now-n.leaderWord < kernel.Second {
		grant.Leader = n.leaderHint
	}
	if m.Held < n.lease.Revision() {
		light := n.lease.applied.lightFor(m.Held)
		if m.IsKeen || len(light.Config) <= helloConfig {
			grant.Document = light
		}
	}
	n.send(from, Message{Grant: grant})
}

// greeted follows a grant that came while this node was still asking round.
func (n *Node) greeted(from string, m *Grant) {
	g := &n.greeting
	if g.isOver {
		return
	}
	if m.Revision > n.lease.Held() {
		// It was too large to send unasked, or its configuration is not held here after all.
		if m.Document == nil && g.keenOn == "" && n.now >= g.keenFrom {
			g.keenOn, g.timer = from, n.now
		}
		return
	}
	// Two that have just started may tell each other what both had before; one that is in
	// touch with a leader knows what there is.
	g.isOver = n.lease.Held() > 0 && m.Leader != ""
}
