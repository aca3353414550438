package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// machine describes the machine of a node in a catch-up run: its link, its processor (cores may be a fraction of one
// core), its small disk in bytes, and the bounds of its store.
type machine struct {
	bytesPerSecond float64
	cores          float64
	diskBytes      int
	diskFactor     float64 // factor by which writes take longer than on a usual disk
	bounds         storage.StoreBounds
}

func smallMachine() machine {
	return machine{bytesPerSecond: linkOf10Mbit, cores: 0.19, diskBytes: 64 << 20, diskFactor: 1, bounds: storage.StoreBounds{Revisions: 8 << 20, Snapshot: 4 << 20}}
}

// memoryDisk is a kernel.Folder of bounded size in memory.
type memoryDisk struct {
	files    map[string][]byte
	capacity int
	used     int
	peak     int
}

var errNoRoom = errors.New("no space left")

func (d *memoryDisk) Put(name string, content []byte) error {
	// The new file exists beside the old one until it is renamed.
	if d.used+len(content) > d.capacity {
		return kernel.DiskError{Op: "write", Name: name, Cause: errNoRoom}
	}
	d.peak = max(d.peak, d.used+len(content))
	d.used += len(content) - len(d.files[name])
	d.files[name] = content
	return nil
}

func (d *memoryDisk) Get(name string) ([]byte, error) {
	content, isThere := d.files[name]
	if !isThere {
		return nil, kernel.MissingFileError{Name: name}
	}
	return content, nil
}

func (d *memoryDisk) List(prefix string) ([]string, error) {
	found := []string{}
	for name := range d.files {
		if strings.HasPrefix(name, prefix) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found, nil
}

func (d *memoryDisk) Remove(name string) error {
	d.used -= len(d.files[name])
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) Rename(from, to string) error {
	content, isThere := d.files[from]
	if !isThere {
		return kernel.MissingFileError{Name: from}
	}
	d.used -= len(d.files[to])
	delete(d.files, from)
	d.files[to] = content
	return nil
}

// connection is one connection between two nodes. It delivers messages in order.
type connection struct {
	freeAt  kernel.Micros
	pending int
	bytes   int
}

// nodeResources is the machine, disk, store and connections of one node, with what they have done so far.
type nodeResources struct {
	machine
	disk           *memoryDisk
	store          *storage.Store
	diskFreeAt     kernel.Micros
	stalledWrites  []func() // writes that wait for a stalled disk; nil: the disk is not stalled
	cpuFreeAt      kernel.Micros
	uplinkFreeAt   [2]kernel.Micros
	downlinkFreeAt [2]kernel.Micros
	connections    map[string]*connection
	received       int // bytes of all messages that arrived
	bulkReceived   int // bytes of the messages that arrived over a bulk connection, or are large enough for one
	maxQueued      int // the most bytes that were queued for one node
	dropped        int // messages dropped because a queue was full
}

// throttledFleet is a fleet with limited links, cores and disks, whose nodes use real stores.
type throttledFleet struct {
	*fleet
	resources              map[*fleetNode]*nodeResources
	hasBulkConnections     bool // large messages are sent over a connection of their own
	documentsWithoutConfig map[*cluster.Document]int
	padding                string
	changes                int
	rejected               int
	changeInterval         kernel.Micros
	areChangesDone         bool
	isPaused               bool
	leaderChanges          int // number of times that another node became the leader, the first one included
	lastLeader             *fleetNode
}

func newThrottledFleet(c *qt.C, seed uint64, configBytes int, changeInterval kernel.Micros, adapt func(index int) machine) *throttledFleet {
	s := &throttledFleet{fleet: newFleet(c, seed, 4, 6, firstHaveFolders(4)), resources: map[*fleetNode]*nodeResources{}, hasBulkConnections: true, documentsWithoutConfig: map[*cluster.Document]int{}, changeInterval: changeInterval}
	s.padding = strings.Repeat("x", max(configBytes-40, 0))
	for i, n := range s.nodes {
		m := adapt(i)
		s.resources[n] = &nodeResources{machine: m, disk: &memoryDisk{files: map[string][]byte{}, capacity: m.diskBytes}, connections: map[string]*connection{}}
	}
	s.executor = s.execute
	s.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.VersionOf = func(config []byte) (version uint64, err error) {
			_, err = fmt.Sscanf(string(config[:min(len(config), 40)]), `{"ver":%d,`, &version)
			return version, err
		}
		settings.CheckConfig = func([]byte) error { return nil }
		n := s.byAddress(settings.Identity.Address)
		if n.hasFolder {
			s.openStore(n, settings)
		}
	}
	return s
}

