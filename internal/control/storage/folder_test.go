package storage

import (
	"maps"
	"slices"
	"strings"

	"dunlinloom/internal/kernel"
)

// memoryFolder is a kernel.Folder in memory. It maps file names to contents.
type memoryFolder map[string][]byte

func (f memoryFolder) Put(name string, content []byte) error {
	f[name] = content
	return nil
}

func (f memoryFolder) Get(name string) ([]byte, error) {
	content, exists := f[name]
	if !exists {
		return nil, kernel.MissingFileError{Name: name}
	}
	return content, nil
}

func (f memoryFolder) List(prefix string) ([]string, error) {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(f)), func(name string) bool { return !strings.HasPrefix(name, prefix) }), nil
}

func (f memoryFolder) Remove(name string) error {
	delete(f, name)
	return nil
}

func (f memoryFolder) Rename(from, to string) error {
	content, exists := f[from]
	if !exists {
		return kernel.MissingFileError{Name: from}
	}
	delete(f, from)
	f[to] = content
	return nil
}

// bytes returns the total size of all files.
func (f memoryFolder) bytes() int {
	total := 0
	for _, content := range f {
		total += len(content)
	}
	return total
}
