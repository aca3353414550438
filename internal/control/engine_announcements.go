package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
	"github.com/cespare/xxhash/v2"
)

// Registered answers what Node.Register took from an engine.
type Registered struct {
	Token  uint64
	BeatTo string // the public address for its later words; empty: no better one is known
	Err    error
}

// NotConfirmed says that an engine's word of its end could not be shown to have gone round.
type NotConfirmed struct {
	Engine string
	Why    string
}

func (b NotConfirmed) Error() string {
	return fmt.Sprintf("the end of engine %s was not confirmed: %s", b.Engine, b.Why)
}

// Isolated says that a node has heard from no leader lately, so that the fleet may not hear of an
// engine by it. The engine is to beat at another node as well.
type Isolated struct{ Node string }

func (b Isolated) Error() string { return b.Node + " has heard from no leader lately" }

// Spans of a push that has to be confirmed. An engine waits a second for its answer.
const (
	pushResend  = 150 * kernel.Millisecond
	pushDeputy  = 250 * kernel.Millisecond // after which another node of a silent zone is asked
	pushPartial = 400 * kernel.Millisecond // after which a zone says what it has so far
	pushEnough  = 600 * kernel.Millisecond // after which most zones are enough
	pushGiveUp  = 850 * kernel.Millisecond
	pushEnd     = 1600 * kernel.Millisecond // until which a zone goes on after its word
	nodeNear    = 1500 * kernel.Millisecond // a node of the own zone that was heard within it lives
	nodeFar     = 2500 * kernel.Millisecond // how late a node's word may be when it gets here
	judgeEvery  = 200 * kernel.Millisecond
	frozenSpan  = kernel.Second // between two ticks: this process was not there
)

// announcements is a node's part in what engines say of themselves.
type announcements struct {
	nextToken     uint64
	pushes        map[uint64]*pushing
	carried       map[string]uint64 // sender and its token to the own
	confirmations map[uint64]*endConfirmation
	kept          map[endKey]kernel.Micros // ends confirmed by this node
	passedAt      map[string]kernel.Micros // when a plain beat last went to the engine's home
	// judgeSince is the moment from which silence of an engine counts here.
	judgeSince kernel.Micros
	judgeAt    kernel.Micros
	wasHome    bool
	tickedAt   kernel.Micros
	sweepAt    kernel.Micros
}

func newAnnouncements(firstToken uint64) announcements {
	return announcements{
		nextToken: firstToken, pushes: map[uint64]*pushing{}, carried: map[string]uint64{}, confirmations: map[uint64]*endConfirmation{},
		kept: map[endKey]kernel.Micros{}, passedAt: map[string]kernel.Micros{},
	}
}

// judge is the node that judges whether the engines of a zone live: the zone's home, or
// for a zone without nodes some other, the same one on every node.
func (n *Node) judge(zone string) string {
	if n.lease.applied == nil || len(n.lease.applied.Homes) == 0 {
		return ""
	}
	homes := n.lease.applied.Homes
	if home := homes[zone]; home != "" {
		return home
	}
	zones := slices.Sorted(maps.Keys(homes))
	return homes[zones[xxhash.Sum64String(zone)%uint64(len(zones))]]
}

// beatTo is where an engine of a zone should beat, if that node is known to live.
func (n *Node) beatTo(zone string) string {
	home := n.judge(zone)
	if home == n.self() && !n.isLeaving {
		return n.settings.Identity.Public
	}
	node, isThere := n.directory.nodes.Get(home)
	isSilent := home == n.home() && n.isHomeless()
	if !isThere || isSilent || node.IsLeaving || !n.mayLive(node) {
		return ""
	}
	return node.Public
}

// Register takes an engine's word on itself. Seq numbers its words. The command Registered
// answers it: at once (with an error by a node that is isolated), or, where it says that the engine is leaving or gone, once the
// fleet's routers know.
func (n *Node) Register(now kernel.Micros, token uint64, record EngineRecord) []any {
	n.now = now
	record = record.placed(now)
	record.Word, record.Seq = max(record.Seq, 1), 0
	record.Start = max(record.Start, 1)
	zone := record.Zone
	known, isKnown := n.directory.engines.Get(record.ID)
	if isKnown && zone == "" {
		zone = known.Zone
	}
	fresh := n.takeAnnounced([]EngineRecord{record})
	if !isKnown && !record.IsUnlisted && record.Address != "" {
		fresh = append(fresh, n.doubtOthersAt(record)...)
	}
	if !record.IsLeaving && !record.IsUnlisted {
		n.pushOut(fresh)
		n.passOn(record.ID, len(fresh) > 0)
		answer := Registered{Token: token, BeatTo: n.beatTo(zone)}
		if n.isIsolated() {
			answer = Registered{Token: token, Err: Isolated{n.self()}}
		}
		n.out = append(n.out, answer)
		return n.finish()
	}
	if len(fresh) == 0 {
		fresh = []EngineRecord{record.aged(now)}
	}
	n.confirmEnd(token, record, zone, fresh)
	return n.finish()
}

// doubtOthersAt calls engines dark whose address another one now names for the first time, and gives what
// is news. An address is given away only after its last engine ended; but this first word may be a late one,
// of an engine that ended before the other began. So the doubt ends with the other's next word.
func (n *Node) doubtOthersAt(newcomer EngineRecord) []EngineRecord {
	fresh := []EngineRecord{}
	for _, other := range n.directory.Engines() {
		if !other.isBeating() || other.Address != newcomer.Address || other.ID == newcomer.ID {
			continue
		}
		other.IsDark, other.BackAt = true, n.now
		other.DarkSeq++
		if _, isNews := n.directory.takeEngine(n.now, other, true); isNews {
			fresh = append(fresh, other.aged(n.now))
		}
	}
	return fresh
}

// takeAnnounced takes what engines said first-hand, here or at a node that passed it on, and
// gives what is news.
func (n *Node) takeAnnounced(records []EngineRecord) []EngineRecord {
	fresh := []EngineRecord{}
	for _, record := range records {
		if known, isKnown := n.directory.engines.Get(record.ID); isKnown && known.Start == record.Start {
			record.IsDark, record.DarkSeq, record.BackAt = known.IsDark, known.DarkSeq, known.BackAt
			// It spoke after it was called dark.
			if known.IsDark && !record.IsUnlisted && record.Seen > known.BackAt && record.Word > known.Word {
				record.IsDark, record.BackAt = false, n.now
				record.DarkSeq++
			}
		}
		if _, isNews := n.directory.takeEngine(n.now, record, n.judge(record.Zone) == n.self()); isNews {
			taken, _ := n.directory.engines.Get(record.ID)
			fresh = append(fresh, taken.aged(n.now))
		}
	}
	return fresh
}

// passOn tells an engine's home of a beat that came here. What is news goes round anyway.
func (n *Node) passOn(id string, isNews bool) {
	engine, _ := n.directory.engines.Get(id)
	judge := n.judge(engine.Zone)
	if judge == "" || judge == n.self() || isNews {
		return
	}
	if at, isPassed := n.announcements.passedAt[id]; isPassed && n.now-at < max(kernel.Second/2, n.settings.Timing.BeatGone/4) {
		return
	}
	n.announcements.passedAt[id] = n.now
	n.send(judge, Message{Heard: &Heard{[]EngineRecord{engine.aged(n.now)}}})
}
