package control

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"dunlinloom/kernel"
	qt "github.com/frankban/quicktest"
)

// fleet plays a number of nodes in virtual time: messages take a while and may be cut,
// disks take a while, processes die and come back.
type fleet struct {
	c       *qt.C
	random  *rand.Rand
	now     kernel.Micros
	order   int
	due     dueEvents
	nodes   []*fleetNode
	adapt   func(*NodeSettings)
	reply   map[string]SubmitReply
	heardAt map[string]kernel.Micros // of replies
	answers map[uint64]Registered
	reads   map[uint64]*Document
	crossed map[string]int // messages by kind
	start   uint64
	// founded gathers the foundings of all documents that any disk ever held.
	founded map[string]bool
	// linkRate is how many bytes a node sends a second; zero: no end. linkFree is when it has
	// sent what it has.
	linkRate int64
	linkFree map[string]kernel.Micros
	// named gives the seeds that a process is told at its start; nil: the first three, always.
	named func() []string
	// badLinks is of 100 messages how many are lost, how many come twice and how many up to 300 ms late.
	badLinks int64
	// carrier may take a command over, such as one that a slow link or a real store carries out; nil: none.
	carrier func(n *fleetNode, command any) (isTaken bool)
}

type dueEvent struct {
	at    kernel.Micros
	order int
	run   func()
}

// dueEvents is a heap: the earliest first, and of one time the one that was asked for first.
type dueEvents []dueEvent

func (e dueEvents) Len() int      { return len(e) }
func (e dueEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e dueEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e *dueEvents) Push(event any) { *e = append(*e, event.(dueEvent)) }
func (e *dueEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

type fleetNode struct {
	f         *fleet
	identity  kernel.Identity
	hasFolder bool
	isUp      bool
	isFrozen  bool
	held      []func()
	epoch     int
	node      *Node
	cut       map[string]bool // addresses that can't be reached, nor reach it
	cutOut    map[string]bool // addresses that can't be reached, but reach it
	// The disk.
	member    MemberID
	ballot    Ballot
	document  *Document
	vote      *FoundingVote
	snapshot  []byte
	history   map[uint64]*Document // configurations of the past, by revision
	isFull    bool                 // it refuses writes
	diskTimes kernel.Micros        // as many times slower than usual; zero: once
	bootstrap bool
}

const ms = kernel.Millisecond

type diskFull struct{}

func (diskFull) Error() string { return "the disk is full" }

// platformLike are the settings of a deployment whose routers outlive the core.
func platformLike(settings *NodeSettings) {
	settings.Voters, settings.ServeOn, settings.AckRule = 3, ServeOnAlways, Spread
	settings.SubmitTry, settings.NoFence, settings.Founding = 900*ms, true, FoundersAnnounce
	settings.Timing = SparseTiming()
	settings.Timing.BeatGone = 4200 * ms
	settings.VersionOf = func(config []byte) (uint64, error) {
		var read struct {
			Ver uint64 `json:"ver"`
		}
		err := json.Unmarshal(config, &read)
		return read.Ver, err
	}
	settings.ChangeConfig = func(current, change []byte) ([]byte, error) {
		return []byte(strings.Replace(string(change), "+", string(current)+" ", 1)), nil
	}
	settings.CheckConfig = func(config []byte) error {
		if strings.Contains(string(config), "bad") {
			return faultOf("it is bad")
		}
		return nil
	}
}

// newFleet lays out nodes: zones in turn, the first ones with a folder unless seeds say else.
func newFleet(c *qt.C, seed uint64, zones, nodes int, hasFolder func(int) bool) *fleet {
	f := &fleet{
		c: c, random: rand.New(rand.NewPCG(seed, 7)), now: 100 * kernel.Second, adapt: platformLike, reply: map[string]SubmitReply{},
		heardAt: map[string]kernel.Micros{}, answers: map[uint64]Registered{}, reads: map[uint64]*Document{}, crossed: map[string]int{}, start: 1000,
		founded: map[string]bool{}, linkFree: map[string]kernel.Micros{},
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{
			f: f, hasFolder: hasFolder(i), bootstrap: true, cut: map[string]bool{},
			identity: kernel.Identity{Fleet: "f", Address: fmt.Sprintf("10.0.0.%02d:1", i+1), Public: fmt.Sprintf("10.0.0.%02d:2", i+1), Zone: fmt.Sprintf("z%d", i%zones+1)},
		})
	}
	return f
}

func (f *fleet) seeds() []string {
	if f.named != nil {
		return f.named()
	}
	found := []string{}
	for _, n := range f.nodes[:min(3, len(f.nodes))] {
		found = append(found, n.identity.Address)
	}
	return found
}

func (f *fleet) in(span kernel.Micros, run func()) {
	f.order++
	heap.Push(&f.due, dueEvent{f.now + span, f.order, run})
}

func (f *fleet) pass(span kernel.Micros) {
	for end := f.now + span; ; {
		if len(f.due) == 0 || f.due[0].at > end {
			f.now = end
			return
		}
		next := heap.Pop(&f.due).(dueEvent)
		f.now = max(f.now, next.at)
		next.run()
	}
}

