package kernel

import (
	"errors"
	"slices"
	"sync"
)

// Cleanup is a stack of steps that run in reverse order as the process ends. The zero value is empty;
// it may be used from any goroutine.
type Cleanup struct {
	lock  sync.Mutex
	steps []func() error
}

// Defer adds a step.
func (cleanup *Cleanup) Defer(step func() error) {
	cleanup.lock.Lock()
	defer cleanup.lock.Unlock()
	cleanup.steps = append(cleanup.steps, step)
}

// Run runs each step once, the newest first, also after one failed, and joins the errors.
func (cleanup *Cleanup) Run() error {
	var failures []error
	for _, step := range slices.Backward(cleanup.take()) {
		failures = append(failures, step())
	}
	return errors.Join(failures...)
}

// take empties the stack, so that steps run without the lock and may add further ones.
func (cleanup *Cleanup) take() []func() error {
	cleanup.lock.Lock()
	defer cleanup.lock.Unlock()
	steps := cleanup.steps
	cleanup.steps = nil
	return steps
}
