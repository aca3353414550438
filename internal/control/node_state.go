package control

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// What a node shows to the process around it.

// touchAsks is how many spans between two asks may pass without an answer by the leader. Where a
// home speaks for its zone, a node asks the leader itself at every third or fourth ask.
const touchAsks = 5

// TouchSpan is for how long a leader's answer shows that this node is in touch with it.
func (n *Node) TouchSpan() kernel.Micros { return touchAsks * n.settings.Timing.Ask }

// isIsolated tells that no leader has answered for as long as an engine may be silent, in this life
// or since its start: longer than a change of leader takes, so that this node is most likely cut off.
func (n *Node) isIsolated() bool {
	return n.now-max(n.lease.grantedAsk, n.bornAt) >= max(n.TouchSpan(), n.settings.Timing.BeatGone)
}

// GrantedAt is when the newest ask of this life was sent that a leader has answered; zero: none was.
func (n *Node) GrantedAt() kernel.Micros { return n.lease.grantedAsk }

// FreshAt is the latest moment at which the document in force here was surely the newest one; zero:
// none is known.
func (n *Node) FreshAt() kernel.Micros { return n.lease.freshAt }

// State is a view of a node at one moment; nothing in it is changed later.
type State struct {
	Document   *Document
	Until      kernel.Micros
	Why        string
	Leader     string
	Home       string
	IsHome     bool
	IsHomeless bool
	IsLeader   bool
	Role       string
	Term       uint64
	Ailment    string
	Health     *Health // of the core; nil unless this node leads it
	Engines    []EngineRecord
	EngineRev  uint64
	Nodes      []NodeRecord
	Neighbours []string
	Founding   string
	Serving    int // router nodes known to live, this one among them

	cellRev uint64
}

// State gives a view of the node; it gives the earlier view where nothing has changed, and
// keeps its parts that have not.
func (n *Node) State(earlier *State) *State {
	state := State{
		Document: n.lease.applied, Until: n.lease.until, Why: n.lease.Why(n.now),
		Home: n.home(), IsHome: n.isHome(), IsHomeless: n.isHomeless(),
		EngineRev: n.directory.engineRev, Founding: n.founding(), Leader: n.leaderHint, cellRev: n.directory.rev,
	}
	if n.core != nil {
		state.Health = n.core.Health()
		state.IsLeader, state.Role, state.Term, state.Ailment = n.core.role == leader, n.core.role.String(), n.core.term, n.core.Ailment()
		if known := n.core.Leader(); known != "" {
			state.Leader = known
		}
	}
	if earlier != nil && earlier.EngineRev == state.EngineRev {
		state.Engines = earlier.Engines
	} else {
		state.Engines = n.usableEngines()
	}
	if earlier != nil && earlier.cellRev == state.cellRev {
		state.Nodes = earlier.Nodes
	} else {
		state.Nodes = n.directory.Nodes()
	}
	if earlier != nil && n.views.isSeen(earlier.Neighbours) {
		state.Neighbours = earlier.Neighbours
	} else {
		state.Neighbours = n.views.Neighbours()
	}
	state.Serving = n.serving(state.Nodes)
	if earlier != nil && earlier.isLike(&state) {
		return earlier
	}
	return &state
}

// isLike tells whether two views are the same, where their parts are the same ones.
func (s *State) isLike(other *State) bool {
	return s.Document == other.Document && s.Until == other.Until && s.Why == other.Why && s.Leader == other.Leader &&
		s.Home == other.Home && s.IsHome == other.IsHome && s.IsHomeless == other.IsHomeless && s.IsLeader == other.IsLeader &&
		s.Role == other.Role && s.Term == other.Term && s.Ailment == other.Ailment && s.Health == other.Health && s.EngineRev == other.EngineRev &&
		s.cellRev == other.cellRev && s.Founding == other.Founding && s.Serving == other.Serving && slices.Equal(s.Neighbours, other.Neighbours)
}
