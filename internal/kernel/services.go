package kernel

import (
	"fmt"
	"sync"
)

// Kernel is the registry of a program's services, with the clean-up steps of the program. It may be
// used from any goroutine.
type Kernel struct {
	lock     sync.RWMutex
	services map[string]any
	Cleanup  Cleanup // run by the program as it ends
}

// ServiceError says why a service could not be found or registered.
type ServiceError struct {
	Name   string
	Reason string
}

func (err ServiceError) Error() string { return fmt.Sprintf("service %q: %s", err.Name, err.Reason) }

// Open makes an empty registry.
func Open() *Kernel { return &Kernel{services: map[string]any{}} }

// Register registers a service. A name that is taken is a [ServiceError].
func (kernel *Kernel) Register(name string, service any) error {
	kernel.lock.Lock()
	defer kernel.lock.Unlock()
	if _, isTaken := kernel.services[name]; isTaken {
		return ServiceError{name, "the name is taken"}
	}
	kernel.services[name] = service
	return nil
}

// Find returns the service of a name. A name that is not registered, or a service of another type, is
// a [ServiceError].
func Find[T any](kernel *Kernel, name string) (T, error) {
	kernel.lock.RLock()
	defer kernel.lock.RUnlock()
	var none T
	found, isRegistered := kernel.services[name]
	if !isRegistered {
		return none, ServiceError{name, "there is none"}
	}
	service, isOfType := found.(T)
	if !isOfType {
		return none, ServiceError{name, fmt.Sprintf("it is a %T", found)}
	}
	return service, nil
}
