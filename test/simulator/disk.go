// Package simulator simulates whole fleets, with requests and faults drawn from a seed. It runs the
// same state machines as the daemons, in virtual time, on a simulated network and simulated disks.
package simulator

import (
	"sort"
	"strings"

	"dunlinloom/internal/kernel"
)

// powerLostError reports that the power was lost before a step on the disk.
type powerLostError struct{ name string }

func (err powerLostError) Error() string { return "power lost before " + err.name }

// diskFullError reports that the disk is full.
type diskFullError struct{ name string }

func (err diskFullError) Error() string { return "no space left for " + err.name }

// disk is an in-memory Folder that survives a restart of its machine. The number of steps can
// be limited, so that a power loss falls between any two of them.
type disk struct {
	files          map[string][]byte
	isFull         bool
	stepsToFailure int // steps until the power is lost; negative for never
	isStalled      bool
	slowness       kernel.Micros
}

func newDisk() *disk { return &disk{files: map[string][]byte{}, stepsToFailure: -1} }

// failAfter makes the power fail after the given number of steps; negative for never.
func (d *disk) failAfter(steps int) { d.stepsToFailure = steps }

func (d *disk) step(name string) error {
	if d.stepsToFailure == 0 {
		return kernel.DiskError{Op: "reach", Name: name, Cause: powerLostError{name}}
	}
	if d.stepsToFailure > 0 {
		d.stepsToFailure--
	}
	return nil
}

func (d *disk) Put(name string, content []byte) error {
	if err := d.step(name); err != nil {
		return err
	}
	if d.isFull {
		return kernel.DiskError{Op: "write", Name: name, Cause: diskFullError{name}}
	}
	d.files[name] = append([]byte(nil), content...)
	return nil
}

func (d *disk) Get(name string) ([]byte, error) {
	content, isThere := d.files[name]
	if !isThere {
		return nil, kernel.MissingFileError{Name: name}
	}
	return append([]byte(nil), content...), nil
}

func (d *disk) List(prefix string) ([]string, error) {
	names := []string{}
	for name := range d.files {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(name); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(from); err != nil {
		return err
	}
	if content, isThere := d.files[from]; isThere {
		d.files[to] = content
		delete(d.files, from)
	}
	return nil
}
