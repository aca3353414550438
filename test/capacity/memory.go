package capacity

// In-memory data folder.

import (
	"slices"
	"strings"

	"dunlinloom/internal/kernel"
)

// memoryFolder is a kernel.Folder that keeps its files in memory.
type memoryFolder struct{ files map[string][]byte }

func (m *memoryFolder) Put(name string, content []byte) error {
	m.files[name] = slices.Clone(content)
	return nil
}

func (m *memoryFolder) Get(name string) ([]byte, error) {
	content, isThere := m.files[name]
	if !isThere {
		return nil, kernel.MissingFileError{Name: name}
	}
	return slices.Clone(content), nil
}

func (m *memoryFolder) List(prefix string) ([]string, error) {
	names := []string{}
	for name := range m.files {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFolder) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memoryFolder) Rename(from, to string) error {
	if content, isThere := m.files[from]; isThere {
		m.files[to] = content
		delete(m.files, from)
	}
	return nil
}
