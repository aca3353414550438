package control

// Beats of engines: silence, and what is forgotten in time.

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

func (n *Node) tickAnnouncements() {
	w := &n.announcements
	isAwake := n.now-w.tickedAt < frozenSpan
	w.tickedAt = n.now
	for _, token := range slices.Sorted(maps.Keys(w.pushes)) {
		n.tickPush(token, w.pushes[token])
	}
	for _, token := range slices.Sorted(maps.Keys(w.confirmations)) {
		n.tickConfirmation(token, w.confirmations[token])
	}
	n.judgeBeats(isAwake)
	n.checkConfirmedEnds()
	if n.now >= w.sweepAt {
		w.sweepAt = n.now + 5*kernel.Second
		dropOld(w.passedAt, n.now-engineGone)
		dropOld(w.kept, n.now-engineGone)
	}
}

// dropOld forgets what was noted before a moment.
func dropOld[K comparable](noted map[K]kernel.Micros, before kernel.Micros) {
	for key, at := range noted {
		if at < before {
			delete(noted, key)
		}
	}
}

// judgeBeats calls engines dark that have not been heard for long, at the home of their zone.
func (n *Node) judgeBeats(isAwake bool) {
	w, span := &n.announcements, n.settings.Timing.BeatGone
	isHome := n.isHome()
	// Silence says something only to who could have heard: not to one that has just become
	// home, was frozen, or is cut off from the core and so perhaps from the engines too.
	isInTouch := n.now-n.leaderWord < kernel.Second+2*n.settings.Timing.Ask
	if !isHome || !w.wasHome || !isAwake || !isInTouch {
		w.judgeSince = n.now
	}
	w.wasHome = isHome
	if !isHome || span == 0 || n.now-w.judgeSince <= span || n.now < w.judgeAt {
		return
	}
	w.judgeAt = n.now + judgeEvery
	dark := []EngineRecord{}
	for _, engine := range n.directory.Engines() {
		if engine.isBeating() && n.now-max(engine.Seen, w.judgeSince) > span && n.judge(engine.Zone) == n.self() {
			engine.IsDark, engine.BackAt = true, n.now
			engine.DarkSeq++
			n.directory.takeEngine(n.now, engine, true)
			dark = append(dark, engine.aged(n.now))
		}
	}
	n.pushOut(dark)
}

// serving counts the routers that are known to live.
func (n *Node) serving(nodes []NodeRecord) int {
	count := 0
	for _, node := range nodes {
		if node.Address != n.self() && node.IsRouter && !node.IsLeaving && n.mayLive(node) {
			count++
		}
	}
	if n.settings.IsRouter && !n.isLeaving {
		count++
	}
	return count
}
