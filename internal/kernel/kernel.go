package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"k8s.io/klog/v2"
)

// Identity says which node of which fleet is speaking.
type Identity struct {
	Fleet   string `json:"fleet"`
	Address string `json:"address"` // the peer address, by which other nodes know it
	Public  string `json:"public"`  // where callers and operators reach it
	Zone    string `json:"zone"`
}

// Env is the one context type: whatever a piece of work needs to know of its
// surroundings, in place of many arguments.
type Env struct {
	context.Context
	Clock   Clock
	Log     klog.Logger
	Self    Identity
	Journal *Journal
}

// With gives the same surroundings under another context.
func (env Env) With(ctx context.Context) Env {
	env.Context = ctx
	return env
}

// Record puts a decision and its reason into the journal.
func (env Env) Record(component, subject, decision, reason string) {
	env.Journal.Record(env.Clock.Now(), component, subject, decision, reason)
}

// LogJSON makes klog write JSON lines to standard error.
func LogJSON(attrs ...slog.Attr) klog.Logger {
	handler := slog.NewJSONHandler(os.Stderr, nil).WithAttrs(attrs)
	klog.SetSlogLogger(slog.New(handler))
	return klog.Background()
}

// Cleanup is a stack of clean-up steps, run in reverse when the process ends.
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

// Run takes every step, the newest first, and joins what failed.
func (cleanup *Cleanup) Run() error {
	cleanup.lock.Lock()
	steps := cleanup.steps
	cleanup.steps = nil
	cleanup.lock.Unlock()
	var failed []error
	for i := len(steps) - 1; i >= 0; i-- {
		failed = append(failed, steps[i]())
	}
	return errors.Join(failed...)
}

// Kernel is the table of services.
type Kernel struct {
	lock     sync.RWMutex
	services map[string]any
	Cleanup  Cleanup
}

// ServiceError says why a service could not be found or placed.
type ServiceError struct {
	Name   string
	Reason string
}

func (err ServiceError) Error() string { return fmt.Sprintf("service %q: %s", err.Name, err.Reason) }

// Open makes an empty table.
func Open() *Kernel { return &Kernel{services: map[string]any{}} }

// Register enters a service under a name that is still free.
func (kernel *Kernel) Register(name string, service any) error {
	kernel.lock.Lock()
	defer kernel.lock.Unlock()
	if _, isTaken := kernel.services[name]; isTaken {
		return ServiceError{name, "the name is taken"}
	}
	kernel.services[name] = service
	return nil
}

// Find looks a service up by name and checks that it is of the wanted type.
func Find[T any](h *Kernel, name string) (T, error) {
	h.lock.RLock()
	defer h.lock.RUnlock()
	var none T
	found, isThere := h.services[name]
	if !isThere {
		return none, ServiceError{name, "there is none"}
	}
	service, isFit := found.(T)
	if !isFit {
		return none, ServiceError{name, fmt.Sprintf("it is a %T", found)}
	}
	return service, nil
}
