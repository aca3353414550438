package control

import (
	"errors"
	"fmt"

	"dunlinloom/internal/kernel"
)

// A member must not vote as if it held less than it has acknowledged: a candidate that lacks a
// committed document could then win by its vote. Votes are therefore weighed against the newest
// document that this member is known to have acknowledged, even where its folder no longer holds
// it, because the file is damaged or the folder was put back from an older copy.

// FolderRolledBackError says that a folder holds less than its member has acknowledged.
type FolderRolledBackError struct{ Acknowledged, Found Position }

func (b FolderRolledBackError) Error() string {
	return fmt.Sprintf("this member has acknowledged revision %d of term %d, and its folder only holds revision %d of term %d",
		b.Acknowledged.Revision, b.Acknowledged.Term, b.Found.Revision, b.Found.Term)
}

// checkAcknowledgedPosition takes the leader's word on what this member has acknowledged.
func (c *Core) checkAcknowledgedPosition(acknowledged Position) {
	if !c.acknowledged.Before(acknowledged) || !c.synced.Before(acknowledged) {
		return
	}
	c.acknowledged = acknowledged
	c.note("disk", "fence", "%v", FolderRolledBackError{acknowledged, c.synced})
}

// acknowledgedFile keeps what a folder held once and has lost.
type acknowledgedFile struct {
	Acknowledged Position `json:"promised"`
}

const acknowledgedName = "promised.json"

// Acknowledged is the newest document that the folder is known to have held.
func (s *Store) Acknowledged() Position { return s.acknowledged }

// readAcknowledged reads what the folder has lost; no file says that it has lost nothing.
func (s *Store) readAcknowledged() error {
	var file acknowledgedFile
	_, err := s.get(acknowledgedName, &file)
	if errors.As(err, new(kernel.MissingFileError)) {
		return nil
	}
	s.acknowledged = file.Acknowledged
	return err
}

// setAsideDocument sets a damaged document aside. Its name still tells what this member has
// acknowledged, and that is written down first; until it can be, the file stays where it is.
func (s *Store) setAsideDocument(name string) error {
	if lost, isNamed := positionOf(name); isNamed && s.acknowledged.Before(lost) {
		s.acknowledged = lost
		if _, err := s.put(acknowledgedName, acknowledgedFile{lost}); err != nil {
			s.quarantined = append(s.quarantined, name)
			return nil
		}
	}
	return s.quarantine(name)
}

// positionOf reads the name of a document's file.
func positionOf(name string) (Position, bool) {
	var position Position
	if _, err := fmt.Sscanf(name, "generation-%d-%d.json", &position.Revision, &position.Term); err != nil {
		return Position{}, false
	}
	return position, fileName(position) == name
}