// await passes time until something holds, and says how long that took.
func (f *fleet) await(what string, most kernel.Micros, isMet func() bool) kernel.Micros {
	f.c.Helper()
	for begun := f.now; ; f.pass(10 * ms) {
		if isMet() {
			return f.now - begun
		}
		if f.now-begun > most {
			f.c.Fatalf("%s: not within %d us", what, most)
		}
	}
}

// bootAll starts every node within a span.
func (f *fleet) bootAll(span kernel.Micros) {
	for _, n := range f.nodes {
		f.in(kernel.Micros(f.random.Int64N(int64(span)+1)), n.boot)
	}
}

func (n *fleetNode) boot() {
	f := n.f
	f.start++
	n.epoch++
	n.isUp, n.isFrozen, n.held = true, false, nil
	settings := NodeSettings{
		Identity: n.identity, IsRouter: true, IsController: n.hasFolder, HasFolder: n.hasFolder,
		Seeds: f.seeds(), Start: f.start, RandomSeed: f.random.Uint64(), Timing: DefaultTiming(), Journal: kernel.NewJournal(256), Bootstrap: n.bootstrap,
	}
	if n.hasFolder {
		if n.member == "" {
			n.member = MemberID(fmt.Sprintf("m-%d", f.start))
		}
		if n.vote == nil && n.bootstrap && n.document == nil {
			n.vote = &FoundingVote{Acceptor: n.member} // as the store does before a first life begins
		}
		settings.Member, settings.Ballot, settings.Document, settings.FoundingVote = n.member, n.ballot, n.document, n.vote
		settings.Kept = slices.Sorted(maps.Keys(n.history))
		if n.snapshot != nil {
			settings.Snapshot = &Snapshot{}
			f.c.Assert(json.Unmarshal(n.snapshot, settings.Snapshot), qt.IsNil)
		}
	}
	f.adapt(&settings)
	n.node = NewNode(settings, f.now)
	n.tick(n.epoch)
}

func (n *fleetNode) tick(epoch int) {
	if n.epoch != epoch || !n.isUp {
		return
	}
	n.do(func() []any { return n.node.Tick(n.f.now) })
	n.f.in(n.node.TickSpan(), func() { n.tick(epoch) })
}

func (n *fleetNode) do(event func() []any) {
	if n.isFrozen {
		n.held = append(n.held, func() { n.carry(event()) })
		return
	}
	n.carry(event())
}

func (n *fleetNode) freeze(span kernel.Micros) {
	n.isFrozen = true
	epoch := n.epoch
	n.f.in(span, func() {
		if n.epoch != epoch {
			return
		}
		n.isFrozen = false
		held := n.held
		n.held = nil
		for _, event := range held {
			event()
		}
	})
}

func (n *fleetNode) kill() {
	n.isUp = false
	n.epoch++
}

// wipe kills a node and loses its disk.
func (n *fleetNode) wipe() {
	n.kill()
	n.member, n.ballot, n.document, n.vote, n.snapshot, n.history, n.bootstrap = "", Ballot{}, nil, nil, nil, nil, false
}

func (f *fleet) byAddress(address string) *fleetNode {
	for _, n := range f.nodes {
		if n.identity.Address == address {
			return n
		}
	}
	return nil
}

// sending is how long a message waits for the node's link and takes on it.
func (n *fleetNode) sending(bytes int) kernel.Micros {
	f := n.f
	if f.linkRate == 0 {
		return 0
	}
	address := n.identity.Address
	f.linkFree[address] = max(f.linkFree[address], f.now) + kernel.Micros(int64(bytes)*int64(kernel.Second)/f.linkRate)
	return f.linkFree[address] - f.now
}

// keep puts a configuration into the node's history.
func (n *fleetNode) keep(document *Document) {
	if n.history == nil {
		n.history = map[uint64]*Document{}
	}
	if _, isThere := n.history[document.ConfigRevision]; !isThere {
		n.history[document.ConfigRevision] = document
	}
}

