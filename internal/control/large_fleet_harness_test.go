package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Costs of a message: its processor time on a whole core, as measured for the codec and the connections, and its size
// on a link.
const (
	receiveSpan          = kernel.Micros(100)
	receiveSpanPerKB     = kernel.Micros(30) // decoding
	sendSpan             = kernel.Micros(50)
	sendSpanPerKB        = kernel.Micros(15) // encoding, and compression of messages of compressionThreshold bytes or more
	compressionThreshold = 16 << 10
	compressionRatio     = 6 // size of a message divided by its compressed size
	peerQueueLength      = 512
)

// machineLoad is a node's processor and link, with the events that wait for the processor.
type machineLoad struct {
	cores           float64
	bytesPerSecond  float64
	processorFreeAt kernel.Micros
	linkFreeAt      kernel.Micros
	epoch           int
	isRunning       bool
	queues          [2][]queuedEvent // of messages and of requests, served alternately
	lastQueue       int
	inFlight        map[string]int // number of messages on the way, by receiver
	dropped         int
	processorTime   map[string]kernel.Micros // by kind of message
	sentBytes       map[string]int           // by kind of message
}

// queuedEvent waits for the processor and takes it for a span, measured on a whole core.
type queuedEvent struct {
	kind string
	span kernel.Micros
	run  func() []commands.Command
}

const (
	messageQueue = iota
	requestQueue
)

// largeFleet is a fleet in which each node has a share of a core and a link, with engines that register themselves.
type largeFleet struct {
	*fleet
	loads     map[*fleetNode]*machineLoad
	byName    map[string]*fleetNode
	engines   int
	nextToken uint64
	refused   int // heartbeats of engines that got an error or no answer
}

const (
	largeFleetZones         = 6
	engineHeartbeatInterval = 1200 * ms
	engineRetryInterval     = 100 * ms
	largeFleetVersion       = 39
)

// newLargeFleet creates a fleet whose core members, one in each zone, have an agreed document on their disks; no
// process runs yet. The other nodes have neither a disk nor any state of an earlier incarnation.
func newLargeFleet(c *qt.C, seed uint64, nodes, engines int) *largeFleet {
	f := &largeFleet{
		fleet: newFleet(c, seed, largeFleetZones, nodes, firstHaveFolders(largeFleetZones)),
		loads: map[*fleetNode]*machineLoad{}, byName: map[string]*fleetNode{}, engines: engines,
	}
	for _, n := range f.nodes {
		f.byName[n.identity.Address] = n
		if f.loads[n] = newMachineLoad(0.192, 10); n.hasFolder {
			f.loads[n] = newMachineLoad(0.512, 100)
		}
	}
	f.writeInitialState()
	f.processor, f.executor = f.enqueueRequest, f.execute
	return f
}

func newMachineLoad(cores, megabits float64) *machineLoad {
	return &machineLoad{
		cores: cores, bytesPerSecond: megabits * 1e6 / 8, inFlight: map[string]int{},
		processorTime: map[string]kernel.Micros{}, sentBytes: map[string]int{},
	}
}

// writeInitialState lets the members agree on a configuration, and writes to their disks what they would hold if
// all nodes were registered.
func (f *largeFleet) writeInitialState() {
	members := f.nodes[:largeFleetZones]
	for _, n := range members {
		n.boot()
	}
	f.await("a leader", 10*kernel.Second, func() bool { return f.leader() != nil })
	f.advance(6 * kernel.Second)
	f.acknowledge("newest", 0, configOf(largeFleetVersion, strings.Repeat("route ", 1000)), 4*kernel.Second, members...)
	f.advance(kernel.Second)
	document := *f.leader().node.core.committed
	document.Routers, document.Coordinators = nil, map[string]string{}
	for i, n := range f.nodes {
		document.Routers = append(document.Routers, n.identity.Address)
		if i >= largeFleetZones && document.Coordinators[n.identity.Zone] == "" {
			document.Coordinators[n.identity.Zone] = n.identity.Address
		}
	}
	document.Routers = cluster.Sorted(document.Routers)
	document.PriorRouters = document.Routers
	f.loseAllPower()
	for _, n := range members {
		n.document, n.history[document.ConfigRevision] = &document, &document
		n.snapshot = f.snapshotOf(&document)
	}
	f.sentMessages = map[string]int{}
}

