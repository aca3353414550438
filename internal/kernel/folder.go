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

// temporarySuffix is the suffix of files that are not complete yet.
const temporarySuffix = ".aside"

// Permission bits of data folders and the files in them.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Folder is the interface through which the stores use a disk. A file appears under its name only once it is
// complete and synced. Names have no path. Errors are of type [DiskError], except that Get returns a
// [MissingFileError] for a file that does not exist.
type Folder interface {
	// Put creates or replaces a file atomically: it writes a temporary file, syncs it, renames it and syncs
	// the directory.
	Put(name string, content []byte) error
	// Get reads a file. It returns a MissingFileError if the file does not exist.
	Get(name string) ([]byte, error)
	// List returns the names of the files that start with a prefix, sorted.
	List(prefix string) ([]string, error)
	// Remove removes a file. It is no error if the file does not exist.
	Remove(name string) error
	// Rename moves a file within the folder and syncs the directory.
	Rename(from, to string) error
}

// DiskFolder is a Folder on a real disk.
type DiskFolder struct{ path string }

// OpenFolder creates the folder if it does not exist, and removes temporary files left by a crash.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("open the data folder: %w", DiskError{"make", path, err})
	}
	leftovers, err := ListFiles(path, "", temporarySuffix)
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	// Removing these files loses nothing: a write is acknowledged only after its file was renamed.
	for _, name := range leftovers {
		if err := os.Remove(filepath.Join(path, name)); err != nil {
			return nil, fmt.Errorf("open the data folder: %w", DiskError{"remove", name, err})
		}
	}
	return &DiskFolder{path}, SyncFolder(path)
}

// ListFiles returns the names in a folder that start with a prefix and end with a suffix, sorted. Unlike
// filepath.Glob, it takes the path, the prefix and the suffix literally and not as patterns. An error is a
// [DiskError].
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

// SyncFolder syncs a directory, so that files that were created, renamed or removed in it stay so after a
// power failure. An error is a [DiskError].
func SyncFolder(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return DiskError{"open", path, err}
	}
	err = directory.Sync()
	// The directory is open for reading only, so an error of Close loses no data.
	_ = directory.Close()
	if err != nil {
		return DiskError{"sync", path, err}
	}
	return nil
}

// Put creates or replaces a file atomically: it writes a temporary file, syncs it, renames it and syncs the
// directory. If a step fails, it removes the temporary file.
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
	// Removing the file frees its space; otherwise a full disk would stay full.
	if removeErr := f.Remove(temporary); removeErr != nil {
		return errors.Join(err, removeErr)
	}
	return err
}

// writeSynced writes and syncs a file. It closes the file even if a step fails.
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

// Get reads a file. It returns a [MissingFileError] if the file does not exist.
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

// List returns the names of the files that start with a prefix, sorted. It leaves out temporary files.
func (f *DiskFolder) List(prefix string) ([]string, error) {
	names, err := ListFiles(f.path, prefix, "")
	if err != nil {
		return nil, err
	}
	isTemporary := func(name string) bool { return strings.HasSuffix(name, temporarySuffix) }
	return slices.DeleteFunc(names, isTemporary), nil
}

// Remove removes a file. It is no error if the file does not exist.
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