func (n *fleetNode) carry(commands []any) {
	f, epoch := n.f, n.epoch
	for _, command := range commands {
		if f.carrier != nil && f.carrier(n, command) {
			continue
		}
		switch command := command.(type) {
		case Outgoing:
			f.crossed[command.Envelope.Message.Kind()]++
			// As over the wire: nobody shares memory with another.
			content, err := json.Marshal(command.Envelope)
			f.c.Assert(err, qt.IsNil)
			to := f.byAddress(command.Envelope.To)
			if to == nil || n.cut[to.identity.Address] || to.cut[n.identity.Address] || n.cutOut[to.identity.Address] {
				continue
			}
			f.deliver(to, content, n.sending(len(content)))
		case Save:
			f.in(max(n.diskTimes, 1)*(2*ms+kernel.Micros(f.random.Int64N(int64(4*ms)))), func() {
				if n.epoch != epoch {
					return
				}
				if n.isFull {
					n.do(func() []any {
						return n.node.Saved(f.now, command.Token, kernel.DiskError{Step: "write", Name: "it", Cause: diskFull{}})
					})
					return
				}
				if command.Ballot != nil {
					n.ballot = *command.Ballot
				}
				if command.FoundingVote != nil {
					n.vote = command.FoundingVote
				}
				if command.Document != nil {
					n.document = command.Document
					n.keep(command.Document)
					f.founded[command.Document.Founding] = true
				}
				n.do(func() []any { return n.node.Saved(f.now, command.Token, nil) })
			})
		case Fetch:
			kept := n.history[command.Mark.Revision]
			f.in(2*ms, func() {
				if n.epoch == epoch {
					n.do(func() []any { return n.node.Fetched(f.now, command.To, command.Mark, kept) })
				}
			})
		case Keep:
			f.in(max(n.diskTimes, 1)*kernel.Micros(3+len(command.Documents))*ms, func() {
				if n.epoch != epoch {
					return
				}
				if n.isFull {
					cause := kernel.DiskError{Step: "write", Name: "it", Cause: diskFull{}}
					n.do(func() []any {
						return n.node.Kept(f.now, KeepOutcome{Refused: command.Documents[0].ConfigRevision, Err: cause})
					})
					return
				}
				outcome := KeepOutcome{}
				for _, document := range command.Documents {
					n.keep(document)
					outcome.Kept = append(outcome.Kept, document.ConfigRevision)
				}
				n.do(func() []any { return n.node.Kept(f.now, outcome) })
			})
		case SaveSnapshot:
			content, err := json.Marshal(command.Snapshot)
			f.c.Assert(err, qt.IsNil)
			f.in(2*ms+kernel.Micros(f.random.Int64N(int64(4*ms))), func() {
				switch {
				case n.epoch != epoch:
				case n.isFull:
					n.do(func() []any {
						return n.node.SnapshotSaved(f.now, kernel.DiskError{Step: "write", Name: "it", Cause: diskFull{}})
					})
				default:
					n.snapshot = content
					n.do(func() []any { return n.node.SnapshotSaved(f.now, nil) })
				}
			})
		case Reply:
			f.reply[command.SubmitReply.ID] = command.SubmitReply
			f.heardAt[command.SubmitReply.ID] = f.now
		case Registered:
			f.answers[command.Token] = command
		case Newest:
			f.reads[command.Token] = command.Document
		}
	}
}

// deliver carries a message over a link.
func (f *fleet) deliver(to *fleetNode, content []byte, sending kernel.Micros) {
	span, copies := sending+ms+kernel.Micros(f.random.Int64N(int64(4*ms))), 1
	if f.badLinks > 0 {
		switch fate := f.random.Int64N(100); {
		case fate < f.badLinks:
			return
		case fate < 2*f.badLinks:
			copies = 2
		case fate < 3*f.badLinks:
			span += kernel.Micros(f.random.Int64N(int64(300 * ms)))
		}
	}
	for range copies {
		f.in(span, func() {
			if !to.isUp {
				return
			}
			var envelope Envelope
			f.c.Assert(json.Unmarshal(content, &envelope), qt.IsNil)
			to.do(func() []any { return to.node.Deliver(f.now, envelope) })
		})
	}
}

func (n *fleetNode) state() *State { return n.node.State(nil) }

func (f *fleet) leader() *fleetNode {
	for _, n := range f.nodes {
		if n.isUp && !n.isFrozen && n.node.core != nil && n.node.core.role == leader && n.node.core.isOwnTerm {
			return n
		}
	}
	return nil
}

// settled waits until a leader leads, every living node is registered and every zone has a home.
func (f *fleet) settled(most kernel.Micros) kernel.Micros {
	f.c.Helper()
	return f.await("settled", most, func() bool {
		lead := f.leader()
		if lead == nil || lead.node.core.committed.stamp() != lead.node.core.doc.stamp() {
			return false
		}
		document := lead.node.core.committed
		for _, n := range f.nodes {
			if n.isUp && (!slices.Contains(document.Register, n.identity.Address) || document.Homes[n.identity.Zone] == "" ||
				n.node.lease.Revision() != document.Revision) {
				return false
			}
		}
		return true
	})
}

// votersAre waits until just these nodes vote.
func (f *fleet) votersAre(most kernel.Micros, nodes ...*fleetNode) kernel.Micros {
	f.c.Helper()
	wanted := []string{}
	for _, n := range nodes {
		wanted = append(wanted, string(n.member))
	}
	slices.Sort(wanted)
	return f.await(fmt.Sprint("voters ", wanted), most, func() bool {
		lead := f.leader()
		if lead == nil || lead.node.core.committed.stamp() != lead.node.core.doc.stamp() {
			return false
		}
		found := []string{}
		for _, voter := range lead.node.core.committed.Voters {
			found = append(found, string(voter.ID))
		}
		slices.Sort(found)
		return slices.Equal(found, wanted)
	})
}

func version(of uint64) *uint64 { return &of }

func configOf(ver uint64, more string) []byte {
	return fmt.Appendf(nil, `{"ver":%d,"more":%q}`, ver, more)
}

func (n *fleetNode) submit(id string, base uint64, config []byte) {
	delete(n.f.reply, id)
	n.do(func() []any {
		return n.node.Submit(n.f.now, &Submit{ID: id, Order: PutConfig, Config: config, BaseVersion: version(base)})
	})
}

