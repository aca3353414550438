package kernel

import (
	"errors"
	"slices"
	"sync"
)

// Cleanup is a stack of functions that a process runs in reverse order at shutdown. The zero value is
// empty and ready for use. Its methods may be called from any goroutine.
type Cleanup struct {
	lock  sync.Mutex
	steps []func() error
}

// Defer adds a step, which runs before those that were added earlier.
func (cleanup *Cleanup) Defer(step func() error) {
	cleanup.lock.Lock()
	defer cleanup.lock.Unlock()
	cleanup.steps = append(cleanup.steps, step)
}

// Run runs each step once, the newest first, and joins their errors. A step that fails does not prevent
// the others from running.
func (cleanup *Cleanup) Run() error {
	var failures []error
	for _, step := range slices.Backward(cleanup.take()) {
		failures = append(failures, step())
	}
	return errors.Join(failures...)
}

// take returns all steps and empties the stack. Run calls the steps without the lock, so they may add
// further steps.
func (cleanup *Cleanup) take() []func() error {
	cleanup.lock.Lock()
	defer cleanup.lock.Unlock()
	steps := cleanup.steps
	cleanup.steps = nil
	return steps
}
