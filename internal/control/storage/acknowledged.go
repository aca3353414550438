package storage

import (
	"errors"
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// acknowledgedFile keeps what a folder held once and has lost.
type acknowledgedFile struct {
	Acknowledged cluster.Position `json:"promised"`
}

// AcknowledgedName is the file of the newest position that the folder is known to have held and has lost.
// It is exported for a test of votes after a loss, which needs the core beside the store.
const AcknowledgedName = "promised.json"

// Acknowledged is the newest document that the folder is known to have held.
func (s *Store) Acknowledged() cluster.Position { return s.acknowledged }

// readAcknowledged reads what the folder has lost; no file says that it has lost nothing.
func (s *Store) readAcknowledged() error {
	var file acknowledgedFile
	_, err := s.get(AcknowledgedName, &file)
	if errors.As(err, new(kernel.MissingFileError)) {
		return nil
	}
	s.acknowledged = file.Acknowledged
	return err
}

// quarantineDocument sets a damaged document aside. Its name still tells what this member has
// acknowledged, and that is written down first; until it can be, the file stays where it is.
func (s *Store) quarantineDocument(name string) error {
	if lost, isNamed := positionOf(name); isNamed && s.acknowledged.Before(lost) {
		s.acknowledged = lost
		if _, err := s.put(AcknowledgedName, acknowledgedFile{lost}); err != nil {
			s.quarantined = append(s.quarantined, name)
			return nil
		}
	}
	return s.quarantine(name)
}

// positionOf reads the name of a document's file.
func positionOf(name string) (cluster.Position, bool) {
	var position cluster.Position
	if _, err := fmt.Sscanf(name, "generation-%d-%d.json", &position.Revision, &position.Term); err != nil {
		return cluster.Position{}, false
	}
	return position, FileName(position) == name
}