// acknowledge hands a configuration in at nodes in turn, as an operator does, until there is a yes.
func (f *fleet) acknowledge(id string, base uint64, config []byte, most kernel.Micros, at ...*fleetNode) kernel.Micros {
	f.c.Helper()
	begun := f.now
	for turn := 0; f.now-begun < most; turn++ {
		at[turn%len(at)].submit(id, base, config)
		f.await("a receipt", kernel.Second, func() bool { _, isThere := f.reply[id]; return isThere })
		switch reply := f.reply[id]; reply.Outcome {
		case Yes:
			return f.now - begun
		case No:
			f.c.Fatalf("%s: %+v", id, reply)
		}
		f.pass(100 * ms)
	}
	f.c.Fatalf("%s: no yes within %d us", id, most)
	return 0
}

func (f *fleet) register(at *fleetNode, token uint64, record EngineRecord) {
	at.do(func() []any { return at.node.Register(f.now, token, record) })
}

func engineAt(id, zone string, seq uint64) EngineRecord {
	return EngineRecord{ID: id, Address: "10.9.0.1:80", Zone: zone, Pool: "p", Slots: 4, Seq: seq}
}

func (n *fleetNode) engine(id string) EngineRecord {
	found, _ := n.node.cell.engines.Get(id)
	return found
}

// allKnow tells whether something holds of an engine at every node that runs.
func (f *fleet) allKnow(id string, isMet func(EngineRecord) bool) bool {
	for _, n := range f.nodes {
		if n.isUp && !n.isFrozen && !isMet(n.engine(id)) {
			return false
		}
	}
	return true
}

func firstHaveFolders(count int) func(int) bool { return func(i int) bool { return i < count } }

func TestSeedsWithoutADiskFoundOnce(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		// The three seeds have no folder; four others have.
		f := newFleet(c, seed, 4, 12, func(i int) bool { return i >= 4 && i < 8 })
		f.bootAll(kernel.Second)
		took := f.settled(6 * kernel.Second)
		c.Logf("seed %d: settled after %d ms", seed, took/ms)
		c.Assert(f.founded, qt.HasLen, 1)
		f.votersAre(3*kernel.Second, f.nodes[4:8]...)
		c.Assert(f.nodes[0].node.core, qt.IsNil)
	}
}

func TestADeciderThatRestartsFoundsNoSecondFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 9, func(i int) bool { return i >= 3 && i < 7 })
		f.bootAll(200 * ms)
		// At any moment of the founding, the decider forgets, and half of the founders can't be reached for a while.
		f.pass(400*ms + kernel.Micros(f.random.Int64N(int64(800*ms))))
		f.nodes[0].kill()
		for _, n := range f.nodes[3:5] {
			f.nodes[0].cut[n.identity.Address] = true
		}
		f.pass(50 * ms)
		f.nodes[0].boot()
		f.pass(3 * kernel.Second)
		f.nodes[0].cut = map[string]bool{}
		f.pass(3 * kernel.Second)
		c.Assert(len(f.founded) <= 1, qt.IsTrue, qt.Commentf("seed %d: %v", seed, f.founded))
	}
}

func TestAnEmptiedFleetThatIsNoFirstStartFoundsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 3, 6, firstHaveFolders(4))
	for _, n := range f.nodes {
		n.bootstrap = false
	}
	f.bootAll(kernel.Second)
	f.pass(10 * kernel.Second)
	c.Assert(f.founded, qt.HasLen, 0)
}

func TestAWipedVoterIsSwappedFast(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.votersAre(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
		for turn := range 4 {
			lost := f.nodes[turn]
			lost.wipe()
			f.pass(500 * ms)
			lost.boot()
			took := f.votersAre(3500*ms, f.nodes[:4]...)
			c.Logf("seed %d: swapped after %d ms", seed, took/ms)
			// No two at once, but one every four seconds.
			f.pass(4*kernel.Second - took)
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6])
	}
}

func TestFourVotersBearOneWipedAndThenAnotherLost(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.votersAre(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		f.nodes[1].wipe()
		f.pass(300 * ms)
		f.nodes[1].boot()
		f.pass(4 * kernel.Second)
		f.nodes[2].kill()
		f.pass(ms)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		// All that is left loses power; what was acknowledged is still there.
		f.pass(200 * ms)
		for _, n := range f.nodes {
			if n.isUp {
				n.kill()
			}
		}
		f.nodes[2].wipe()
		for _, n := range f.nodes {
			n.bootstrap = false
		}
		f.bootAll(500 * ms)
		f.await("the acknowledged version at all", 6*kernel.Second, func() bool {
			for _, n := range f.nodes {
				if document := n.inForce(); document == nil || document.ConfigVersion != 2 {
					return false
				}
			}
			return true
		})
	}
}

// inForce is the document in force at a node that may not have started yet.
func (n *fleetNode) inForce() *Document {
	if !n.isUp || n.node == nil {
		return nil
	}
	return n.node.lease.applied
}

func TestALostVoterIsReplacedByAStandbyElsewhere(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 3, 9, func(i int) bool { return i < 3 || i == 8 })
	f.nodes[8].identity.Zone = "z1"
	f.nodes[8].hasFolder = false
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.votersAre(3*kernel.Second, f.nodes[:3]...)
	f.nodes[0].kill()
	f.pass(kernel.Second)
	// An empty machine at a new address.
	fresh := f.nodes[8]
	fresh.kill()
	fresh.hasFolder, fresh.bootstrap = true, false
	fresh.boot()
	took := f.votersAre(4*kernel.Second, f.nodes[1], f.nodes[2], fresh)
	c.Logf("replaced %d ms after its start", took/ms)
}

