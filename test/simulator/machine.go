package simulator

// One simulated machine: a node with its clock, disk and supervisor, in virtual time.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
)

// machine runs one node with its own clock and disk.
type machine struct {
	world    *World
	name     string
	identity kernel.Identity
	isRouter bool
	isCore   bool // runs a controller
	seeds    []string
	disk     *disk

	// The machine's clock differs from the simulation's by an offset and a rate.
	offset kernel.Micros
	rate   float64

	isUp      bool
	isFrozen  bool
	isRemoved bool     // never restarted
	epoch     int      // incremented by each start and each halt; events of an earlier epoch are dropped
	deferred  []func() // events that wait until a frozen machine resumes
	// powerLossCountdown is decremented by each synced write, and the power is lost when it reaches
	// zero. A countdown that starts at zero has no effect.
	powerLossCountdown int
	// storedRevision is the revision of the newest document that was written to the disk.
	storedRevision uint64
	isLeader       bool
	// compiled holds the configurations that this process has compiled; compileDelay is added to
	// the duration of each compilation.
	compiled        map[string]bool
	compileDelay    kernel.Micros
	isLeaving       bool
	node            *control.Node
	store           *storage.Store
	dispatcher      *relay.Dispatcher
	tableBuilder    server.TableBuilder
	journal         *kernel.Journal
	calls           map[string]*call
	saving          *commands.Save    // the write in progress, or nil
	checkedDocument *cluster.Document // the last document that was checked
	appliedRevision uint64            // the highest revision that this process has applied
	replies         map[string]func(cluster.SubmitResponse)
	newestReads     map[uint64]func(*cluster.Document) // by the token of the read
	// deliver receives messages from the network; tests of the network replace it.
	deliver func(wire.Envelope)
}

func (m *machine) clock() kernel.Micros {
	return m.offset + kernel.Micros(float64(m.world.now)*m.rate)
}

func (m *machine) boot() {
	w := m.world
	m.epoch++
	m.isUp, m.isFrozen, m.deferred, m.saving, m.appliedRevision = true, false, nil, nil, 0
	m.powerLossCountdown, m.isLeaving = 0, false
	m.compiled = map[string]bool{}
	m.calls, m.replies = map[string]*call{}, map[string]func(cluster.SubmitResponse){}
	m.newestReads = map[uint64]func(*cluster.Document){}
	m.tableBuilder = server.TableBuilder{Compiler: &w.compiler}
	m.journal = kernel.NewJournal(4096)
	m.journal.Observe(func(entry kernel.Entry) { w.watch(m, entry) })
	w.startTick++
	settings := control.NodeSettings{
		Identity: m.identity, IsRouter: m.isRouter, IsController: m.isCore, HasFolder: m.disk != nil,
		Seeds: m.seeds, Start: w.startTick, RandomSeed: w.random.Uint64(), Timing: cluster.DefaultTiming(), Journal: m.journal,
		CheckConfig: w.compiler.Check,
		IsCompiled:  func(config []byte) bool { return m.compiled[string(config)] },
		FolderState: control.FolderState{Member: cluster.MemberID("none-" + m.name)},
		Invariants:  invariant.NewMonitor(func(violation invariant.ViolationError) { w.addInternalViolation("%s: %v", m.name, violation) }),
	}
	if w.hasTightElections {
		settings.Timing.MaxElectionTimeout = settings.Timing.MinElectionTimeout + 30*ms
	}
	settings.Voters = w.options.Voters
	if w.options.AnnouncedFounders {
		settings.BootstrapRule, settings.IsBootstrap = control.BootstrapByAnnounce, m.epoch == 1
	}
	m.store = nil
	if m.disk != nil {
		if err := m.openStore(&settings); err != nil {
			// A start on a full disk fails, as the daemon's would, and the supervisor tries again. No other disk
			// fault may keep a process from starting.
			if !errors.As(err, new(diskFullError)) {
				w.addInternalViolation("%s failed to start: %v", m.name, err)
			}
			m.isUp = false
			w.trace("%s failed to start: %v", m.name, err)
			epoch := m.epoch
			w.after(sec, func() {
				if m.epoch == epoch && !m.isRemoved {
					m.boot()
				}
			})
			return
		}
	}
	m.dispatcher = relay.NewDispatcher(m.identity.Address, m.identity.Zone, func(now kernel.Micros, subject, decision, why string) {
		m.journal.Record(now, "relay", subject, decision, why)
	})
	if w.options.Overrides != nil {
		m.dispatcher.Overrides = w.options.Overrides(m)
	}
	m.node = control.NewNode(settings, m.clock())
	m.deliver = func(envelope wire.Envelope) { m.execute(m.node.Deliver(m.clock(), envelope)) }
	m.tick(m.epoch)
	m.poll(m.epoch)
	m.probe(m.epoch, map[string]int{})
	w.trace("%s up", m.name)
}

