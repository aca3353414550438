package control

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// The data folder of a node. A disk that fails at the start keeps the folder closed; the node then runs without a core,
// and becomes the folder's member once the folder is open. The safety argument is in docs/control-safety/late-folder.md.

// FolderState is what a node restores from its data folder.
type FolderState struct {
	Member        cluster.MemberID
	HardState     cluster.HardState
	Document      *cluster.Document
	StoredConfigs []uint64
	Acknowledged  cluster.Position
	// AcceptorState is the bootstrap state that an earlier incarnation stored in the folder; nil: none.
	AcceptorState *cluster.AcceptorState
	// Snapshot is what an earlier incarnation stored for a fast start; nil: none.
	Snapshot *storage.Snapshot
	// Ends are the ends of engines that an earlier incarnation stored; nil: none.
	Ends *storage.EngineEnds
}

// FolderSource says for whom a data folder is opened.
type FolderSource struct {
	Fleet string
	// FreshID returns the id of a new member; it is called for an empty folder.
	FreshID func() string
	// KeepsAcceptorState is set where members bootstrap by announcement. IsBootstrap and Seeds are those of NodeSettings.
	KeepsAcceptorState bool
	IsBootstrap        bool
	Seeds              []string
}

// OpenStore opens the store in a data folder and reads the member's state, without the snapshot and the ends. An empty folder gets a
// new member. The acceptor state is stored before it is returned, so that a later incarnation knows that this one may
// have voted.
func OpenStore(folder kernel.Folder, source FolderSource) (*storage.Store, FolderState, error) {
	store, hardState, document, err := storage.OpenStore(folder, source.Fleet, source.FreshID)
	if err != nil {
		return nil, FolderState{}, err
	}
	state := FolderState{
		Member: store.Member(), HardState: hardState, Document: document,
		StoredConfigs: store.ConfigRevisions(), Acknowledged: store.Acknowledged(),
	}
	if source.KeepsAcceptorState {
		if state.AcceptorState, err = store.AcceptorState(source.IsBootstrap, source.Seeds); err != nil {
			return nil, FolderState{}, err
		}
	}
	return store, state, nil
}

// FolderNotPendingError reports that a node has its data folder already, or runs without one.
type FolderNotPendingError struct{ Node string }

func (e FolderNotPendingError) Error() string {
	return fmt.Sprintf("node %s does not wait for a data folder", e.Node)
}

// ForeignFolderError reports that a data folder belongs to another cluster than the node does.
type ForeignFolderError struct{ Found, Own string }

func (e ForeignFolderError) Error() string {
	return fmt.Sprintf("the data folder belongs to cluster %s, but this node to %s", e.Found, e.Own)
}

// LeavingError reports that a node is stopping and takes up nothing new.
type LeavingError struct{ Node string }

func (e LeavingError) Error() string { return fmt.Sprintf("node %s is leaving", e.Node) }

// FolderFailed records that an attempt to open the pending data folder failed, or that one does not return.
func (n *Node) FolderFailed(now kernel.Micros, reason string) []commands.Command {
	n.now = now
	if n.folderFault == "" {
		n.note(decision.Disk, decision.Unhealthy, "the data folder can't be opened: "+reason)
	}
	n.folderFault = reason
	return n.finish()
}

// AttachFolder makes a node whose data folder was pending the folder's member. Until then it had no core, so it has
// neither voted, nor acknowledged a document, nor accepted a bootstrap proposal in this incarnation: it continues from
// the folder's state, as after any start. start is the start number that the folder calls for. The document in force
// stays, even if the folder's is older. An error leaves the node as it was.
func (n *Node) AttachFolder(now kernel.Micros, folder FolderState, start uint64) ([]commands.Command, error) {
	n.now = now
	if !n.settings.IsFolderPending {
		return nil, FolderNotPendingError{n.self()}
	}
	if n.isLeaving {
		return nil, LeavingError{n.self()}
	}
	if own := n.clusterID(); own != "" && folder.Document != nil && folder.Document.ClusterID != own {
		return nil, ForeignFolderError{Found: folder.Document.ClusterID, Own: own}
	}
	n.settings.FolderState = folder
	n.settings.HasFolder, n.settings.IsController, n.settings.IsFolderPending = true, true, false
	n.settings.Start = max(n.settings.Start, start)
	n.note(decision.Disk, decision.Healthy, "the data folder is open; this node is member "+string(folder.Member))
	n.folderFault = ""
	if n.bootstrapper != nil {
		n.bootstrapper.attachFolder(n.settings, n.random)
	}
	n.openCore()
	n.restoreLate(folder.Snapshot)
	n.restoreEnds(folder.Ends)
	// The other nodes learn at once that this node is a controller.
	n.ownRecord.timer, n.requests.timer = now, now
	return n.finish(), nil
}

// openCore creates the core if the settings call for one. A controller without a data folder can never vote. As a mere
// standby it is useful, and has a core, only where three voters are wanted however many members there are.
func (n *Node) openCore() {
	settings := n.settings
	if !settings.IsController || !settings.HasFolder && settings.Voters != 0 {
		return
	}
	coreSettings := settings.core(n.note)
	coreSettings.Random, coreSettings.PushTransfers = n.random, n.pushTransfers
	n.core = NewCore(coreSettings, n.now)
	if applied := n.lease.Applied(); applied != nil {
		n.core.setFleetVoters(applied.VoterAddresses())
	}
}

// restoreLate loads the snapshot of a folder that was attached, unless a document is in force. The fleet's own answers
// are newer than any snapshot.
func (n *Node) restoreLate(from *storage.Snapshot) {
	if n.lease.Applied() != nil {
		from = nil
	}
	n.restore(from)
}