func (f *largeFleet) snapshotOf(document *cluster.Document) []byte {
	snapshot := storage.Snapshot{Format: storage.SnapshotFormat, Fleet: "f", Document: document}
	for i := range f.engines {
		snapshot.Engines = append(snapshot.Engines, f.engineRecord(i, 1))
	}
	for _, n := range f.nodes[:min(maxSnapshotNodes, len(f.nodes))] {
		snapshot.Nodes = append(snapshot.Nodes, n.identity.Address)
	}
	content, err := json.Marshal(snapshot)
	f.c.Assert(err, qt.IsNil)
	return content
}

func (f *largeFleet) engineRecord(i int, seq uint64) registry.EngineRecord {
	record := engineAt(fmt.Sprintf("engine-of-a-model-%d-%x", i, i*7919*104729), fmt.Sprintf("z%d", i%largeFleetZones+1), seq)
	record.Address, record.Start, record.AnnouncementSeq = fmt.Sprintf("10.9.%d.%d:8000", i/200, i%200), 1, seq
	return record
}

// restart starts all nodes within a span, and makes each engine send heartbeats to random nodes.
func (f *largeFleet) restart(span kernel.Micros) {
	f.bootAll(span)
	for i := range f.engines {
		f.schedule(kernel.Micros(f.random.Int64N(int64(engineHeartbeatInterval))), func() { f.heartbeat(i, 2) })
	}
}

// heartbeat makes an engine register at a random node, repeatedly. If that node is down, it soon tries another one.
func (f *largeFleet) heartbeat(engine int, seq uint64) {
	f.nextToken++
	token, at := f.nextToken, f.nodes[f.random.IntN(len(f.nodes))]
	if !at.isUp {
		f.schedule(engineRetryInterval, func() { f.heartbeat(engine, seq) })
		return
	}
	f.register(at, token, f.engineRecord(engine, seq))
	f.schedule(engineHeartbeatInterval, func() {
		answer, isAnswered := f.registerReplies[token]
		delete(f.registerReplies, token)
		if !isAnswered || answer.Err != nil {
			f.refused++
		}
		f.heartbeat(engine, seq+1)
	})
}

// enqueueRequest queues an event that is not a message for the processor.
func (f *largeFleet) enqueueRequest(n *fleetNode, event func() []commands.Command) {
	f.enqueue(n, requestQueue, queuedEvent{"request", receiveSpan, event})
}

func (f *largeFleet) enqueue(n *fleetNode, queue int, event queuedEvent) {
	load := f.loads[n]
	if load.epoch != n.epoch {
		load.epoch, load.queues, load.isRunning = n.epoch, [2][]queuedEvent{}, false
		load.processorFreeAt, load.linkFreeAt, load.inFlight = f.now, f.now, map[string]int{}
	}
	load.queues[queue] = append(load.queues[queue], event)
	if !load.isRunning {
		load.isRunning = true
		f.runNext(n, n.epoch)
	}
}

// runNext runs the next event once the processor is free.
func (f *largeFleet) runNext(n *fleetNode, epoch int) {
	load := f.loads[n]
	if n.epoch != epoch || load.epoch != epoch {
		return
	}
	if wait := load.processorFreeAt - f.now; wait > 0 {
		f.schedule(wait, func() { f.runNext(n, epoch) })
		return
	}
	load.lastQueue = 1 - load.lastQueue
	if len(load.queues[load.lastQueue]) == 0 {
		load.lastQueue = 1 - load.lastQueue
	}
	waiting := load.queues[load.lastQueue]
	if len(waiting) == 0 {
		load.isRunning = false
		return
	}
	event := waiting[0]
	load.queues[load.lastQueue] = waiting[1:]
	load.spend(f.now, "receive "+event.kind, event.span)
	f.schedule(load.processorFreeAt-f.now, func() {
		if n.epoch != epoch || !n.isUp {
			return
		}
		n.doNow(event.run)
		f.runNext(n, epoch)
	})
}