func TestWantedVoters(t *testing.T) {
	c := qt.New(t)
	members := func(zones ...int) []Member {
		found := []Member{}
		for zone, count := range zones {
			for i := range count {
				found = append(found, Member{MemberID(fmt.Sprint(zone, i)), fmt.Sprint(zone, i), fmt.Sprint("z", zone)})
			}
		}
		return found
	}
	for _, example := range []struct {
		least  int
		zones  []int
		wanted int
	}{
		{3, []int{1, 1, 1}, 3}, {3, []int{1, 1, 1, 1}, 4}, {3, []int{2, 1, 1}, 3}, {3, []int{2, 2, 1}, 5}, {3, []int{2, 2, 2}, 5},
		{5, []int{1, 1, 1}, 5}, {3, []int{3, 3}, 5}, {3, []int{4}, 4}, {3, []int{1}, 3}, {3, nil, 3}, {7, []int{3, 3, 3}, 7},
	} {
		c.Check(wantedVoters(example.least, members(example.zones...)), qt.Equals, example.wanted, qt.Commentf("%+v", example))
	}
	chosen := chooseVoters(members(3, 1, 1), 3)
	c.Assert([]string{chosen[0].Zone, chosen[1].Zone, chosen[2].Zone}, qt.DeepEquals, []string{"z0", "z1", "z2"})
}

func TestALeaderThatDiesRightAfterItsYesLeavesNobodyBehind(t *testing.T) {
	worst := kernel.Micros(0)
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[9])
		f.pass(kernel.Second)
		lead := f.leader()
		// One zone's home is gone as well, and nobody knows it yet.
		for _, n := range f.nodes {
			if home := f.byAddress(lead.state().Document.Homes[n.identity.Zone]); home != lead && home.identity.Zone != lead.identity.Zone {
				home.kill()
				break
			}
		}
		at := f.nodes[11]
		if !at.isUp {
			at = f.nodes[10]
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, at)
		yes := f.heardAt["two"]
		lead.kill()
		f.await("all have it", 1500*ms, func() bool {
			for _, n := range f.nodes {
				if n.isUp && n.node.lease.applied.ConfigVersion != 2 {
					return false
				}
			}
			return true
		})
		worst = max(worst, f.now-yes)
	}
	t.Logf("the last node had it %d ms after the yes at the latest", worst/ms)
}

func TestUnreachableRoutersNeverBlockAYes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 5, 3, 12, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[9])
	// More than half of the register, at once.
	for _, n := range f.nodes[4:] {
		n.kill()
	}
	took := f.acknowledge("two", 1, configOf(2, "b"), 2*kernel.Second, f.nodes[3])
	c.Assert(took < 900*ms, qt.IsTrue, qt.Commentf("%d us", took))
	c.Assert(f.nodes[3].state().Until, qt.Equals, ServeOnAlways)
}

func TestOneOfTwoRacersOnAVersionWins(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 6, firstHaveFolders(3))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[3])
		f.nodes[4].submit("left", 1, configOf(5, "left"))
		f.nodes[5].submit("right", 1, configOf(7, "right"))
		f.await("both receipts", 2*kernel.Second, func() bool { return len(f.reply) == 3 })
		outcomes := []string{string(f.reply["left"].Outcome), string(f.reply["right"].Outcome)}
		slices.Sort(outcomes)
		c.Assert(outcomes, qt.DeepEquals, []string{"no", "yes"})
		for id, reply := range f.reply {
			if reply.Outcome == No {
				c.Assert(reply.Reason, qt.Equals, "clash", qt.Commentf(id))
			}
		}
	}
}

func TestVersionsRiseAndChangesBuildOnWhatIsInForce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2, 3, 6, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.acknowledge("one", 0, configOf(4, "a"), 4*kernel.Second, f.nodes[3])
	reason := func(id string, submit Submit) string {
		submit.ID = id
		delete(f.reply, id)
		f.nodes[4].do(func() []any { return f.nodes[4].node.Submit(f.now, &submit) })
		f.await(id, 2*kernel.Second, func() bool { _, isThere := f.reply[id]; return isThere })
		return string(f.reply[id].Outcome) + " " + f.reply[id].Reason
	}
	c.Assert(reason("clash", Submit{Order: PutConfig, Config: configOf(9, "x"), BaseVersion: version(3)}), qt.Equals, "no clash")
	c.Assert(reason("old", Submit{Order: PutConfig, Config: configOf(4, "x"), BaseVersion: version(4)}), qt.Equals, "no old_version")
	c.Assert(reason("bad", Submit{Order: PutConfig, Config: configOf(9, "bad"), BaseVersion: version(4)}), qt.Equals, "no invalid_spec")
	c.Assert(reason("torn", Submit{Order: PutConfig, Config: []byte("{"), BaseVersion: version(4)}), qt.Equals, "no invalid_spec")
	change := []byte(`{"ver":6,"more":"changed"}`)
	c.Assert(reason("change", Submit{Order: ChangeConfig, Config: change, BaseVersion: version(4)}), qt.Equals, "yes ")
	c.Assert(f.leader().state().Document.ConfigVersion, qt.Equals, uint64(6))
	// Sent again it is a yes, also after a newer one; with another base it is another order.
	f.acknowledge("three", 6, configOf(8, "c"), 2*kernel.Second, f.nodes[5])
	c.Assert(reason("change", Submit{Order: ChangeConfig, Config: change, BaseVersion: version(4)}), qt.Equals, "yes ")
	c.Assert(reason("change", Submit{Order: ChangeConfig, Config: change, BaseVersion: version(8)}), qt.Equals, "no id_reused")
}

