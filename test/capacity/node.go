package capacity

// Node without a process, and the accounting of its processor time and traffic.

import (
	"encoding/json"
	"fmt"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
	"dunlinloom/internal/server"
)

// traffic counts messages of one kind.
type traffic struct{ messages, bytes int64 }

// cost is the traffic and the processor time, in nanoseconds per part, of a node during the measurement.
type cost struct {
	sent, got map[string]traffic
	nanos     map[string]int64
}

func newCost() cost {
	return cost{map[string]traffic{}, map[string]traffic{}, map[string]int64{}}
}

// node runs the control plane of one node on virtual time, without a process, sockets or a disk.
type node struct {
	fleet        *Fleet
	identity     kernel.Identity
	region       int
	isController bool
	folder       *memoryFolder // nil for routers
	node         *control.Node
	store        *storage.Store
	epoch        int
	isUp         bool
	compiled     map[string]bool
	cost         cost
	applied      []appliedRevision
	replies      map[string]func(cluster.SubmitResponse)
	// The fields below are used by nodes whose publishing is measured.
	isPublishing bool
	state        *control.State
	tableBuilder server.TableBuilder
	dispatcher   *relay.Dispatcher
}

type appliedRevision struct {
	at       kernel.Micros
	revision uint64
}

// measure runs some work, and adds its processor time to the node's cost while the fleet is measured.
func (h *node) measure(part string, work func()) {
	if !h.fleet.isMeasured {
		work()
		return
	}
	begun := threadNanos()
	work()
	h.cost.nanos[part] += threadNanos() - begun
}

func (h *node) start() {
	f := h.fleet
	h.epoch++
	f.starts++
	h.isUp, h.compiled, h.state, h.tableBuilder = true, map[string]bool{}, nil, server.TableBuilder{Compiler: &f.compiler}
	journal := kernel.NewJournal(1)
	journal.Observe(func(entry kernel.Entry) {
		if entry.Subject == string(decision.Configuration) && entry.Decision == string(decision.Apply) {
			h.applied = append(h.applied, appliedRevision{f.now, entry.Revision})
		}
	})
	settings := control.NodeSettings{
		Identity: h.identity, IsRouter: !h.isController, IsController: h.isController, HasFolder: h.isController, Seeds: f.seeds,
		Start: f.starts, RandomSeed: f.random.Uint64(), Timing: cluster.DefaultTiming(), Journal: journal,
		CheckConfig: f.compiler.Check, IsCompiled: func(config []byte) bool { return h.compiled[string(config)] },
		FolderState: control.FolderState{Member: cluster.MemberID("none-" + h.identity.Address)},
	}
	if f.sizes.Rules == Deployment {
		settings.Timing = cluster.SparseTiming()
		settings.Timing.EngineHeartbeatTimeout = deploymentEngineTimeout
		settings.Voters, settings.ServeExtension, settings.AckRule = deploymentVoters, cluster.ServeWithoutLimit, control.Disseminated
		settings.IsAbortDisabled, settings.SubmitTimeout = true, deploymentSubmitTimeout
		settings.BootstrapRule, settings.IsBootstrap = control.BootstrapByAnnounce, h.epoch == 1
	}
	if h.isController {
		var err error
		h.store, settings.FolderState, err = control.OpenStore(h.folder, control.FolderSource{
			Fleet: "capacity", FreshID: func() string { return fmt.Sprintf("member-%016x", f.random.Uint64()) },
		})
		if err != nil {
			f.failed = fmt.Errorf("boot %s: %w", h.identity.Address, err)
			return
		}
	}
	h.node = control.NewNode(settings, f.now)
	epoch, tick := h.epoch, h.node.TickInterval()
	var again func()
	again = func() {
		if h.epoch == epoch && h.isUp {
			h.event(func() []commands.Command { return h.node.Tick(f.now) })
			f.after(tick+f.jitter(ms), again)
		}
	}
	f.after(f.jitter(tick), again)
}

func (h *node) stop() {
	h.isUp, h.node, h.state, h.isPublishing, h.dispatcher = false, nil, nil, false, nil
	h.epoch++
}

// after schedules an event, which is dropped if the node stops or restarts before.
func (h *node) after(span kernel.Micros, event func()) {
	epoch := h.epoch
	h.fleet.after(span, func() {
		if h.epoch == epoch && h.isUp {
			event()
		}
	})
}

