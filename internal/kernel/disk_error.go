package kernel

import "fmt"

// MissingFileError says that a folder has no file of that name.
type MissingFileError struct{ Name string }

func (err MissingFileError) Error() string { return fmt.Sprintf("file %q is not there", err.Name) }

// DiskError says which step on which file or folder failed.
type DiskError struct {
	Op    string // a verb, such as open, write, sync or rename
	Name  string // of the file in its folder, or a path
	Cause error
}

func (err DiskError) Error() string { return fmt.Sprintf("%s %s: %v", err.Op, err.Name, err.Cause) }

// Unwrap returns the system's error.
func (err DiskError) Unwrap() error { return err.Cause }

// FolderInUseError says that another process has locked a data folder.
type FolderInUseError struct{ Path string }

func (err FolderInUseError) Error() string {
	return fmt.Sprintf("folder %s is in use by another process", err.Path)
}