func TestAnOrderSentAgainAtAnotherNodeIsAYes(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 8, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		f.nodes[6].submit("two", 1, configOf(2, "b"))
		f.pass(kernel.Micros(f.random.Int64N(int64(60 * ms))))
		// The one that took it dies; the leader may as well, with the order in flight.
		f.nodes[6].kill()
		if seed%2 == 0 {
			f.leader().kill()
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[7], f.nodes[5])
		c.Assert(f.nodes[7].state().Document.ConfigVersion, qt.Equals, uint64(2))
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[5])
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[7])
		c.Assert(f.nodes[5].state().Document.ConfigVersion, qt.Equals, uint64(3))
	}
}

func TestAnOrderWithoutAReceiptIsUnprovedAndNotFenced(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 4, 3, 6, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[3])
	f.nodes[1].freeze(3 * kernel.Second)
	f.nodes[2].freeze(3 * kernel.Second)
	f.nodes[3].submit("two", 1, configOf(2, "b"))
	took := f.await("a receipt", kernel.Second, func() bool { _, isThere := f.reply["two"]; return isThere })
	c.Assert(f.reply["two"].Outcome, qt.Equals, Unproved)
	c.Assert(took < 950*ms, qt.IsTrue, qt.Commentf("%d us", took))
	f.pass(3 * kernel.Second)
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
}

func TestNewestIsNoOlderThanWhatWasAcknowledged(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 8, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		old := f.leader()
		// The leader is cut off from the core and does not know it; node 7 hears nobody else.
		for _, n := range f.nodes {
			if n != old && n != f.nodes[7] {
				old.cut[n.identity.Address] = true
				f.nodes[7].cut[n.identity.Address] = true
			}
		}
		f.nodes[7].do(func() []any { return f.nodes[7].node.Newest(f.now, 1) })
		f.pass(4 * kernel.Second)
		c.Assert(f.reads[1], qt.IsNil)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6], f.nodes[5])
		// Healed, the old read hears of the new version too, and so does a new one.
		old.cut, f.nodes[7].cut = map[string]bool{}, map[string]bool{}
		f.nodes[7].do(func() []any { return f.nodes[7].node.Newest(f.now, 2) })
		f.await("the newest", 3*kernel.Second, func() bool { return f.reads[1] != nil && f.reads[2] != nil })
		c.Assert(f.reads[1].ConfigVersion, qt.Equals, uint64(2))
		c.Assert(f.reads[2].ConfigVersion, qt.Equals, uint64(2))
		c.Assert(string(f.reads[2].Config), qt.Equals, string(configOf(2, "b")))
	}
}

func TestALateUpDoesNotUndoALeaving(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 6, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	f.pass(300 * ms)
	c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.Address == "10.9.0.1:80" && e.Slots == 4 }), qt.IsTrue)
	leaving := engineAt("e", "z1", 5)
	leaving.IsLeaving = true
	f.register(f.nodes[5], 2, leaving)
	f.await("the answer", 900*ms, func() bool { return f.answers[2].Token == 2 })
	c.Assert(f.answers[2].Err, qt.IsNil)
	// Late, at two nodes, one of which never heard the first.
	late := engineAt("e", "z1", 4)
	late.Address = "10.9.0.7:80"
	f.register(f.nodes[7], 3, late)
	f.register(f.nodes[0], 4, late)
	f.pass(kernel.Second)
	c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.IsLeaving && e.Address == "10.9.0.1:80" }), qt.IsTrue)
	// Gone, without a number or an address; then late once more.
	f.register(f.nodes[8], 5, EngineRecord{ID: "e", IsUnlisted: true})
	f.await("the answer", 900*ms, func() bool { return f.answers[5].Token == 5 })
	c.Assert(f.answers[5].Err, qt.IsNil)
	f.register(f.nodes[6], 6, engineAt("e", "z1", 6))
	f.pass(kernel.Second)
	c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.IsUnlisted }), qt.IsTrue)
}

func TestADrainIsConfirmedByAllBeforeItsAnswer(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.pass(kernel.Second)
		leaving := engineAt("e", "z1", 2)
		leaving.IsLeaving = true
		begun := f.now
		f.register(f.nodes[int(seed)%12], 2, leaving)
		f.await("the answer", 900*ms, func() bool { return f.answers[2].Token == 2 })
		c.Assert(f.answers[2].Err, qt.IsNil)
		c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.IsLeaving }), qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(f.now-begun < 200*ms, qt.IsTrue, qt.Commentf("seed %d: %d us", seed, f.now-begun))
	}
}

