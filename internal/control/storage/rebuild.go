package storage

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// rebuildRevisionGap is how far a rebuilt core begins above what its folder holds, so that
// no revision that the lost members may have acknowledged is ever given out again.
const rebuildRevisionGap = 1 << 20

// Survivor is what a data folder says of the core that it was part of.
type Survivor struct {
	Fleet    string
	Member   cluster.MemberID
	Document *cluster.Document
}

// NoSurvivorError says that a folder holds nothing that a core could be rebuilt from.
type NoSurvivorError struct{ Why string }

func (b NoSurvivorError) Error() string { return "no core can be rebuilt from this folder: " + b.Why }

// ReadSurvivor reads a folder and changes nothing in it.
func ReadSurvivor(folder kernel.Folder) (Survivor, error) {
	s := &Store{folder: folder}
	var member memberFile
	if _, err := s.get("member.json", &member); err != nil {
		return Survivor{}, fmt.Errorf("look at the folder: %w", NoSurvivorError{err.Error()})
	}
	if err := member.check(); err != nil {
		return Survivor{}, fmt.Errorf("look at the folder: %w", err)
	}
	names, err := folder.List("generation-")
	if err != nil {
		return Survivor{}, fmt.Errorf("look at the folder: %w", err)
	}
	found := Survivor{Fleet: member.Fleet, Member: member.Member}
	for _, name := range names {
		var document cluster.Document
		// A damaged file counts as not there; the store sets it aside at its next start.
		if _, err := s.get(name, &document); err == nil && found.Document.Position().Before(document.Position()) {
			found.Document = &document
		}
	}
	if found.Document == nil {
		return found, NoSurvivorError{"it holds no document that can be read"}
	}
	return found, nil
}

// Witness is what a member of the old core said when it was asked before a rebuild.
type Witness struct {
	Address   string
	Member    cluster.MemberID `json:"member"`
	ClusterID string           `json:"founding"`
	Revision  uint64           `json:"generation"`
}

// StillAliveError says that a core must not be rebuilt, since one can still speak.
type StillAliveError struct{ Why string }

func (b StillAliveError) Error() string { return "the core must not be rebuilt: " + b.Why }

// CheckWitnesses holds the witnesses against a rebuild from this folder.
func (s Survivor) CheckWitnesses(witnesses []Witness) error {
	living := 0
	for _, voter := range s.Document.Voters {
		isAlive := voter.ID == s.Member
		for _, witness := range witnesses {
			isAlive = isAlive || witness.Member == voter.ID && witness.ClusterID == s.Document.ClusterID
		}
		if isAlive {
			living++
		}
	}
	if living > len(s.Document.Voters)/2 {
		return StillAliveError{fmt.Sprintf("%d of its %d voters are there, which is a majority: start them", living, len(s.Document.Voters))}
	}
	for _, witness := range witnesses {
		switch {
		case witness.ClusterID != "" && witness.ClusterID != s.Document.ClusterID:
			return StillAliveError{witness.Address + " belongs to another founding: a core was rebuilt already"}
		case witness.ClusterID == s.Document.ClusterID && witness.Revision > s.Document.Revision:
			return StillAliveError{fmt.Sprintf("%s holds revision %d, this folder only %d: rebuild from that one", witness.Address, witness.Revision, s.Document.Revision)}
		}
	}
	return nil
}

// Rebuild makes a core of one voter out of a survivor's document. It is another founding:
// no member or router of the old one takes its messages, or is listened to. The register
// stays, so that no order gets a yes before a majority of the old fleet's routers is in
// the new one; those that are not are then too few to license each other any longer.
func (s Survivor) Rebuild(self cluster.Member, clusterID string) *cluster.Document {
	next := s.Document.Next(s.Document.Term + 1)
	next.Revision += rebuildRevisionGap
	next.ClusterID, next.Voters = clusterID, []cluster.Member{self}
	// A change of the register that was not settled yet is settled by the larger of both.
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

// WriteRebuilt puts a rebuilt core into its folder: the member's new id first, so that
// after a power cut in between the folder is that of a newcomer, which promises nothing.
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
