// Package modelcheck is a model checker for the real consensus core. It runs a few members on simulated disks
// and a simulated network that may reorder, duplicate, delay or lose messages. It explores crashes, lost disks,
// partitions, frozen processes and second processes at an address, while operators put and read
// configurations. Every step is a choice, so that a run can be replayed from its list of choices.
package modelcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// operatorAddress is the address that receives the responses to all operators.
const operatorAddress = "operator"

// clusterID is the cluster id of the modeled fleet.
const clusterID = "f"

// Settings describe a modeled fleet.
type Settings struct {
	Voters           int // the core's setting; zero selects the strict rule of three
	BootstrapMembers int // voters of the first document
	Learners         int
	Timing           cluster.Timing
	// FailingDisks adds disks that stall, fill up or damage a document, and power losses.
	FailingDisks       bool
	OperationsFromStep int // the first time step in which operators put anything
	// StopsReleasedLeavers stops a leaving member once it is released. Its disk counts as lost.
	StopsReleasedLeavers bool
	// PlannedActions happen in every run, in addition to the explored deviations.
	PlannedActions []PlannedAction
	// plant is called before each step to plant a fault that the search has to find; it may be nil.
	plant func(w *World)
	// LiftedAssumptions are assumptions that the explored faults need not keep to.
	LiftedAssumptions Assumptions
}

// PlannedAction is an action that happens at a given time step of every run.
type PlannedAction struct {
	Step   int
	Choice Choice
}

// bootstrapRule returns the bootstrap rule that goes with the number of voters.
func (s Settings) bootstrapRule() control.BootstrapRule {
	if s.Voters > 0 {
		return control.BootstrapByAnnounce
	}
	return control.BootstrapFromSeeds
}

// ModelTiming returns the durations of the control plane, scaled down to a few heartbeat intervals each, because
// each interval is a time step to explore.
func ModelTiming() cluster.Timing {
	timing := cluster.DefaultTiming()
	timing.MinElectionTimeout, timing.MaxElectionTimeout = 3*timing.HeartbeatInterval, 6*timing.HeartbeatInterval
	timing.DiskStallTimeout, timing.DiskRetryInterval = 5*timing.HeartbeatInterval, 2*timing.HeartbeatInterval
	timing.ReplaceTimeout = 9 * timing.HeartbeatInterval
	// The senders of lease requests in the model are not nodes of a zone, so none may become a coordinator.
	timing.CoordinatorTimeout = 0
	return timing
}

// envelope is a message in flight.
type envelope struct {
	from    int // the index of a process; -1 for an operator
	to      string
	message wire.Message
	digest  uint64 // zero in a world without fingerprints
}

// World is the state of a modeled fleet.
type World struct {
	settings         Settings
	bootstrapMembers []string
	now              kernel.Micros
	processes        []*process
	inFlight         []*envelope // oldest first
	delayed          []*envelope // not delivered until released
	timeStep         int         // the number of time steps so far
	operators        operators
	observer         *observer
	documents        map[*cluster.Document]uint64 // cached hashes of documents
	contents         map[*cluster.Document]uint64 // the same without the terms
	starts           int
	memberIDCount    int
	lostDisks        int
	wiped            map[string]bool // addresses that were served from an empty folder after the bootstrap
	// isWithoutFingerprints is set if states are not compared, so that messages need not be hashed.
	isWithoutFingerprints bool
	// coreViolation is the first violation that a core itself reported, as a ViolationError, or nil.
	coreViolation error
	// checkLinearizable checks the operators' history. It is checker.CheckLinearizable except in tests.
	checkLinearizable func(history []checker.RegisterOperation, timeout time.Duration) error
	// Trace is called with each line of the log; it may be nil.
	Trace func(text string)
}

func sortedKeys[K cmp.Ordered, V any](of map[K]V) []K { return slices.Sorted(maps.Keys(of)) }

// NewWorld returns a fleet that was just bootstrapped and has no leader yet.
func NewWorld(settings Settings) *World {
	w := &World{settings: settings, now: 100 * kernel.Second, documents: map[*cluster.Document]uint64{}, contents: map[*cluster.Document]uint64{}, wiped: map[string]bool{}}
	w.observer, w.checkLinearizable = newObserver(), checker.CheckLinearizable
	first := &cluster.Document{
		ClusterID: clusterID, Revision: 1, Term: 1,
		Coordinators: map[string]string{}, DrainedZones: map[string]uint64{}, Draining: map[string]cluster.DrainingMark{},
	}
	for i := range settings.BootstrapMembers + settings.Learners {
		p := &process{index: i, address: fmt.Sprintf("m%d", i+1), zone: fmt.Sprintf("z%d", i%3+1), clock: w.now}
		p.disk = w.emptyDisk()
		w.processes = append(w.processes, p)
		if i < settings.BootstrapMembers {
			first.Voters = append(first.Voters, w.memberOf(p))
			w.bootstrapMembers = append(w.bootstrapMembers, p.address)
		}
	}
	for i, p := range w.processes {
		if i < settings.BootstrapMembers {
			p.disk.write(commands.Save{HardState: &cluster.HardState{Term: 1}, Document: first})
		}
		w.observer.synced(p)
		w.start(p)
	}
	return w
}

