package history

import (
	"errors"
	"os"
	"path/filepath"

	"dunlinloom/internal/kernel"
	billy "github.com/go-git/go-billy/v5"
)

// syncedFiles is a file system that syncs each written file when it is closed. After a rename it syncs all parent
// directories of the new name. The Git library itself syncs nothing, so a power failure could lose what it wrote.
type syncedFiles struct {
	billy.Filesystem
}

type syncedFile struct{ billy.File }

func (f syncedFile) Close() error {
	if disk, canSync := f.File.(interface{ Sync() error }); canSync {
		if err := disk.Sync(); err != nil {
			return kernel.DiskError{Op: "sync", Name: f.Name(), Cause: errors.Join(err, f.File.Close())}
		}
	}
	return f.File.Close()
}

func withSync(file billy.File, err error) (billy.File, error) {
	if err != nil {
		return nil, err
	}
	return syncedFile{file}, nil
}

func (s syncedFiles) Create(name string) (billy.File, error) {
	return withSync(s.Filesystem.Create(name))
}

func (s syncedFiles) OpenFile(name string, flag int, perm os.FileMode) (billy.File, error) {
	if flag&(os.O_WRONLY|os.O_RDWR) == 0 {
		return s.Filesystem.OpenFile(name, flag, perm)
	}
	return withSync(s.Filesystem.OpenFile(name, flag, perm))
}

func (s syncedFiles) TempFile(dir, prefix string) (billy.File, error) {
	return withSync(s.Filesystem.TempFile(dir, prefix))
}

func (s syncedFiles) Rename(from, to string) error {
	if err := s.Filesystem.Rename(from, to); err != nil {
		return err
	}
	// All parent directories are synced, since some may have been created for the file.
	for directory := filepath.Dir(to); ; directory = filepath.Dir(directory) {
		err := kernel.SyncFolder(filepath.Join(s.Root(), directory))
		if err != nil || directory == "." || directory == "/" {
			return err
		}
	}
}