func TestADrainIsConfirmedInTimeBesideDeadHomesAndOutlivesItsTaker(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.pass(kernel.Second)
		homes := f.leader().state().Document.Homes
		f.byAddress(homes["z2"]).kill()
		taker := f.nodes[11]
		leaving := engineAt("e", "z1", 2)
		leaving.IsLeaving = true
		f.register(taker, 2, leaving)
		f.await("the answer", 900*ms, func() bool { return f.answers[2].Token == 2 })
		c.Assert(f.answers[2].Err, qt.IsNil)
		taker.kill()
		f.pass(kernel.Second)
		c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.IsLeaving }), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// A home that is cut off from the rest of the core still speaks to its zone, so the zone's
// other nodes must not wait for its silence: they are in touch, and a drain binds them.
func TestAZoneBehindAHomeThatIsCutOffFromTheCoreIsNotLeftBehind(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newFleet(c, seed, 4, 9, firstHaveFolders(4))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.pass(kernel.Second)
		leader := f.leader()
		var home *fleetNode
		for _, zone := range []string{"z1", "z2", "z3", "z4"} {
			if n := f.byAddress(leader.state().Document.Homes[zone]); n.hasFolder && n != leader && len(zoneOf(f, zone)) > 1 {
				home = n
			}
		}
		c.Assert(home, qt.IsNotNil)
		for _, n := range f.nodes {
			if n.hasFolder && n != home {
				home.cut[n.identity.Address], n.cut[home.identity.Address] = true, true
			}
		}
		f.pass(2500 * ms)
		leaving := engineAt("e", "z1", 2)
		leaving.IsLeaving = true
		f.register(f.leader(), 2, leaving)
		f.await("the answer", 900*ms, func() bool { return f.answers[2].Token == 2 })
		c.Assert(f.answers[2].Err, qt.IsNil)
		f.pass(kernel.Second)
		for _, n := range f.nodes {
			if n != home {
				c.Assert(n.engine("e").IsLeaving, qt.IsTrue, qt.Commentf("seed %d, %s", seed, n.identity.Address))
			}
		}
		// What the operator is told binds them as well.
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.leader())
		f.pass(kernel.Second)
		for _, n := range f.nodes {
			if n != home {
				c.Assert(n.inForce().ConfigVersion, qt.Equals, uint64(1), qt.Commentf("seed %d, %s", seed, n.identity.Address))
			}
		}
	}
}

func zoneOf(f *fleet, zone string) []*fleetNode {
	found := []*fleetNode{}
	for _, n := range f.nodes {
		if n.identity.Zone == zone {
			found = append(found, n)
		}
	}
	return found
}

func TestADrainAtANodeThatIsCutOffIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 8, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	f.pass(kernel.Second)
	for token, passed := range []kernel.Micros{0, 10 * kernel.Second} {
		alone := f.nodes[8]
		for _, n := range f.nodes[:8] {
			alone.cut[n.identity.Address] = true
		}
		f.pass(passed)
		leaving := engineAt("e", "z1", 2)
		leaving.IsLeaving = true
		f.register(alone, uint64(10+token), leaving)
		f.await("the answer", 900*ms, func() bool { return f.answers[uint64(10+token)].Token != 0 })
		c.Assert(f.answers[uint64(10+token)].Err, qt.ErrorAs, new(NotConfirmed))
	}
}

func TestBeatsThatChangeNothingGoToTheHomeAlone(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 9, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	// Until a home is known to live nobody is sent there.
	f.pass(2 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	home := f.byAddress(f.leader().state().Document.Homes["z1"])
	c.Assert(f.answers[1].BeatTo, qt.Equals, home.identity.Public)
	f.pass(2 * kernel.Second)
	quiet := func(at *fleetNode) map[string]int {
		f.crossed = map[string]int{}
		for seq := range uint64(8) {
			f.pass(1200 * ms)
			f.register(at, 100+seq, engineAt("e", "z1", 10+seq))
		}
		return f.crossed
	}
	crossed := quiet(home)
	c.Assert(crossed["Heard"]+crossed["Push"], qt.Equals, 0)
	elsewhere := f.nodes[5]
	c.Assert(elsewhere, qt.Not(qt.Equals), home)
	f.register(elsewhere, 50, engineAt("e", "z1", 30))
	crossed = quiet(elsewhere)
	c.Assert(crossed["Push"], qt.Equals, 0)
	c.Assert(crossed["Heard"] <= 8, qt.IsTrue, qt.Commentf("%v", crossed))
	c.Assert(f.allKnow("e", func(e EngineRecord) bool { return e.isBeating() }), qt.IsTrue)
}

func TestASilentEngineIsDarkAndComesBackWithItsNextBeat(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 10, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	seq := uint64(0)
	beat := func(at *fleetNode) {
		seq++
		f.register(at, 100+seq, engineAt("e", "z1", seq))
	}
	home := f.byAddress(f.leader().state().Document.Homes["z1"])
	for range 6 {
		beat(home)
		f.pass(1200 * ms)
	}
	isDark := func(e EngineRecord) bool { return e.IsDark }
	c.Assert(f.allKnow("e", isDark), qt.IsFalse)
	took := f.await("dark", 4*kernel.Second, func() bool { return f.allKnow("e", isDark) })
	c.Logf("dark at all %d ms after its last beat", (took+1200*ms)/ms)
	beat(f.nodes[7])
	f.await("back", kernel.Second, func() bool { return f.allKnow("e", func(e EngineRecord) bool { return e.isBeating() }) })
	// A home that was frozen heard nothing by its own fault; so did one that has just begun.
	for range 4 {
		beat(home)
		f.pass(1200 * ms)
	}
	home.freeze(1400 * ms)
	f.pass(1400 * ms)
	f.pass(3 * kernel.Second)
	c.Assert(f.allKnow("e", func(e EngineRecord) bool { return !e.IsDark }), qt.IsTrue)
	beat(home)
	f.pass(1200 * ms)
	beat(home)
	home.kill()
	for range 8 {
		f.pass(1200 * ms)
		other := f.nodes[4]
		if other == home {
			other = f.nodes[5]
		}
		beat(other)
		c.Assert(f.allKnow("e", func(e EngineRecord) bool { return !e.IsDark }), qt.IsTrue)
	}
}

func TestANewEngineAtAnAddressEndsTheOldOne(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 11, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("old", "z1", 7))
	f.pass(kernel.Second)
	moved := engineAt("new", "z2", 1)
	moved.Pool = "q"
	f.register(f.nodes[5], 2, moved)
	f.pass(300 * ms)
	c.Assert(f.allKnow("old", func(e EngineRecord) bool { return e.IsUnlisted }), qt.IsTrue)
	c.Assert(f.allKnow("new", func(e EngineRecord) bool { return e.Pool == "q" && e.isBeating() }), qt.IsTrue)
	// An engine's newer word moves it.
	moved.Seq, moved.Address, moved.Pool = 3, "10.9.0.3:80", "r"
	f.register(f.nodes[6], 3, moved)
	moved.Seq, moved.Address = 2, "10.9.0.2:80"
	f.register(f.nodes[7], 4, moved)
	f.pass(300 * ms)
	c.Assert(f.allKnow("new", func(e EngineRecord) bool { return e.Address == "10.9.0.3:80" && e.Pool == "r" }), qt.IsTrue)
}