// spend occupies the processor for a span, measured on a whole core.
func (l *machineLoad) spend(now kernel.Micros, kind string, span kernel.Micros) {
	taken := kernel.Micros(float64(span) / l.cores)
	l.processorFreeAt = max(l.processorFreeAt, now) + taken
	l.processorTime[kind] += taken
}

func (f *largeFleet) execute(n *fleetNode, command commands.Command) bool {
	outgoing, isOutgoing := command.(Outgoing)
	if isOutgoing {
		f.transmit(n, outgoing.Envelope)
	}
	return isOutgoing
}

// transmit sends a message through the sender's processor, both links and the receiver's processor.
func (f *largeFleet) transmit(from *fleetNode, envelope wire.Envelope) {
	kind := envelope.Message.Kind()
	f.sentMessages[kind]++
	to := f.byName[envelope.To]
	if to == nil || !to.isUp {
		return
	}
	sender, receiver := f.loads[from], f.loads[to]
	if sender.inFlight[envelope.To] >= peerQueueLength {
		sender.dropped++
		return
	}
	sender.inFlight[envelope.To]++
	content, err := json.Marshal(envelope)
	f.c.Assert(err, qt.IsNil)
	kilobytes, size := kernel.Micros(len(content)>>10), len(content)
	if size >= compressionThreshold {
		size /= compressionRatio
	}
	sender.spend(f.now, "send "+kind, sendSpan+kilobytes*sendSpanPerKB)
	sender.sentBytes[kind] += size
	sender.linkFreeAt = max(sender.linkFreeAt, sender.processorFreeAt) + kernel.Micros(float64(size)/sender.bytesPerSecond*1e6)
	fromEpoch, toEpoch := from.epoch, to.epoch
	f.schedule(sender.linkFreeAt-f.now, func() {
		if from.epoch == fromEpoch {
			sender.inFlight[envelope.To]--
		}
		if to.epoch != toEpoch || !to.isUp {
			return
		}
		receiver.linkFreeAt = max(receiver.linkFreeAt, f.now) + kernel.Micros(float64(size)/receiver.bytesPerSecond*1e6)
		f.schedule(receiver.linkFreeAt-f.now+ms, func() {
			if to.epoch != toEpoch || !to.isUp {
				return
			}
			f.enqueue(to, messageQueue, queuedEvent{kind, receiveSpan + kilobytes*receiveSpanPerKB, func() []commands.Command {
				return to.node.Deliver(f.now, envelope)
			}})
		})
	})
}

// fractionOf returns the fraction of the nodes that run and meet a condition.
func (f *largeFleet) fractionOf(isMet func(n *fleetNode) bool) float64 {
	count := 0
	for _, n := range f.nodes {
		if n.isUp && isMet(n) {
			count++
		}
	}
	return float64(count) / float64(len(f.nodes))
}

// isServing reports whether a node has the newest acknowledged configuration and at least nine in ten engines.
func (f *largeFleet) isServing(n *fleetNode) bool {
	if n.inForce() == nil || n.inForce().ConfigVersion < largeFleetVersion {
		return false
	}
	return len(n.node.directory.Engines())*10 >= f.engines*9
}

// logSpent logs which kinds of messages took the most processor time of some nodes.
func (f *largeFleet) logSpent(what string, nodes []*fleetNode, since kernel.Micros) {
	processorTime, bytes := map[string]kernel.Micros{}, map[string]int{}
	total := kernel.Micros(0)
	for _, n := range nodes {
		for kind, span := range f.loads[n].processorTime {
			processorTime[kind] += span
			total += span
		}
		for kind, count := range f.loads[n].sentBytes {
			bytes[kind] += count
		}
	}
	kinds := slices.SortedFunc(maps.Keys(processorTime), func(a, b string) int { return int(processorTime[b] - processorTime[a]) })
	f.c.Logf("%s: %d %% busy", what, total*100/kernel.Micros(len(nodes))/max(f.now-since, 1))
	for _, kind := range kinds[:min(8, len(kinds))] {
		f.c.Logf("   %s: %d %%, %d KB sent", kind, processorTime[kind]*100/kernel.Micros(len(nodes))/max(f.now-since, 1), bytes[strings.TrimPrefix(kind, "send ")]>>10)
	}
}
