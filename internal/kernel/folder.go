package kernel

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// temporarySuffix ends the name of a file that is not complete yet.
const temporarySuffix = ".aside"

// Modes of what a data folder has.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Folder is what the stores need of a disk: a file appears under its name only once it is complete and
// synced. Names are without a path. Errors are [DiskError], but for Get of a file that does not exist.
type Folder interface {
	// Put replaces a file: it writes a temporary one, syncs it, renames it and syncs the directory.
	Put(name string, content []byte) error
	// Get reads a file; one that does not exist is a MissingFileError.
	Get(name string) ([]byte, error)
	// List returns the names that start with a prefix, sorted.
	List(prefix string) ([]string, error)
	// Remove removes a file; one that does not exist is no error.
	Remove(name string) error
	// Rename moves a file within the folder and syncs the directory.
	Rename(from, to string) error
}

// DiskFolder is a Folder on a real disk.
type DiskFolder struct{ path string }

// OpenFolder makes the folder if need be, and removes the temporary files that a crash left.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("open the data folder: %w", DiskError{"make", path, err})
	}
	leftovers, err := ListFiles(path, "", temporarySuffix)
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	// Nobody was given an acknowledgement for a file that still has its temporary name.
	for _, name := range leftovers {
		if err := os.Remove(filepath.Join(path, name)); err != nil {
			return nil, fmt.Errorf("open the data folder: %w", DiskError{"remove", name, err})
		}
	}
	return &DiskFolder{path}, SyncFolder(path)
}

// ListFiles returns the names in a folder that start with a prefix and end with a suffix, sorted. Nothing in the path
// or in these is a pattern, as it would be to filepath.Glob. An error is a [DiskError].
func ListFiles(path, prefix, suffix string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, DiskError{"list", path, err}
	}
	names := []string{}
	for _, entry := range entries {
		if name := entry.Name(); strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// SyncFolder syncs a directory, so that names that were made, renamed or removed in it survive a power
// failure. An error is a [DiskError].
func SyncFolder(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return DiskError{"open", path, err}
	}
	err = directory.Sync()
	// It is open for reading alone: closing it can lose nothing.
	_ = directory.Close()
	if err != nil {
		return DiskError{"sync", path, err}
	}
	return nil
}

// Put replaces a file: it writes a temporary one, syncs it, renames it and syncs the directory.
func (f *DiskFolder) Put(name string, content []byte) error {
	temporary := name + temporarySuffix
	path := filepath.Join(f.path, temporary)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return DiskError{"create", path, err}
	}
	err = writeSynced(file, content)
	if err == nil {
		err = f.Rename(temporary, name)
	}
	if err == nil {
		return nil
	}
	// The space of a failed write is freed, or a full disk would stay full.
	if removeErr := f.Remove(temporary); removeErr != nil {
		return errors.Join(err, removeErr)
	}
	return err
}

// writeSynced writes a file, syncs it and closes it in any case.
func writeSynced(file *os.File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return DiskError{"write", file.Name(), errors.Join(err, file.Close())}
	}
	if err := file.Sync(); err != nil {
		return DiskError{"sync", file.Name(), errors.Join(err, file.Close())}
	}
	if err := file.Close(); err != nil {
		return DiskError{"close", file.Name(), err}
	}
	return nil
}

// Get reads a file; one that does not exist is a [MissingFileError].
func (f *DiskFolder) Get(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(f.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, MissingFileError{name}
	}
	if err != nil {
		return nil, DiskError{"read", name, err}
	}
	return content, nil
}

// List returns the names that start with a prefix, sorted, without temporary files.
func (f *DiskFolder) List(prefix string) ([]string, error) {
	names, err := ListFiles(f.path, prefix, "")
	if err != nil {
		return nil, err
	}
	isTemporary := func(name string) bool { return strings.HasSuffix(name, temporarySuffix) }
	return slices.DeleteFunc(names, isTemporary), nil
}

// Remove removes a file; one that does not exist is no error.
func (f *DiskFolder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return DiskError{"remove", name, err}
	}
	return nil
}

// Rename moves a file within the folder and syncs the directory.
func (f *DiskFolder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return DiskError{"rename", from, err}
	}
	return SyncFolder(f.path)
}
