package kernel

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// FolderInUseError says that another process holds a data folder.
type FolderInUseError struct{ Path string }

func (err FolderInUseError) Error() string {
	return fmt.Sprintf("folder %s is in use by another process", err.Path)
}

// LockFolder keeps others off a data folder until release is called or the process
// ends. Two processes on one folder would be one member with two minds.
func LockFolder(path string) (release func() error, err error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"make", path, err})
	}
	file, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"open", "lock", err})
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, FolderInUseError{path}
		}
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"lock", "lock", err})
	}
	return file.Close, nil
}
