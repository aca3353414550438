package storage

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// rebuildRevisionGap is added to the revision of the folder when a core is rebuilt, so that no revision that the
// lost members may have acknowledged is ever used again.
const rebuildRevisionGap = 1 << 20

// Survivor is the state in the data folder of a member whose core has lost its quorum.
type Survivor struct {
	Fleet    string
	Member   cluster.MemberID
	Document *cluster.Document
}

// NoSurvivorError reports that a core can't be rebuilt from a folder.
type NoSurvivorError struct{ Reason string }

func (e NoSurvivorError) Error() string { return "can't rebuild a core from this folder: " + e.Reason }

// ReadSurvivor reads the member and its newest document from a folder. It does not change the folder.
func ReadSurvivor(folder kernel.Folder) (Survivor, error) {
	s := &Store{folder: folder}
	var member memberFile
	if _, err := s.get("member.json", &member); err != nil {
		return Survivor{}, fmt.Errorf("read the data folder: %w", NoSurvivorError{err.Error()})
	}
	if err := member.check(); err != nil {
		return Survivor{}, fmt.Errorf("read the data folder: %w", err)
	}
	names, err := folder.List("generation-")
	if err != nil {
		return Survivor{}, fmt.Errorf("read the data folder: %w", err)
	}
	found := Survivor{Fleet: member.Fleet, Member: member.Member}
	for _, name := range names {
		var document cluster.Document
		// A damaged file is ignored here. The store quarantines it at its next start.
		if _, err := s.get(name, &document); err == nil && found.Document.Position().Before(document.Position()) {
			found.Document = &document
		}
	}
	if found.Document == nil {
		return found, NoSurvivorError{"it contains no readable document"}
	}
	return found, nil
}

// PeerStatus is the response of a node that was queried before a rebuild.
type PeerStatus struct {
	Address   string
	Member    cluster.MemberID `json:"member"`
	ClusterID string           `json:"founding"`
	Revision  uint64           `json:"generation"`
}

// RebuildRefusedError reports that a core must not be rebuilt, because the old core may still have a quorum, was
// rebuilt already, or has a newer document elsewhere.
type RebuildRefusedError struct{ Reason string }

func (e RebuildRefusedError) Error() string { return "the core must not be rebuilt: " + e.Reason }

// CheckPeers checks by the responses of other nodes whether the core may be rebuilt from this folder. The
// error is a RebuildRefusedError.
func (s Survivor) CheckPeers(peers []PeerStatus) error {
	available := 0
	for _, voter := range s.Document.Voters {
		isAvailable := voter.ID == s.Member
		for _, peer := range peers {
			isAvailable = isAvailable || peer.Member == voter.ID && peer.ClusterID == s.Document.ClusterID
		}
		if isAvailable {
			available++
		}
	}
	if available > len(s.Document.Voters)/2 {
		return RebuildRefusedError{fmt.Sprintf("%d of its %d voters are available, which is a majority: start them instead", available, len(s.Document.Voters))}
	}
	for _, peer := range peers {
		switch {
		case peer.ClusterID != "" && peer.ClusterID != s.Document.ClusterID:
			return RebuildRefusedError{peer.Address + " belongs to another cluster: a core was rebuilt already"}
		case peer.ClusterID == s.Document.ClusterID && peer.Revision > s.Document.Revision:
			return RebuildRefusedError{fmt.Sprintf("%s has revision %d, which is newer than revision %d in this folder: rebuild from that node", peer.Address, peer.Revision, s.Document.Revision)}
		}
	}
	return nil
}

// Rebuild returns the first document of a core with a single voter, based on the survivor's document. The cluster
// id is new, so the new cluster and the members and routers of the old one reject each other's messages. The
// register of routers is retained, so that no submission is accepted before a majority of the old routers has
// joined the new cluster. Those that have not joined are then a minority, which can't extend each other's leases.
func (s Survivor) Rebuild(self cluster.Member, clusterID string) *cluster.Document {
	next := s.Document.Next(s.Document.Term + 1)
	next.Revision += rebuildRevisionGap
	next.ClusterID, next.Voters = clusterID, []cluster.Member{self}
	// If a change of the register was not complete yet, the new register is the union of both.
	for _, address := range s.Document.PriorRouters {
		if !slices.Contains(next.Routers, address) {
			next.Routers = append(next.Routers, address)
		}
	}
	next.Routers = cluster.Sorted(next.Routers)
	next.PriorRouters, next.RoutersRevision = nil, next.Revision
	next.Coordinators = map[string]string{}
	return next
}

// WriteRebuilt writes the document of a rebuilt core to a folder. The member's new id is written first. If power
// fails before the document is written, the folder belongs to a new member, which has acknowledged nothing.
func WriteRebuilt(folder kernel.Folder, fleet string, document *cluster.Document) error {
	s := &Store{folder: folder}
	if _, err := s.put("member.json", memberFile{document.Voters[0].ID, fleet, folderFormat}); err != nil {
		return fmt.Errorf("write the rebuilt core: %w", err)
	}
	if _, err := s.put("ballot.json", &cluster.HardState{Term: document.Term}); err != nil {
		return fmt.Errorf("write the rebuilt core: %w", err)
	}
	if _, err := s.put(FileName(document.Position()), document); err != nil {
		return fmt.Errorf("write the rebuilt core: %w", err)
	}
	return nil
}