// openStore opens the store on a node's disk and applies what it holds to the settings of a starting process.
func (s *throttledFleet) openStore(n *fleetNode, settings *NodeSettings) {
	e := s.resources[n]
	var err error
	s.lastStart++
	fresh := fmt.Sprintf("m-%d", s.lastStart)
	e.store, settings.HardState, settings.Document, err = storage.OpenStore(e.disk, "f", func() string { return fresh })
	s.c.Assert(err, qt.IsNil)
	e.store.SetBounds(e.bounds)
	settings.Member, settings.StoredConfigs, settings.Acknowledged = e.store.Member(), e.store.ConfigRevisions(), e.store.Acknowledged()
	n.member = settings.Member
	e.connections, e.diskFreeAt, e.cpuFreeAt, e.uplinkFreeAt, e.downlinkFreeAt = map[string]*connection{}, 0, 0, [2]kernel.Micros{}, [2]kernel.Micros{}
	for _, other := range s.resources {
		delete(other.connections, n.identity.Address+"/0")
		delete(other.connections, n.identity.Address+"/1")
	}
}

// sizeOf returns the assumed size of a message on the wire, in bytes. A configuration counts with its uncompressed
// size, as if compression only made up for the overhead of its encoding. The rest of a document counts with half the
// size of its JSON.
func (s *throttledFleet) sizeOf(m wire.Message) int {
	size := 300
	for _, document := range documentsOf(m) {
		if document == nil {
			continue
		}
		size += len(document.Config)
		if s.documentsWithoutConfig[document] == 0 {
			content, err := json.Marshal(document.WithoutConfig())
			s.c.Assert(err, qt.IsNil)
			s.documentsWithoutConfig[document] = len(content) / 2
		}
		size += s.documentsWithoutConfig[document]
	}
	if m.Submit != nil {
		size += len(m.Submit.Config)
	}
	return size
}

func documentsOf(m wire.Message) []*cluster.Document {
	found := []*cluster.Document{}
	switch {
	case m.Heartbeat != nil:
		found = append(found, m.Heartbeat.Document)
	case m.LeaseGrantBatch != nil:
		found = append(found, m.LeaseGrantBatch.Document)
	case m.LeaseGrant != nil:
		found = append(found, m.LeaseGrant.Document)
	case m.FetchConfigResponse != nil:
		found = append(found, m.FetchConfigResponse.Document)
	case m.ReadResponse != nil:
		found = append(found, m.ReadResponse.Document)
	case m.BootstrapCommit != nil:
		found = append(found, m.BootstrapCommit.Document)
	case m.AttestResponse != nil:
		found = append(found, m.AttestResponse.Document)
	}
	return found
}

