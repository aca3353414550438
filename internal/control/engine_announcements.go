package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Registered answers what Node.Register took from an engine.
type Registered struct {
	Token       uint64
	HeartbeatTo string // the public address for its later words; empty: no better one is known
	Err         error
}

// IsCommand marks a command.
func (Registered) IsCommand() {}

// NotConfirmedError says that an engine's word of its end could not be shown to have gone round.
type NotConfirmedError struct {
	Engine string
	Reason string
}

func (b NotConfirmedError) Error() string {
	return fmt.Sprintf("the end of engine %s was not confirmed: %s", b.Engine, b.Reason)
}

// IsolatedError says that a node has heard from no leader lately, so that the fleet may not hear of an
// engine by it. The engine is to beat at another node as well.
type IsolatedError struct{ Node string }

func (b IsolatedError) Error() string { return b.Node + " has heard from no leader lately" }

// Spans of a push that has to be confirmed. An engine waits a second for its answer.
const (
	pushResendInterval     = 150 * kernel.Millisecond
	pushDeputyTimeout      = 250 * kernel.Millisecond // after which another node of a silent zone is asked
	secondDeputyTimeout    = 400 * kernel.Millisecond // after which one more is
	pushPartialTimeout     = 400 * kernel.Millisecond // after which a zone says what it has so far
	pushMajorityTimeout    = 600 * kernel.Millisecond // after which most zones are enough
	pushGiveUpTimeout      = 850 * kernel.Millisecond
	pushLifetime           = 1600 * kernel.Millisecond // until which a zone goes on after its word
	nodeNearTimeout        = 1500 * kernel.Millisecond // a node of the own zone that was heard within it lives
	nodeFarTimeout         = 2500 * kernel.Millisecond // how late a node's word may be when it gets here
	heartbeatCheckInterval = 200 * kernel.Millisecond
	frozenSpan             = kernel.Second // between two ticks: this process was not there
)

// announcements is a node's part in what engines say of themselves.
type announcements struct {
	nextToken       uint64
	pushes          map[uint64]*pendingPush
	forwardedTokens map[string]uint64 // sender and its token to the own
	confirmations   map[uint64]*endConfirmation
	confirmedEnds   map[endKey]kernel.Micros // ends confirmed by this node
	counts          ConfirmationCounts
	ends            map[string]*knownEnd     // by engine
	forwardedAt     map[string]kernel.Micros // when a plain beat last went to the engine's home
	// checkSince is the moment from which silence of an engine counts here.
	checkSince     kernel.Micros
	nextCheckAt    kernel.Micros
	wasCoordinator bool
	tickedAt       kernel.Micros
	sweepAt        kernel.Micros
}

func newAnnouncements(firstToken uint64) announcements {
	return announcements{
		nextToken: firstToken, pushes: map[uint64]*pendingPush{}, forwardedTokens: map[string]uint64{}, confirmations: map[uint64]*endConfirmation{},
		confirmedEnds: map[endKey]kernel.Micros{}, ends: map[string]*knownEnd{}, forwardedAt: map[string]kernel.Micros{},
	}
}

// engineMonitor is the node that judges whether the engines of a zone live: the zone's home, or
// for a zone without nodes some other, the same one on every node.
func (n *Node) engineMonitor(zone string) string {
	if n.lease.Applied() == nil || len(n.lease.Applied().Coordinators) == 0 {
		return ""
	}
	coordinators := n.lease.Applied().Coordinators
	if coordinator := coordinators[zone]; coordinator != "" {
		return coordinator
	}
	zones := slices.Sorted(maps.Keys(coordinators))
	return coordinators[zones[xxhash.Sum64String(zone)%uint64(len(zones))]]
}

// heartbeatTarget is where an engine of a zone should beat, if that node is known to live.
func (n *Node) heartbeatTarget(zone string) string {
	coordinator := n.engineMonitor(zone)
	if coordinator == n.self() && !n.isLeaving {
		return n.settings.Identity.Public
	}
	node, isThere := n.directory.Node(coordinator)
	isLost := coordinator == n.coordinator() && n.isCoordinatorLost()
	if !isThere || isLost || node.IsLeaving || !n.isLikelyAlive(node) {
		return ""
	}
	return node.PublicAddress
}

