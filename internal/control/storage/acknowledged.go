package storage

import (
	"errors"
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// acknowledgedFile is the content of the file named AcknowledgedName.
type acknowledgedFile struct {
	Acknowledged cluster.Position `json:"promised"`
}

// AcknowledgedName is the file with the position of the newest document that the folder is known to have had and
// has lost. It is exported for a test of votes after such a loss, which needs the core.
const AcknowledgedName = "promised.json"

// Acknowledged returns the position of the newest document that the folder has, or is known to have had.
func (s *Store) Acknowledged() cluster.Position { return s.acknowledged }

// readAcknowledged reads the acknowledged position. If the file is missing, the folder has not lost a document.
func (s *Store) readAcknowledged() error {
	var file acknowledgedFile
	_, err := s.get(AcknowledgedName, &file)
	if errors.As(err, new(kernel.MissingFileError)) {
		return nil
	}
	s.acknowledged = file.Acknowledged
	return err
}

// quarantineDocument quarantines the file of a damaged document. The file name still tells which position this
// member has acknowledged, so that position is written to disk first. If the write fails, the file keeps its name.
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

// positionOf parses the file name of a document.
func positionOf(name string) (cluster.Position, bool) {
	var position cluster.Position
	if _, err := fmt.Sscanf(name, "generation-%d-%d.json", &position.Revision, &position.Term); err != nil {
		return cluster.Position{}, false
	}
	return position, FileName(position) == name
}