func (s *throttledFleet) execute(n *fleetNode, command commands.Command) bool {
	switch command := command.(type) {
	case Outgoing:
		s.transmit(n, command.Envelope)
	case commands.Save:
		bytes := 0
		if command.Document != nil {
			bytes = len(command.Document.Config)*4/3 + 60<<10
		}
		s.write(n, bytes, func() []commands.Command {
			return n.node.Saved(s.now, command.Token, s.resources[n].store.Save(command))
		})
		if command.Document != nil {
			s.bootstrapped[command.Document.ClusterID] = true
		}
	case SaveSnapshot:
		s.write(n, 100<<10, func() []commands.Command {
			return n.node.SnapshotSaved(s.now, s.resources[n].store.SaveSnapshot(command.Snapshot))
		})
	case SaveEnds:
		s.write(n, 0, func() []commands.Command {
			return n.node.EndsSaved(s.now, s.resources[n].store.SaveEnds(command.Ends))
		})
	case commands.LoadConfig:
		s.write(n, 0, func() []commands.Command {
			// The document is nil if the store no longer holds it.
			document, _ := s.resources[n].store.ConfigAt(command.Config)
			return n.node.ConfigLoaded(s.now, command.To, command.Config, document)
		})
	case commands.SaveHistory:
		bytes := 0
		for _, document := range command.Documents {
			bytes += len(document.Config)*4/3 + 60<<10
		}
		s.write(n, bytes, func() []commands.Command {
			return n.node.HistoryStored(s.now, s.resources[n].store.SaveHistory(command.Documents))
		})
	default:
		return false
	}
	return true
}

// write queues a write at the disk and runs done when it is complete.
func (s *throttledFleet) write(n *fleetNode, bytes int, done func() []commands.Command) {
	e, epoch := s.resources[n], n.epoch
	if e.stalledWrites != nil {
		e.stalledWrites = append(e.stalledWrites, func() {
			if n.epoch == epoch {
				s.write(n, bytes, done)
			}
		})
		return
	}
	span := syncsPerWrite*syncTime + kernel.Micros(float64(bytes)/diskMBps)
	e.diskFreeAt = max(e.diskFreeAt, s.now) + kernel.Micros(float64(span)*e.diskFactor)
	s.schedule(e.diskFreeAt-s.now, func() {
		if n.epoch == epoch {
			n.do(done)
		}
	})
}

// stallDisk stalls a node's disk for a span. Writes that are issued during the span begin when it is over.
func (s *throttledFleet) stallDisk(n *fleetNode, span kernel.Micros) {
	e := s.resources[n]
	e.stalledWrites = []func(){}
	s.schedule(span, func() {
		pending := e.stalledWrites
		e.stalledWrites = nil
		for _, write := range pending {
			write()
		}
	})
}

// fillDisk makes a node's disk reject every write for a span.
func (s *throttledFleet) fillDisk(n *fleetNode, span kernel.Micros) {
	disk := s.resources[n].disk
	limit := disk.capacity
	disk.capacity = 0
	s.schedule(span, func() { disk.capacity = limit })
}

// transmit sends a message through the sender's core, both links and the receiver's core.
func (s *throttledFleet) transmit(from *fleetNode, envelope wire.Envelope) {
	s.sentMessages[envelope.Message.Kind()]++
	to := s.byAddress(envelope.To)
	if to == nil || !to.isUp || from.cut[envelope.To] || to.cut[from.identity.Address] {
		return
	}
	size := s.sizeOf(envelope.Message)
	kind := 0
	if s.hasBulkConnections && size >= bulkThreshold {
		kind = 1
	}
	key := fmt.Sprint(envelope.To, "/", kind)
	sender, receiver := s.resources[from], s.resources[to]
	l := sender.connections[key]
	if l == nil {
		l = &connection{}
		sender.connections[key] = l
	}
	if l.pending >= channelQueueLength {
		sender.dropped++
		return
	}
	l.pending++
	l.bytes += size
	sender.maxQueued = max(sender.maxQueued, l.bytes)
	sender.cpuFreeAt = max(sender.cpuFreeAt, s.now) + kernel.Micros(float64(encodeTimePerMB)*float64(size)/(1<<20)/sender.cores)
	begin := max(s.now, l.freeAt, sender.uplinkFreeAt[kind], receiver.downlinkFreeAt[kind])
	if size >= bulkThreshold {
		begin = max(begin, sender.cpuFreeAt)
	}
	rate := min(sender.bytesPerSecond, receiver.bytesPerSecond)
	end := begin + kernel.Micros(float64(size)/rate*1e6)
	l.freeAt, sender.uplinkFreeAt[kind], receiver.downlinkFreeAt[kind] = end, end, end
	arrival := end + ms + kernel.Micros(s.random.Int64N(int64(ms)))
	if size >= bulkThreshold {
		receiver.cpuFreeAt = max(receiver.cpuFreeAt, arrival) + kernel.Micros(float64(decodeTimePerMB)*float64(size)/(1<<20)/receiver.cores)
		arrival = receiver.cpuFreeAt
	}
	fromEpoch, toEpoch := from.epoch, to.epoch
	s.schedule(arrival-s.now, func() {
		l.pending--
		l.bytes -= size
		if from.epoch != fromEpoch || to.epoch != toEpoch || !to.isUp || from.cut[envelope.To] || to.cut[from.identity.Address] {
			return
		}
		receiver.received += size
		if kind == 1 || size >= bulkThreshold {
			receiver.bulkReceived += size
		}
		to.do(func() []commands.Command { return to.node.Deliver(s.now, envelope) })
	})
}