func (w *World) trace(form string, args ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf(form, args...))
	}
}

// send puts a message in flight, unless its sender is partitioned.
func (w *World) send(p *process, send commands.Send) {
	if p.partition == partitionBoth || p.partition == partitionOutgoing {
		return
	}
	w.enqueue(p.index, send.To, send.Message)
}

func (w *World) enqueue(from int, to string, message wire.Message) {
	e := &envelope{from: from, to: to, message: message}
	if !w.isWithoutFingerprints {
		e.digest = w.digestOf(e)
	}
	w.inFlight = append(w.inFlight, e)
}

// receivers returns the running processes at an address, the newest first.
func (w *World) receivers(address string) []*process {
	found := []*process{}
	for _, p := range w.processes {
		if p.address == address && p.isUp {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b *process) int { return cmp.Compare(b.startedAt, a.startedAt) })
	return found
}

// deliver passes a message to one of the processes at its address, or drops it in a partition.
func (w *World) deliver(e *envelope, to *process) error {
	// Partitions separate only members: there are operators on each side.
	if e.from >= 0 && (to.partition == partitionBoth || to.partition == partitionIncoming) {
		if w.Trace != nil {
			w.trace("dropped in a partition: %s to m%d: %s", w.senderOf(e), to.index+1, describe(e.message))
		}
		return nil
	}
	if w.Trace != nil {
		w.trace("m%d receives from %s: %s", to.index+1, w.senderOf(e), describe(e.message))
	}
	w.recordContact(e, to)
	return w.handle(to, e.digest, func(core *control.Core) { core.Receive(to.clock, w.senderOf(e), e.message) })
}

func (w *World) senderOf(e *envelope) string {
	if e.from < 0 {
		return operatorAddress
	}
	return w.processes[e.from].address
}

// recordContact records, for a leader, when it last received a message from each member and the position that
// the member acknowledged.
func (w *World) recordContact(e *envelope, to *process) {
	if to.lastContact == nil {
		return
	}
	switch {
	case e.message.HeartbeatResponse != nil && e.message.HeartbeatResponse.Term == to.contactTerm:
		reply := e.message.HeartbeatResponse
		w.recordReport(to, reply.Member.ID, syncReport{reply.Incarnation, reply.Synced})
	case e.message.Join != nil:
		join := e.message.Join
		w.recordReport(to, join.Member.ID, syncReport{join.Incarnation, join.Synced})
	}
}

// recordReport records a report of the newest incarnation of a member. A report of an earlier incarnation is
// ignored as late, unless the newer incarnation has been silent for longer than ReplaceTimeout. It then counts
// as lost (the assumption Late-messages-end).
func (w *World) recordReport(to *process, id cluster.MemberID, report syncReport) {
	known := to.syncReports[id]
	isUnresponsive := to.clock-to.lastContact[id] > w.settings.Timing.ReplaceTimeout
	if report.Incarnation < known.Incarnation && !isUnresponsive {
		return
	}
	to.lastContact[id] = to.clock
	if report.Incarnation != known.Incarnation || known.Synced.Before(report.Synced) {
		to.syncReports[id] = report
	}
}

// advanceTime advances all clocks by one time step and fires due timers.
func (w *World) advanceTime() error {
	w.now += w.settings.Timing.HeartbeatInterval
	w.timeStep++
	w.trace("time step %d", w.timeStep)
	for _, p := range w.processes {
		p.clock += w.settings.Timing.HeartbeatInterval
		p.isDirty = true
	}
	for _, p := range w.processes {
		if p.isUp && !p.isFrozen {
			if err := w.tick(p); err != nil {
				return err
			}
		}
	}
	w.operate()
	if err := w.stopReleasedLeavers(); err != nil {
		return err
	}
	return w.applyPlan()
}

// stopReleasedLeavers stops the members whose leave is complete, as their server processes would.
func (w *World) stopReleasedLeavers() error {
	if !w.settings.StopsReleasedLeavers {
		return nil
	}
	for _, p := range w.processes {
		if !p.isUp || p.isFrozen {
			continue
		}
		if state := p.core.Inspect(); !state.IsLeaving || state.IsLeader || state.IsNeeded {
			continue
		}
		w.trace("m%d has left", p.index+1)
		p.stop()
		p.hasLeft = true
		w.observer.lostMembers[p.disk.member] = true
		if err := leaverIsReleased(w.observer, p); err != nil {
			return err
		}
	}
	return nil
}

// applyPlan applies the actions planned for this time step.
func (w *World) applyPlan() error {
	for _, planned := range w.settings.PlannedActions {
		if planned.Step != w.timeStep {
			continue
		}
		p := w.processes[planned.Choice.A]
		w.trace("planned: %s m%d", planned.Choice.Action, p.index+1)
		if p.isUp == (planned.Choice.Action == Start) || p.hasLeft {
			continue
		}
		if err := w.apply(planned.Choice); err != nil {
			return err
		}
	}
	return nil
}
