package history

import (
	"fmt"
	"os"
	"path/filepath"

	billy "github.com/go-git/go-billy/v5"
)

// syncedFiles has every file synced before it counts as written, and the directory
// after each rename: the library itself syncs nothing, and what is not synced does
// not last.
type syncedFiles struct {
	billy.Filesystem
}

type syncedFile struct{ billy.File }

// DiskError says which step on which file failed.
type DiskError struct {
	Step, Name string
	Cause      error
}

func (err DiskError) Error() string { return fmt.Sprintf("%s %s: %v", err.Step, err.Name, err.Cause) }

// Unwrap gives the system's own error.
func (err DiskError) Unwrap() error { return err.Cause }

func (f syncedFile) Close() error {
	if disk, canSync := f.File.(interface{ Sync() error }); canSync {
		if err := disk.Sync(); err != nil {
			f.File.Close()
			return DiskError{"sync", f.Name(), err}
		}
	}
	return f.File.Close()
}

func synced(file billy.File, err error) (billy.File, error) {
	if err != nil {
		return nil, err
	}
	return syncedFile{file}, nil
}

func (s syncedFiles) Create(name string) (billy.File, error) {
	return synced(s.Filesystem.Create(name))
}

func (s syncedFiles) OpenFile(name string, flag int, perm os.FileMode) (billy.File, error) {
	if flag&(os.O_WRONLY|os.O_RDWR) == 0 {
		return s.Filesystem.OpenFile(name, flag, perm)
	}
	return synced(s.Filesystem.OpenFile(name, flag, perm))
}

func (s syncedFiles) TempFile(dir, prefix string) (billy.File, error) {
	return synced(s.Filesystem.TempFile(dir, prefix))
}

func (s syncedFiles) Rename(from, to string) error {
	if err := s.Filesystem.Rename(from, to); err != nil {
		return err
	}
	// A folder made for the file has to last as well as the file in it.
	for dir := filepath.Dir(to); ; dir = filepath.Dir(dir) {
		if err := s.syncDir(dir); err != nil || dir == "." || dir == "/" {
			return err
		}
	}
}

func (s syncedFiles) syncDir(dir string) error {
	path := filepath.Join(s.Root(), dir)
	handle, err := os.Open(path)
	if err != nil {
		return DiskError{"open", path, err}
	}
	defer handle.Close()
	if err := handle.Sync(); err != nil {
		return DiskError{"sync", path, err}
	}
	return nil
}
