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

// machine is what a node of a catch-up run has: a link, a share of a core and a small disk.
type machine struct {
	bytesPerSecond float64
	cores          float64
	diskBytes      int
	diskFactor     float64 // a slow disk takes so many times as long
	bounds         storage.StoreBounds
}

func smallMachine() machine {
	return machine{bytesPerSecond: linkOf10Mbit, cores: 0.19, diskBytes: 64 << 20, diskFactor: 1, bounds: storage.StoreBounds{Revisions: 8 << 20, Snapshot: 4 << 20}}
}

// memoryDisk is a kernel.Folder of bounded size.
type memoryDisk struct {
	files    map[string][]byte
	capacity int
	used     int
	peak     int
}

var errNoRoom = errors.New("no space left")

func (d *memoryDisk) Put(name string, content []byte) error {
	// The new file stands beside the old one until it is renamed.
	if d.used+len(content) > d.capacity {
		return kernel.DiskError{Step: "write", Name: name, Cause: errNoRoom}
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

// connection is one connection between two nodes: what is sent on it arrives in order.
type connection struct {
	freeAt  kernel.Micros
	pending int
	bytes   int
}

// nodeResources is what a node of the run is made of.
type nodeResources struct {
	machine
	disk           *memoryDisk
	store          *storage.Store
	diskFreeAt     kernel.Micros
	stalledWrites  []func() // writes that a stalled disk holds; nil: it does not stall
	cpuFreeAt      kernel.Micros
	uplinkFreeAt   [2]kernel.Micros
	downlinkFreeAt [2]kernel.Micros
	connections    map[string]*connection
	received       int // bytes of all messages that arrived
	bulkReceived   int // of those that a lane of their own would carry
	maxQueued      int // the most bytes that waited to be sent to one node
	dropped        int // messages that did not fit into a queue
}

// throttledFleet is a fleet whose links, cores and disks are as slow as told, over real stores.
type throttledFleet struct {
	*fleet
	resources              map[*fleetNode]*nodeResources
	hasBulkConnections     bool // large messages go by a connection of their own
	documentsWithoutConfig map[*cluster.Document]int
	padding                string
	changes                int
	rejected               int
	changeInterval         kernel.Micros
	areChangesDone         bool
	isPaused               bool
	leaderChanges          int // changes of the leading member
	lastLeader             *fleetNode
}

func newThrottledFleet(c *qt.C, seed uint64, configBytes int, every kernel.Micros, adapt func(index int) machine) *throttledFleet {
	s := &throttledFleet{fleet: newFleet(c, seed, 4, 6, firstHaveFolders(4)), resources: map[*fleetNode]*nodeResources{}, hasBulkConnections: true, documentsWithoutConfig: map[*cluster.Document]int{}, changeInterval: every}
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

// openStore starts a node on what its disk holds.
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

// sizeOf is how many bytes a message takes on the wire: compression takes back what the
// configuration's encoding adds, as if it could not be compressed itself.
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
	case commands.LoadConfig:
		s.write(n, 0, func() []commands.Command {
			// Without a document where there is none any more.
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

// write takes its turn at the disk.
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
	span := syncsPerWrite*syncSpan + kernel.Micros(float64(bytes)/diskMBps)
	e.diskFreeAt = max(e.diskFreeAt, s.now) + kernel.Micros(float64(span)*e.diskFactor)
	s.schedule(e.diskFreeAt-s.now, func() {
		if n.epoch == epoch {
			n.do(done)
		}
	})
}

// stallDisk has a node's disk answer nothing for a while.
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

// fillDisk has a node's disk refuse every write for a while.
func (s *throttledFleet) fillDisk(n *fleetNode, span kernel.Micros) {
	disk := s.resources[n].disk
	limit := disk.capacity
	disk.capacity = 0
	s.schedule(span, func() { disk.capacity = limit })
}

// transmit plays a message's way: the sender's core, both links, the receiver's core.
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
	if l.pending >= channelQueue {
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

// bootstrapAndStabilize founds the fleet and lets it settle.
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

// submitChanges hands in one change after another, each so long after the one before at the least.
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

// awaitChanges passes time until so many changes have been made.
func (s *throttledFleet) awaitChanges(count int, most kernel.Micros) {
	s.c.Helper()
	s.await(fmt.Sprintf("%d changes", count), most, func() bool { return s.changes >= count || s.areChangesDone })
}

// isHealthy tells that it holds the newest document and all of the past that it has room for.
func (s *throttledFleet) isHealthy(n *fleetNode) bool {
	leaderNode := s.leader()
	return leaderNode != nil && n.node.core.synced == leaderNode.node.core.committed.Position() && !n.node.core.isHistoryIncomplete()
}

// watch keeps the most writes that any core had to do at once.
func (s *throttledFleet) watchSaves(most *int) {
	for _, n := range s.nodes {
		if n.isUp && n.node.core != nil {
			*most = max(*most, len(n.node.core.saves))
		}
	}
	s.schedule(10*ms, func() { s.watchSaves(most) })
}
