package kernel

import (
	"fmt"
	"sync"
)

// Kernel is the registry of a program's services and has the program's clean-up steps. It may be used from
// any goroutine.
type Kernel struct {
	lock     sync.RWMutex
	services map[string]any
	Cleanup  Cleanup // run by the program at shutdown
}

// ServiceError says why a lookup or registration of a service failed.
type ServiceError struct {
	Name   string
	Reason string
}

func (err ServiceError) Error() string { return fmt.Sprintf("service %q: %s", err.Name, err.Reason) }

// New returns an empty registry.
func New() *Kernel { return &Kernel{services: map[string]any{}} }

// Register adds a service. It returns a [ServiceError] if the name is already registered.
func (kernel *Kernel) Register(name string, service any) error {
	kernel.lock.Lock()
	defer kernel.lock.Unlock()
	if _, isTaken := kernel.services[name]; isTaken {
		return ServiceError{name, "the name is already registered"}
	}
	kernel.services[name] = service
	return nil
}

// Find returns the service that is registered under a name. It returns a [ServiceError] if there is none or
// if it does not have type T.
func Find[T any](kernel *Kernel, name string) (T, error) {
	kernel.lock.RLock()
	defer kernel.lock.RUnlock()
	var zero T
	found, isRegistered := kernel.services[name]
	if !isRegistered {
		return zero, ServiceError{name, "not registered"}
	}
	service, isOfType := found.(T)
	if !isOfType {
		return zero, ServiceError{name, fmt.Sprintf("registered with type %T", found)}
	}
	return service, nil
}