// event runs control plane work, executes the commands it issues and publishes the state, as server.Runner does.
func (h *node) event(work func() []commands.Command) {
	var issued []commands.Command
	h.measure(Events, func() { issued = work() })
	for _, command := range issued {
		h.execute(command)
	}
	if h.isPublishing {
		h.measure(Publish, h.publish)
	}
}

func (h *node) publish() {
	h.state = h.node.State(h.state)
	routingTable, err := h.tableBuilder.RoutingTable(h.state)
	if err != nil {
		h.fleet.failed = fmt.Errorf("publish at %s: %w", h.identity.Address, err)
	}
	if routingTable != nil && h.dispatcher != nil {
		h.dispatcher.SetRoutingTable(routingTable)
	}
}

func (h *node) execute(command commands.Command) {
	f := h.fleet
	switch command := command.(type) {
	case control.Outgoing:
		h.send(command.Envelope)
	case commands.Save:
		var err error
		h.measure(Disk, func() { err = h.store.Save(command) })
		h.after(writeDelay, func() {
			h.event(func() []commands.Command { return h.node.Saved(f.now, command.Token, err) })
		})
	case commands.CompileConfig:
		config := string(command.Document.Config)
		if _, isKnown := f.compileNS[config]; !isKnown {
			begun := threadNanos()
			if _, err := fleetconfig.Read(command.Document.Config); err != nil {
				f.failed = fmt.Errorf("compile at %s: %w", h.identity.Address, err)
			}
			f.compileNS[config] = threadNanos() - begun
		}
		// Every real process compiles the configuration itself. Here it is compiled once, and every node is charged the same time.
		if f.isMeasured {
			h.cost.nanos[Compile] += f.compileNS[config]
		}
		// Virtual time must not depend on the speed of this machine, or a seed would not repeat its run.
		h.after(kernel.Micros(len(config)/compileBytesPerMicro), func() {
			h.compiled[config] = true
			h.event(func() []commands.Command { return h.node.ConfigCompiled(f.now, command.Document, nil) })
		})
	case commands.LoadConfig:
		// The document is nil if the store no longer has it.
		document, _ := h.store.ConfigAt(command.Config)
		h.after(writeDelay, func() {
			h.event(func() []commands.Command { return h.node.ConfigLoaded(f.now, command.To, command.Config, document) })
		})
	case commands.SaveHistory:
		outcome := h.store.SaveHistory(command.Documents)
		h.after(writeDelay, func() { h.event(func() []commands.Command { return h.node.HistoryStored(f.now, outcome) }) })
	case control.SaveSnapshot:
		var err error
		h.measure(Disk, func() { err = h.store.SaveSnapshot(command.Snapshot) })
		h.after(writeDelay, func() { h.event(func() []commands.Command { return h.node.SnapshotSaved(f.now, err) }) })
	case control.SaveEnds:
		var err error
		h.measure(Disk, func() { err = h.store.SaveEnds(command.Ends) })
		h.after(writeDelay, func() { h.event(func() []commands.Command { return h.node.EndsSaved(f.now, err) }) })
	case control.Reply:
		if onReply := h.replies[command.SubmitResponse.ID]; onReply != nil {
			delete(h.replies, command.SubmitResponse.ID)
			onReply(command.SubmitResponse)
		}
	}
}

// send delivers a message in its serialized form, so that nodes share no memory and both ends are charged for the
// encoding.
func (h *node) send(envelope wire.Envelope) {
	f := h.fleet
	to := f.byAddress[envelope.To]
	var content []byte
	var err error
	h.measure(Encode, func() { content, err = json.Marshal(envelope) })
	if err != nil {
		f.failed = fmt.Errorf("encode at %s: %w", h.identity.Address, err)
		return
	}
	kind := envelope.Message.Kind()
	if f.isMeasured {
		count(h.cost.sent, kind, len(content))
	}
	if to == nil || f.cutRegion >= 0 && (h.region == f.cutRegion) != (to.region == f.cutRegion) {
		return
	}
	f.after(f.networkDelay(h, to), func() {
		if !to.isUp {
			return
		}
		if f.isMeasured {
			count(to.cost.got, kind, len(content))
		}
		var arrived wire.Envelope
		to.measure(Decode, func() { err = json.Unmarshal(content, &arrived) })
		if err != nil {
			f.failed = fmt.Errorf("decode at %s: %w", to.identity.Address, err)
			return
		}
		to.event(func() []commands.Command { return to.node.Deliver(f.now, arrived) })
	})
}

func count(counts map[string]traffic, kind string, bytes int) {
	seen := counts[kind]
	counts[kind] = traffic{seen.messages + 1, seen.bytes + int64(bytes)}
}