// Register takes an engine's word on itself. Seq numbers its words. The command Registered
// answers it: at once (with an error by a node that is isolated), or, where it says that the engine is leaving or gone, once the
// fleet's routers know.
func (n *Node) Register(now kernel.Micros, token uint64, record registry.EngineRecord) []commands.Command {
	n.now = now
	record = record.WithTimes(now)
	record.AnnouncementSeq, record.Seq = max(record.Seq, 1), 0
	record.Start = max(record.Start, 1)
	zone := record.Zone
	known, isKnown := n.directory.Engine(record.ID)
	if isKnown && zone == "" {
		zone = known.Zone
	}
	changed := n.takeAnnounced([]registry.EngineRecord{record})
	if !isKnown && !record.IsUnlisted && record.Address != "" {
		changed = append(changed, n.suspectOthersAt(record)...)
	}
	if !record.IsDraining && !record.IsUnlisted {
		n.pushOut(changed)
		n.forwardHeartbeat(record.ID, len(changed) > 0)
		answer := Registered{Token: token, HeartbeatTo: n.heartbeatTarget(zone)}
		if n.isIsolated() {
			answer = Registered{Token: token, Err: IsolatedError{n.self()}}
		}
		n.out = append(n.out, answer)
		return n.finish()
	}
	if len(changed) == 0 {
		changed = []registry.EngineRecord{record.WithAges(now)}
	}
	n.confirmEnd(token, record, zone, changed)
	return n.finish()
}

// suspectOthersAt calls engines dark whose address another one now names for the first time, and gives what
// is news. An address is given away only after its last engine ended; but this first word may be a late one,
// of an engine that ended before the other began. So the doubt ends with the other's next word.
func (n *Node) suspectOthersAt(newcomer registry.EngineRecord) []registry.EngineRecord {
	changed := []registry.EngineRecord{}
	for other := range n.directory.AllEngines() {
		if !other.HasHeartbeat() || other.Address != newcomer.Address || other.ID == newcomer.ID {
			continue
		}
		other.IsUnresponsive, other.ReachabilityChangedAt = true, n.now
		other.UnresponsiveSeq++
		if _, isChanged := n.directory.MergeRecord(n.now, other, true); isChanged {
			changed = append(changed, other.WithAges(n.now))
		}
	}
	return changed
}

// takeAnnounced takes what engines said first-hand, here or at a node that passed it on, and
// gives what is news.
func (n *Node) takeAnnounced(records []registry.EngineRecord) []registry.EngineRecord {
	changed := []registry.EngineRecord{}
	n.hearEnds(records)
	for _, record := range records {
		if known, isKnown := n.directory.Engine(record.ID); isKnown && known.Start == record.Start {
			record.IsUnresponsive, record.UnresponsiveSeq, record.ReachabilityChangedAt = known.IsUnresponsive, known.UnresponsiveSeq, known.ReachabilityChangedAt
			// It spoke after it was called dark.
			if known.IsUnresponsive && !record.IsUnlisted && record.SeenAt > known.ReachabilityChangedAt && record.AnnouncementSeq > known.AnnouncementSeq {
				record.IsUnresponsive, record.ReachabilityChangedAt = false, n.now
				record.UnresponsiveSeq++
			}
		}
		if _, isChanged := n.directory.MergeRecord(n.now, record, n.engineMonitor(record.Zone) == n.self()); isChanged {
			taken, _ := n.directory.Engine(record.ID)
			changed = append(changed, taken.WithAges(n.now))
		}
	}
	return changed
}

// forwardHeartbeat tells an engine's home of a beat that came here. What is news goes round anyway.
func (n *Node) forwardHeartbeat(id string, isChanged bool) {
	engine, _ := n.directory.Engine(id)
	monitor := n.engineMonitor(engine.Zone)
	if monitor == "" || monitor == n.self() || isChanged {
		return
	}
	if at, isForwarded := n.announcements.forwardedAt[id]; isForwarded && n.now-at < max(kernel.Second/2, n.settings.Timing.EngineHeartbeatTimeout/4) {
		return
	}
	n.announcements.forwardedAt[id] = n.now
	n.send(monitor, wire.Message{EngineReports: &wire.EngineReports{Engines: []registry.EngineRecord{engine.WithAges(n.now)}}})
}
