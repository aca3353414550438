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

// Registered is the answer to Node.Register. Err is nil, a NotConfirmedError or an IsolatedError.
type Registered struct {
	Token       uint64
	HeartbeatTo string // the public address for the engine's next announcements; empty: this node knows none that is alive
	Err         error
}

// IsCommand marks a command.
func (Registered) IsCommand() {}

// NotConfirmedError says that an engine's end, its drain or its removal, could not be confirmed across the fleet.
type NotConfirmedError struct {
	Engine string
	Reason string
}

func (e NotConfirmedError) Error() string {
	return fmt.Sprintf("the end of engine %s was not confirmed: %s", e.Engine, e.Reason)
}

// IsolatedError says that a node has not been in contact with a leader lately, so that the fleet may not learn of an
// engine from it. The engine has to send its heartbeats to another node as well.
type IsolatedError struct{ Node string }

func (e IsolatedError) Error() string {
	return e.Node + " has not been in contact with a leader lately"
}

// Timeouts of a push that has to be confirmed, counted from the time when a node starts it or receives it. An engine
// waits one second for its answer.
const (
	pushResendInterval     = 150 * kernel.Millisecond
	pushDeputyTimeout      = 250 * kernel.Millisecond // after which another node is queried in a zone that does not answer
	secondDeputyTimeout    = 400 * kernel.Millisecond // after which a second other node is queried in such a zone
	pushPartialTimeout     = 400 * kernel.Millisecond // after which a zone's partial answer is sent
	pushMajorityTimeout    = 600 * kernel.Millisecond // after which a majority of the zones is enough
	pushGiveUpTimeout      = 850 * kernel.Millisecond
	pushLifetime           = 1600 * kernel.Millisecond // until which a zone keeps resending, also after its answer
	sameZoneNodeTimeout    = 1500 * kernel.Millisecond // a node of this zone counts as alive for this long after its last request
	crossZoneDelay         = 2500 * kernel.Millisecond // the longest expected delay of a record from another zone
	heartbeatCheckInterval = 200 * kernel.Millisecond
	frozenTickGap          = kernel.Second // between two ticks; a longer gap shows that this process was frozen
)

// announcements is a node's state for the announcements that engines make of themselves.
type announcements struct {
	nextToken       uint64
	pushes          map[uint64]*pendingPush
	forwardedTokens map[string]uint64 // this node's token of a forwarded push, by the sender and its token
	confirmations   map[uint64]*endConfirmation
	confirmedEnds   map[endKey]kernel.Micros // ends that this node confirmed, with the time
	counts          ConfirmationCounts
	ends            map[string]*knownEnd     // by engine
	forwardedAt     map[string]kernel.Micros // when an unchanged heartbeat was last forwarded to the coordinator that monitors the engine
	// checkSince is the time from which missing heartbeats count on this node; see checkHeartbeats.
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

// engineMonitor returns the address of the node that judges by heartbeats whether a zone's engines are alive. That is
// the zone's coordinator. If the zone has none, it is another zone's coordinator, chosen by a hash of the zone's name
// so that all nodes agree. The address is empty if no coordinator is known.
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

// heartbeatTarget returns the public address of the node that monitors a zone's engines, to which they should send
// their heartbeats. It is empty if that node is leaving or not known to be alive.
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

// Register handles an engine's announcement of itself. The record's Seq orders the announcements of one engine process.
// The command Registered is the answer. It is returned at once, with an IsolatedError if this node is isolated. If the
// engine is draining or removed, the answer follows once the fleet has confirmed that or the attempt was given up; see
// confirmEnd.
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
	changed := n.mergeAnnounced([]registry.EngineRecord{record})
	if !isKnown && !record.IsUnlisted && record.Address != "" {
		changed = append(changed, n.markAddressReused(record)...)
	}
	if !record.IsDraining && !record.IsUnlisted {
		n.pushToCoordinators(changed)
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

// markAddressReused is called for the first announcement of a new engine. It marks any other engine at the same address
// as unresponsive, and returns the changed records. The platform reuses an address only after the last engine there has
// ended. But the announcement may be a late one, from an engine that ended before the marked one started. The marked
// engine's next announcement therefore clears the mark.
func (n *Node) markAddressReused(newcomer registry.EngineRecord) []registry.EngineRecord {
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

// mergeAnnounced merges records that engines announced to this node or to a node that forwarded them. It returns the
// changed ones.
func (n *Node) mergeAnnounced(records []registry.EngineRecord) []registry.EngineRecord {
	changed := []registry.EngineRecord{}
	n.recordEnds(records)
	for _, record := range records {
		if known, isKnown := n.directory.Engine(record.ID); isKnown && known.Start == record.Start {
			record.IsUnresponsive, record.UnresponsiveSeq, record.ReachabilityChangedAt = known.IsUnresponsive, known.UnresponsiveSeq, known.ReachabilityChangedAt
			// An announcement that is newer than the mark clears it.
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

// forwardHeartbeat forwards an engine's heartbeat to the coordinator that monitors the engine. It does not forward a
// changed record, which is pushed to all nodes anyway, and limits the rate for each engine.
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