func TestEnginesAreKnownAgainSoonAfterATotalLoss(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 9, firstHaveFolders(3))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		for _, n := range f.nodes {
			n.kill()
			n.bootstrap = false
		}
		f.bootAll(300 * ms)
		f.pass(300 * ms)
		// Beats come before there is a leader.
		f.register(f.nodes[4], 1, engineAt("e", "z1", 20))
		f.pass(1200 * ms)
		f.register(f.nodes[8], 2, engineAt("e", "z1", 21))
		f.await("known", 2*kernel.Second, func() bool { return f.allKnow("e", func(e EngineRecord) bool { return e.isBeating() }) })
	}
}

func TestServingCountsLivingRouters(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 12, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	f.pass(3 * kernel.Second)
	for _, n := range f.nodes {
		c.Assert(n.state().Serving, qt.Equals, 9)
	}
	f.nodes[7].kill()
	f.nodes[8].kill()
	f.pass(6 * kernel.Second)
	for _, n := range f.nodes[:7] {
		c.Assert(n.state().Serving, qt.Equals, 7)
	}
}

func TestNothingIsAttestedWhereRoutersOutliveTheCore(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 13, 3, 9, firstHaveFolders(3))
	f.bootAll(500 * ms)
	f.settled(6 * kernel.Second)
	for _, n := range f.nodes[:3] {
		n.kill()
	}
	f.crossed = map[string]int{}
	f.pass(20 * kernel.Second)
	c.Assert(f.crossed["Attest"], qt.Equals, 0)
	for _, n := range f.nodes[3:] {
		c.Assert(n.state().Until, qt.Equals, ServeOnAlways)
		c.Assert(n.state().Why, qt.Equals, "")
	}
}

func TestAFiniteServeOnReachesBeyondTheLease(t *testing.T) {
	c := qt.New(t)
	l := NewLease("r", true, DefaultTiming(), func(string, string, string) {})
	l.serveOn = 5 * kernel.Second
	seq := l.NewAsk(kernel.Second)
	l.TakeGrant(kernel.Second+100, &Grant{Seq: seq, Revision: 1, Document: document(1, 1)})
	c.Assert(l.Until(), qt.Equals, 6*kernel.Second)
	c.Assert(l.Apply(document(2, 1)), qt.IsFalse)
}

// Nodes that forgot each other in a cut know each other again after it, though each home
// believes that the others still have the rest of what it tells briefly.
func TestNodesKnowEachOtherAgainAfterACutInWhichTheyWereDropped(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 9, firstHaveFolders(3))
		f.bootAll(500 * ms)
		f.settled(6 * kernel.Second)
		areAllKnown := func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return len(n.node.State(nil).Nodes) < len(f.nodes) })
		}
		f.await("all nodes known", 20*kernel.Second, areAllKnown)
		for _, inside := range f.nodes {
			for _, outside := range f.nodes {
				if inside.identity.Zone == "z3" && outside.identity.Zone != "z3" {
					inside.cut[outside.identity.Address] = true
				}
			}
		}
		f.pass(2 * SparseTiming().NodeGone)
		c.Assert(areAllKnown(), qt.IsFalse)
		for _, n := range f.nodes {
			n.cut = map[string]bool{}
		}
		f.await("all nodes known again", 2*SparseTiming().NodeGone, areAllKnown)
	}
}
