package kernel

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
)

// Folder is what the stores need of a disk: whole files that appear under
// their name only once they are synced.
type Folder interface {
	// Put writes a file aside, syncs it, renames it and syncs the directory.
	Put(name string, content []byte) error
	Get(name string) ([]byte, error)
	// List names the files whose name starts so, in order.
	List(prefix string) ([]string, error)
	Remove(name string) error
	// Rename moves a file within the folder and syncs the directory.
	Rename(from, to string) error
}

// MissingFileError says that a folder has no file of that name.
type MissingFileError struct{ Name string }

func (err MissingFileError) Error() string { return fmt.Sprintf("file %q is not there", err.Name) }

// DiskError says which step on which file failed.
type DiskError struct {
	Step  string
	Name  string
	Cause error
}

func (err DiskError) Error() string { return fmt.Sprintf("%s %s: %v", err.Step, err.Name, err.Cause) }

// Unwrap gives the system's own error.
func (err DiskError) Unwrap() error { return err.Cause }

// DiskFolder is a Folder on a real disk.
type DiskFolder struct{ path string }

// OpenFolder makes the folder if need be and clears what a crash left aside.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("open the data folder: %w", DiskError{"make", path, err})
	}
	folder := &DiskFolder{path}
	leftovers, err := filepath.Glob(filepath.Join(path, "*.aside"))
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", DiskError{"list", path, err})
	}
	// A file still under its aside name was never promised to anyone.
	for _, name := range leftovers {
		if err := os.Remove(name); err != nil {
			return nil, fmt.Errorf("open the data folder: %w", DiskError{"remove", name, err})
		}
	}
	return folder, folder.syncDir()
}

func (f *DiskFolder) syncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return DiskError{"open", f.path, err}
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return DiskError{"sync", f.path, err}
	}
	return nil
}

// Put writes a file aside, syncs it, renames it and syncs the directory.
func (f *DiskFolder) Put(name string, content []byte) (err error) {
	temporary := filepath.Join(f.path, name+".aside")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return DiskError{"create", temporary, err}
	}
	// A failed write must give its room back, or a full disk stays full.
	defer func() {
		if err != nil {
			os.Remove(temporary)
		}
	}()
	if _, err := file.Write(content); err != nil {
		file.Close()
		return DiskError{"write", temporary, err}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return DiskError{"sync", temporary, err}
	}
	if err := file.Close(); err != nil {
		return DiskError{"close", temporary, err}
	}
	return f.Rename(name+".aside", name)
}

// Get reads a whole file.
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

// List names the files whose name starts so, in order.
func (f *DiskFolder) List(prefix string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(f.path, prefix+"*"))
	if err != nil {
		return nil, DiskError{"list", prefix, err}
	}
	names := []string{}
	for _, path := range paths {
		if filepath.Ext(path) != ".aside" {
			names = append(names, filepath.Base(path))
		}
	}
	sort.Strings(names)
	return names, nil
}

// Remove deletes a file; one that is gone already is no failure.
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
	return f.syncDir()
}
