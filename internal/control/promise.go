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

// FolderRolledBack says that a folder holds less than its member has acknowledged.
type FolderRolledBack struct{ Promised, Found Stamp }

func (b FolderRolledBack) Error() string {
	return fmt.Sprintf("this member has acknowledged revision %d of term %d, and its folder only holds revision %d of term %d",
		b.Promised.Revision, b.Promised.Term, b.Found.Revision, b.Found.Term)
}

// checkPromise takes the leader's word on what this member has acknowledged.
func (c *Core) checkPromise(promised Stamp) {
	if !c.promised.before(promised) || !c.synced.before(promised) {
		return
	}
	c.promised = promised
	c.note("disk", "fence", "%v", FolderRolledBack{promised, c.synced})
}

// promiseFile keeps what a folder held once and has lost.
type promiseFile struct {
	Promised Stamp `json:"promised"`
}

const promisedName = "promised.json"

// Promised is the newest document that the folder is known to have held.
func (s *Store) Promised() Stamp { return s.promised }

// readPromise reads what the folder has lost; no file says that it has lost nothing.
func (s *Store) readPromise() error {
	var file promiseFile
	_, err := s.get(promisedName, &file)
	if errors.As(err, new(kernel.MissingFile)) {
		return nil
	}
	s.promised = file.Promised
	return err
}

// loseDocument sets a damaged document aside. Its name still tells what this member has
// acknowledged, and that is written down first; until it can be, the file stays where it is.
func (s *Store) loseDocument(name string) error {
	if lost, isNamed := stampOf(name); isNamed && s.promised.before(lost) {
		s.promised = lost
		if _, err := s.put(promisedName, promiseFile{lost}); err != nil {
			s.aside = append(s.aside, name)
			return nil
		}
	}
	return s.setAside(name)
}

// stampOf reads the name of a document's file.
func stampOf(name string) (Stamp, bool) {
	var stamp Stamp
	if _, err := fmt.Sscanf(name, "generation-%d-%d.json", &stamp.Revision, &stamp.Term); err != nil {
		return Stamp{}, false
	}
	return stamp, fileName(stamp) == name
}
