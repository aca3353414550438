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
	files map[string][]byte
	most  int
	used  int
	peak  int
}

var errNoRoom = errors.New("no space left")

func (d *memoryDisk) Put(name string, content []byte) error {
	// The new file stands beside the old one until it is renamed.
	if d.used+len(content) > d.most {
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

// lane is one connection between two nodes: what is sent on it arrives in order.
type lane struct {
	freeAt  kernel.Micros
	pending int
	bytes   int
}

// equipment is what a node of the run is made of.
type equipment struct {
	machine
	disk           *memoryDisk
	store          *storage.Store
	diskFree       kernel.Micros
	stalled        []func() // writes that a stalled disk holds; nil: it does not stall
	cpuFree        kernel.Micros
	upFree         [2]kernel.Micros
	downFree       [2]kernel.Micros
	lanes          map[string]*lane
	received       int // bytes of all messages that arrived
	largeDocuments int // of those that a lane of their own would carry
	queued         int // the most bytes that waited to be sent to one node
	lost           int // messages that did not fit into a queue
}

// storm is a fleet whose links, cores and disks are as slow as told, over real stores.
type storm struct {
	*fleet
	has                    map[*fleetNode]*equipment
	hasLanes               bool // large messages go by a connection of their own
	documentsWithoutConfig map[*cluster.Document]int
	padding                string
	changes                int
	rejected               int
	every                  kernel.Micros
	isOver                 bool
	isPaused               bool
	leaderChanges          int // changes of the leading member
	lastLeader             *fleetNode
}

func newStorm(c *qt.C, seed uint64, configBytes int, every kernel.Micros, adapt func(index int) machine) *storm {
	s := &storm{fleet: newFleet(c, seed, 4, 6, firstHaveFolders(4)), has: map[*fleetNode]*equipment{}, hasLanes: true, documentsWithoutConfig: map[*cluster.Document]int{}, every: every}
	s.padding = strings.Repeat("x", max(configBytes-40, 0))
	for i, n := range s.nodes {
		m := adapt(i)
		s.has[n] = &equipment{machine: m, disk: &memoryDisk{files: map[string][]byte{}, most: m.diskBytes}, lanes: map[string]*lane{}}
	}
	s.carrier = s.carryOut
	s.adapt = func(settings *NodeSettings) {
		platformLike(settings)
		settings.VersionOf = func(config []byte) (version uint64, err error) {
			_, err = fmt.Sscanf(string(config[:min(len(config), 40)]), `{"ver":%d,`, &version)
			return version, err
		}
		settings.CheckConfig = func([]byte) error { return nil }
		n := s.byAddress(settings.Identity.Address)
		if n.hasFolder {
			s.open(n, settings)
		}
	}
	return s
}

// open starts a node on what its disk holds.
func (s *storm) open(n *fleetNode, settings *NodeSettings) {
	e := s.has[n]
	var err error
	s.start++
	fresh := fmt.Sprintf("m-%d", s.start)
	e.store, settings.HardState, settings.Document, err = storage.OpenStore(e.disk, "f", func() string { return fresh })
	s.c.Assert(err, qt.IsNil)
	e.store.SetBounds(e.bounds)
	settings.Member, settings.StoredConfigs, settings.Acknowledged = e.store.Member(), e.store.ConfigRevisions(), e.store.Acknowledged()
	n.member = settings.Member
	e.lanes, e.diskFree, e.cpuFree, e.upFree, e.downFree = map[string]*lane{}, 0, 0, [2]kernel.Micros{}, [2]kernel.Micros{}
	for _, other := range s.has {
		delete(other.lanes, n.identity.Address+"/0")
		delete(other.lanes, n.identity.Address+"/1")
	}
}

// sizeOf is how many bytes a message takes on the wire: compression takes back what the
// configuration's encoding adds, as if it could not be compressed itself.
func (s *storm) sizeOf(m wire.Message) int {
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

func (s *storm) carryOut(n *fleetNode, command commands.Command) bool {
	switch command := command.(type) {
	case Outgoing:
		s.transmit(n, command.Envelope)
	case commands.Save:
		bytes := 0
		if command.Document != nil {
			bytes = len(command.Document.Config)*4/3 + 60<<10
		}
		s.write(n, bytes, func() []commands.Command {
			return n.node.Saved(s.now, command.Token, s.has[n].store.Save(command))
		})
		if command.Document != nil {
			s.bootstrapped[command.Document.ClusterID] = true
		}
	case SaveSnapshot:
		s.write(n, 100<<10, func() []commands.Command {
			return n.node.SnapshotSaved(s.now, s.has[n].store.SaveSnapshot(command.Snapshot))
		})
	case commands.LoadConfig:
		s.write(n, 0, func() []commands.Command {
			// Without a document where there is none any more.
			document, _ := s.has[n].store.ConfigAt(command.Config)
			return n.node.ConfigLoaded(s.now, command.To, command.Config, document)
		})
	case commands.SaveHistory:
		bytes := 0
		for _, document := range command.Documents {
			bytes += len(document.Config)*4/3 + 60<<10
		}
		s.write(n, bytes, func() []commands.Command {
			return n.node.HistoryStored(s.now, s.has[n].store.SaveHistory(command.Documents))
		})
	default:
		return false
	}
	return true
}

// write takes its turn at the disk.
func (s *storm) write(n *fleetNode, bytes int, done func() []commands.Command) {
	e, epoch := s.has[n], n.epoch
	if e.stalled != nil {
		e.stalled = append(e.stalled, func() {
			if n.epoch == epoch {
				s.write(n, bytes, done)
			}
		})
		return
	}
	span := syncsOfWrite*syncSpan + kernel.Micros(float64(bytes)/diskMBps)
	e.diskFree = max(e.diskFree, s.now) + kernel.Micros(float64(span)*e.diskFactor)
	s.in(e.diskFree-s.now, func() {
		if n.epoch == epoch {
			n.do(done)
		}
	})
}

// stall has a node's disk answer nothing for a while.
func (s *storm) stall(n *fleetNode, span kernel.Micros) {
	e := s.has[n]
	e.stalled = []func(){}
	s.in(span, func() {
		pending := e.stalled
		e.stalled = nil
		for _, write := range pending {
			write()
		}
	})
}

// fill has a node's disk refuse every write for a while.
func (s *storm) fill(n *fleetNode, span kernel.Micros) {
	disk := s.has[n].disk
	limit := disk.most
	disk.most = 0
	s.in(span, func() { disk.most = limit })
}

// transmit plays a message's way: the sender's core, both links, the receiver's core.
func (s *storm) transmit(from *fleetNode, envelope wire.Envelope) {
	s.crossed[envelope.Message.Kind()]++
	to := s.byAddress(envelope.To)
	if to == nil || !to.isUp || from.cut[envelope.To] || to.cut[from.identity.Address] {
		return
	}
	size := s.sizeOf(envelope.Message)
	kind := 0
	if s.hasLanes && size >= bulkFrom {
		kind = 1
	}
	key := fmt.Sprint(envelope.To, "/", kind)
	sender, receiver := s.has[from], s.has[to]
	l := sender.lanes[key]
	if l == nil {
		l = &lane{}
		sender.lanes[key] = l
	}
	if l.pending >= channelQueue {
		sender.lost++
		return
	}
	l.pending++
	l.bytes += size
	sender.queued = max(sender.queued, l.bytes)
	sender.cpuFree = max(sender.cpuFree, s.now) + kernel.Micros(float64(encodeMB)*float64(size)/(1<<20)/sender.cores)
	begin := max(s.now, l.freeAt, sender.upFree[kind], receiver.downFree[kind])
	if size >= bulkFrom {
		begin = max(begin, sender.cpuFree)
	}
	rate := min(sender.bytesPerSecond, receiver.bytesPerSecond)
	end := begin + kernel.Micros(float64(size)/rate*1e6)
	l.freeAt, sender.upFree[kind], receiver.downFree[kind] = end, end, end
	arrival := end + ms + kernel.Micros(s.random.Int64N(int64(ms)))
	if size >= bulkFrom {
		receiver.cpuFree = max(receiver.cpuFree, arrival) + kernel.Micros(float64(decodeMB)*float64(size)/(1<<20)/receiver.cores)
		arrival = receiver.cpuFree
	}
	fromEpoch, toEpoch := from.epoch, to.epoch
	s.in(arrival-s.now, func() {
		l.pending--
		l.bytes -= size
		if from.epoch != fromEpoch || to.epoch != toEpoch || !to.isUp || from.cut[envelope.To] || to.cut[from.identity.Address] {
			return
		}
		receiver.received += size
		if kind == 1 || size >= bulkFrom {
			receiver.largeDocuments += size
		}
		to.do(func() []commands.Command { return to.node.Deliver(s.now, envelope) })
	})
}

// begin founds the fleet and lets it settle.
func (s *storm) begin() {
	s.bootAll(300 * ms)
	s.stabilized(10 * kernel.Second)
	s.votersAre(10*kernel.Second, s.nodes[:4]...)
	s.in(0, s.countLeaderChanges)
}

func (s *storm) countLeaderChanges() {
	if leader := s.leader(); leader != nil && leader != s.lastLeader {
		s.lastLeader = leader
		s.leaderChanges++
	}
	s.in(50*ms, s.countLeaderChanges)
}

// change hands in one change after another, each so long after the one before at the least.
func (s *storm) change(most int) {
	if s.changes >= most || s.isOver {
		s.isOver = true
		return
	}
	if s.isPaused {
		s.in(10*ms, func() { s.change(most) })
		return
	}
	began := s.now
	s.changes++
	number := uint64(s.changes)
	id := fmt.Sprintf("s%d", number)
	config := fmt.Appendf(nil, `{"ver":%d,"more":%q}`, number, s.padding)
	var attempt func()
	attempt = func() {
		if reply, isKnown := s.reply[id]; isKnown && reply.Outcome == cluster.Accepted {
			delete(s.reply, id)
			s.in(max(s.every-(s.now-began), 0), func() { s.change(most) })
			return
		}
		if s.isOver {
			return
		}
		if leaderNode := s.leader(); leaderNode != nil && leaderNode.node.pendingSubmissions[id] == nil {
			if reply, isKnown := s.reply[id]; isKnown && reply.Outcome == cluster.Rejected {
				s.rejected++
				s.c.Fatalf("%s: %+v", id, reply)
			}
			leaderNode.do(func() []commands.Command {
				return leaderNode.node.Submit(s.now, &cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: config})
			})
		}
		s.in(10*ms, attempt)
	}
	attempt()
}

// awaitChanges passes time until so many changes have been made.
func (s *storm) awaitChanges(count int, most kernel.Micros) {
	s.c.Helper()
	s.await(fmt.Sprintf("%d changes", count), most, func() bool { return s.changes >= count || s.isOver })
}

// isHealthy tells that it holds the newest document and all of the past that it has room for.
func (s *storm) isHealthy(n *fleetNode) bool {
	leaderNode := s.leader()
	return leaderNode != nil && n.node.core.synced == leaderNode.node.core.committed.Position() && !n.node.core.isHistoryIncomplete()
}

// watch keeps the most writes that any core had to do at once.
func (s *storm) watchSaves(most *int) {
	for _, n := range s.nodes {
		if n.isUp && n.node.core != nil {
			*most = max(*most, len(n.node.core.saves))
		}
	}
	s.in(10*ms, func() { s.watchSaves(most) })
}