// bootstrapAndStabilize starts all nodes and waits until the core of four voters is stable.
func (s *throttledFleet) bootstrapAndStabilize() {
	s.bootAll(300 * ms)
	s.awaitStable(10 * kernel.Second)
	s.awaitVoters(10*kernel.Second, s.nodes[:4]...)
	s.schedule(0, s.countLeaderChanges)
}

func (s *throttledFleet) countLeaderChanges() {
	if leader := s.leader(); leader != nil && leader != s.lastLeader {
		s.lastLeader = leader
		s.leaderChanges++
	}
	s.schedule(50*ms, s.countLeaderChanges)
}

// submitChanges submits changes one after another, at least changeInterval apart, until there have been most of them or
// areChangesDone is set.
func (s *throttledFleet) submitChanges(most int) {
	if s.changes >= most || s.areChangesDone {
		s.areChangesDone = true
		return
	}
	if s.isPaused {
		s.schedule(10*ms, func() { s.submitChanges(most) })
		return
	}
	began := s.now
	s.changes++
	number := uint64(s.changes)
	id := fmt.Sprintf("s%d", number)
	config := fmt.Appendf(nil, `{"ver":%d,"more":%q}`, number, s.padding)
	var attempt func()
	attempt = func() {
		if reply, isKnown := s.replies[id]; isKnown && reply.Outcome == cluster.Accepted {
			delete(s.replies, id)
			s.schedule(max(s.changeInterval-(s.now-began), 0), func() { s.submitChanges(most) })
			return
		}
		if s.areChangesDone {
			return
		}
		if leaderNode := s.leader(); leaderNode != nil && leaderNode.node.pendingSubmissions[id] == nil {
			if reply, isKnown := s.replies[id]; isKnown && reply.Outcome == cluster.Rejected {
				s.rejected++
				s.c.Fatalf("%s: %+v", id, reply)
			}
			leaderNode.do(func() []commands.Command {
				return leaderNode.node.Submit(s.now, &cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: config})
			})
		}
		s.schedule(10*ms, attempt)
	}
	attempt()
}

// awaitChanges waits until count changes have been submitted since the start of the run, or submitChanges has ended.
func (s *throttledFleet) awaitChanges(count int, most kernel.Micros) {
	s.c.Helper()
	s.await(fmt.Sprintf("%d changes", count), most, func() bool { return s.changes >= count || s.areChangesDone })
}

// isHealthy reports whether a node has synced the newest document and as much history as it has room for.
func (s *throttledFleet) isHealthy(n *fleetNode) bool {
	leaderNode := s.leader()
	return leaderNode != nil && n.node.core.synced == leaderNode.node.core.committed.Position() && !n.node.core.isHistoryIncomplete()
}

// watchSaves records in most the largest number of writes that any core had pending at once, sampled every 10 ms.
func (s *throttledFleet) watchSaves(most *int) {
	for _, n := range s.nodes {
		if n.isUp && n.node.core != nil {
			*most = max(*most, len(n.node.core.saves))
		}
	}
	s.schedule(10*ms, func() { s.watchSaves(most) })
}
