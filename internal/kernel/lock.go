package kernel

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// LockFolder creates a data folder if it does not exist and locks it against other processes until release
// is called or the process ends. Two processes with the same folder would act as the same member and could
// vote twice. If another process holds the lock, LockFolder returns a [FolderInUseError].
func LockFolder(path string) (release func() error, err error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"make", path, err})
	}
	file, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"open", "lock", err})
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		// Nothing was written, so an error of Close loses no data.
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, FolderInUseError{path}
		}
		return nil, fmt.Errorf("lock the data folder: %w", DiskError{"lock", "lock", err})
	}
	return file.Close, nil
}
