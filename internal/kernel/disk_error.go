package kernel

import "fmt"

// MissingFileError says that a folder has no file with this name.
type MissingFileError struct{ Name string }

func (err MissingFileError) Error() string { return fmt.Sprintf("file %q does not exist", err.Name) }

// DiskError says which operation failed on which file or folder.
type DiskError struct {
	Op    string // a verb, such as open, write, sync or rename
	Name  string // the file's name in its folder, or a path
	Cause error
}

func (err DiskError) Error() string { return fmt.Sprintf("%s %s: %v", err.Op, err.Name, err.Cause) }

// Unwrap returns the system's error.
func (err DiskError) Unwrap() error { return err.Cause }

// FolderInUseError says that a data folder is locked by another process.
type FolderInUseError struct{ Path string }

func (err FolderInUseError) Error() string {
	return fmt.Sprintf("folder %s is in use by another process", err.Path)
}