// openStore reads the state that the node starts with from the machine's disk into settings.
func (m *machine) openStore(settings *control.NodeSettings) error {
	m.disk.stepsToFailure = -1
	var err error
	m.store, settings.FolderState, err = control.OpenStore(m.disk, control.FolderSource{
		Fleet: "sim", FreshID: func() string { return fmt.Sprintf("member-%016x", m.world.random.Uint64()) },
		KeepsAcceptorState: settings.BootstrapRule == control.BootstrapByAnnounce, IsBootstrap: settings.IsBootstrap, Seeds: settings.Seeds,
	})
	return err
}

func (m *machine) tick(epoch int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	// A frozen process misses its ticks; the next one runs after it resumes.
	if !m.isFrozen {
		m.execute(m.node.Tick(m.clock()))
	}
	m.world.after(20*ms+kernel.Micros(m.world.random.Int64N(int64(2*ms))), func() { m.tick(epoch) })
}

// do runs an event on the machine, or defers it while the machine is frozen. A machine that is
// down drops it.
func (m *machine) do(event func()) {
	switch {
	case !m.isUp:
	case m.isFrozen:
		if len(m.deferred) < 4000 {
			m.deferred = append(m.deferred, event)
		}
	default:
		event()
	}
}

// later runs an event after a span, unless the process has ended by then.
func (m *machine) later(span kernel.Micros, event func()) {
	epoch := m.epoch
	m.world.after(span, func() {
		if m.epoch == epoch {
			m.do(event)
		}
	})
}

func (m *machine) freeze(span kernel.Micros) {
	if !m.isUp || m.isFrozen {
		return
	}
	m.world.trace("%s frozen for %d us", m.name, span)
	m.isFrozen = true
	epoch := m.epoch
	m.world.after(span, func() {
		if m.epoch != epoch {
			return
		}
		m.world.trace("%s resumes", m.name)
		m.isFrozen = false
		deferred := m.deferred
		m.deferred = nil
		for _, event := range deferred {
			if m.epoch == epoch && m.isUp {
				event()
			}
		}
	})
}

// halt kills the process. Any number of the steps of a write in progress may be done.
func (m *machine) halt() {
	if !m.isUp {
		return
	}
	w := m.world
	w.trace("%s down", m.name)
	if m.saving != nil && m.store != nil && !m.disk.isStalled {
		m.disk.stepsToFailure = w.random.IntN(6)
		if err := m.store.Save(*m.saving); err != nil {
			w.trace("%s: %v", m.name, err)
		}
	}
	w.record(checker.Event{EventKind: checker.NodeKilled, Node: m.name})
	counts := m.dispatcher.Counts()
	w.retired.FirstAttempts += counts.FirstAttempts
	w.retired.Retries += counts.Retries
	m.isUp, m.isFrozen, m.deferred = false, false, nil
	m.epoch++
	w.recordLostLeader(m)
	w.discardLostMarks()
	for _, tag := range slices.Sorted(maps.Keys(m.calls)) {
		m.calls[tag].routerDied()
	}
}

func (m *machine) restart(after kernel.Micros) {
	epoch := m.epoch
	m.world.after(after, func() {
		if m.epoch == epoch && !m.isUp && !m.isRemoved {
			m.boot()
		}
	})
}

func (m *machine) execute(outputs []commands.Command) {
	w := m.world
	for _, command := range outputs {
		switch command := command.(type) {
		case control.Outgoing:
			w.sendMessage(m, command.Envelope)
		case commands.Save:
			m.save(command)
		case commands.Probe:
			m.later(w.between(ms, 3*ms), func() {
				for _, e := range w.engines {
					if e.id == command.Engine.ID && (!e.isUp || e.start != command.Engine.Start) {
						m.execute(m.node.Probed(m.clock(), command.Engine.ID, command.Engine.Start, true))
					}
				}
			})
		case commands.CompileConfig:
			// Compiling megabytes takes half a second, more on a busy machine.
			config := command.Document.Config
			m.later(kernel.Micros(len(config)/8)+w.between(0, 30*ms)+m.compileDelay, func() {
				m.compiled[string(config)] = true
				m.execute(m.node.ConfigCompiled(m.clock(), command.Document, nil))
			})
		case commands.LoadConfig:
			m.later(ms, func() {
				// The document is nil if it is no longer stored.
				document, _ := m.store.ConfigAt(command.Config)
				m.execute(m.node.ConfigLoaded(m.clock(), command.To, command.Config, document))
			})
		case commands.SaveHistory:
			m.later(ms, func() { m.execute(m.node.HistoryStored(m.clock(), m.store.SaveHistory(command.Documents))) })
		case control.ReadResult:
			if take := m.newestReads[command.Token]; take != nil {
				delete(m.newestReads, command.Token)
				take(command.Document)
			}
		case control.Reply:
			if take := m.replies[command.SubmitResponse.ID]; take != nil {
				delete(m.replies, command.SubmitResponse.ID)
				take(command.SubmitResponse)
			}
		case control.HealthChanged:
			// Only the log of a process shows it.
		default:
			w.addInternalViolation("%s returned a command that the simulator does not handle: %T", m.name, command)
		}
	}
	state := m.node.State(nil)
	routingTable, err := m.tableBuilder.RoutingTable(state)
	if err != nil {
		w.addInternalViolation("%s failed to build the routing table of a committed configuration: %v", m.name, err)
	}
	if routingTable != nil {
		m.dispatcher.SetRoutingTable(routingTable)
	}
	if state.Document == nil {
		return
	}
	if state.Document == m.checkedDocument {
		return
	}
	m.checkedDocument = state.Document
	// Checked in the internal state: a revision always has the same document, on every node.
	revision, digest := state.Document.Revision, digestOf(state.Document)
	if known, isKnown := w.committedDigests[revision]; isKnown && known != digest {
		w.addInternalViolation("%s has a document of revision %d that differs from the committed one", m.name, revision)
	}
	w.committedDigests[revision] = digest
	if revision < m.appliedRevision {
		w.addInternalViolation("%s went back from revision %d to %d", m.name, m.appliedRevision, revision)
	}
	m.appliedRevision = max(m.appliedRevision, revision)
}

func (m *machine) save(save commands.Save) {
	m.saving = &save
	latency := m.world.between(300, 4*ms) + m.disk.slowness
	var finish func()
	finish = func() {
		if m.disk.isStalled {
			m.later(50*ms, finish)
			return
		}
		err := m.store.Save(save)
		if err != nil && !errors.As(err, new(diskFullError)) {
			m.world.addInternalViolation("%s failed to write to its disk: %v", m.name, err)
		}
		m.saving = nil
		if err == nil && save.Document != nil {
			m.storedRevision = save.Document.Revision
		}
		if err == nil && m.powerLossCountdown > 0 {
			if m.powerLossCountdown--; m.powerLossCountdown == 0 {
				// The write is synced, but the process dies before it can respond.
				m.world.ProtectionCounts["power lost between sync and response"]++
				killAndRestart(m, m.world.between(50*ms, 2*sec))
				return
			}
		}
		m.execute(m.node.Saved(m.clock(), save.Token, err))
	}
	m.later(latency, finish)
}

// poll fetches the platform's list of engines if the node is the coordinator of its zone, or the
// coordinator is lost.
func (m *machine) poll(epoch int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	if !m.isFrozen {
		if state := m.node.State(nil); state.IsCoordinator || state.IsCoordinatorLost {
			m.execute(m.node.ReportListing(m.clock(), m.world.delayedListing()))
		}
	}
	m.world.after(sec, func() { m.poll(epoch) })
}

// probe probes the engines of the zone while the node is its coordinator.
func (m *machine) probe(epoch int, missed map[string]int) {
	if m.epoch != epoch || !m.isUp {
		return
	}
	if state := m.node.State(nil); !m.isFrozen && state.IsCoordinator {
		for _, known := range state.Engines {
			for _, e := range m.world.engines {
				if e.id != known.ID || known.Zone != m.identity.Zone || known.IsUnlisted {
					continue
				}
				isResponding := e.isUp && !e.isUnresponsive
				if isResponding {
					missed[e.id] = 0
				} else {
					missed[e.id]++
				}
				if isUnresponsive := missed[e.id] >= 3; isUnresponsive != known.IsUnresponsive && (isUnresponsive || isResponding) {
					m.execute(m.node.Probed(m.clock(), known.ID, known.Start, isUnresponsive))
				}
			}
		}
	}
	m.world.after(500*ms, func() { m.probe(epoch, missed) })
}
