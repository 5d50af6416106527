// Package kernel starts, finds, drains and stops the services of one process.
//
// The kernel determines the order of services: a service starts after the
// services that it depends on, and is drained and stopped before them. It knows
// nothing of what a service does, and must not import any other package of this
// module.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
)

type (
	// Service is a part of a process that is started and stopped on its own.
	// Function fields that are nil are skipped.
	Service struct {
		// Name is unique in a kernel.
		Name string
		// DependsOn lists the names of services that start before this one.
		DependsOn []string
		// Value is what Find returns to other services.
		Value any
		// Start begins the service's work and returns without waiting for it to end.
		Start func(ctx context.Context) error
		// Drain stops accepting new work and returns when the accepted work has
		// ended or ctx is done.
		Drain func(ctx context.Context) error
		// Stop releases the service's resources. It is called after Drain.
		Stop func(ctx context.Context) error
	}

	// Kernel holds the services of one process. Use New to make one.
	Kernel struct {
		mu       sync.Mutex
		services map[string]*Service
		started  []*Service
	}
)

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]*Service)}
}

// Add registers a service. It returns an error if the name is empty or already
// registered.
func (k *Kernel) Add(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Name == "" {
		return errors.New("adding a service: the name is empty")
	}
	if _, ok := k.services[s.Name]; ok {
		return fmt.Errorf("adding service %q: the name is already registered", s.Name)
	}
	k.services[s.Name] = &s
	return nil
}

// Find returns the value of the named service as a T. It returns an error if
// there is no such service or its value has another type.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return zero, fmt.Errorf("finding service %q: it does not exist", name)
	}
	v, ok := s.Value.(T)
	if !ok {
		return zero, fmt.Errorf("finding service %q: its value is a %T, not a %T", name, s.Value, zero)
	}
	return v, nil
}

// StartOrder returns the names of all services in the order in which they start.
// Services that do not depend on each other are ordered by name. It returns an
// error if a dependency does not exist or if dependencies form a cycle.
func (k *Kernel) StartOrder() ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.startOrder()
}

// Start starts every service. If one fails, those already started are stopped
// in reverse order and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	k.mu.Lock()
	names, err := k.startOrder()
	k.mu.Unlock()
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := k.startService(ctx, name); err != nil {
			return errors.Join(err, k.Stop(ctx))
		}
	}
	return nil
}

// Drain drains every started service, the last started first. All services are
// drained even if one fails; the errors are joined.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.runInReverse(ctx, "draining", func(s *Service) func(context.Context) error { return s.Drain })
}

// Stop stops every started service, the last started first. All services are
// stopped even if one fails; the errors are joined.
func (k *Kernel) Stop(ctx context.Context) error {
	err := k.runInReverse(ctx, "stopping", func(s *Service) func(context.Context) error { return s.Stop })
	k.mu.Lock()
	k.started = nil
	k.mu.Unlock()
	return err
}

func (k *Kernel) startService(ctx context.Context, name string) error {
	k.mu.Lock()
	s := k.services[name]
	k.mu.Unlock()
	if s.Start != nil {
		if err := s.Start(ctx); err != nil {
			return fmt.Errorf("starting service %q: %w", name, err)
		}
	}
	k.mu.Lock()
	k.started = append(k.started, s)
	k.mu.Unlock()
	return nil
}

// runInReverse calls one function of each started service, the last started
// first, and joins the errors. The verb names the step in error messages.
func (k *Kernel) runInReverse(ctx context.Context, verb string, hookOf func(*Service) func(context.Context) error) error {
	k.mu.Lock()
	started := slices.Clone(k.started)
	k.mu.Unlock()
	slices.Reverse(started)
	var errs []error
	for _, s := range started {
		hook := hookOf(s)
		if hook == nil {
			continue
		}
		if err := hook(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s service %q: %w", verb, s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// startOrder sorts the services topologically, depth first. The caller holds mu.
func (k *Kernel) startOrder() ([]string, error) {
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	slices.Sort(names)
	visited := make(map[string]bool, len(names))
	var path, out []string
	var visit func(name, dependent string) error
	visit = func(name, dependent string) error {
		if visited[name] {
			return nil
		}
		if slices.Contains(path, name) {
			return fmt.Errorf("services depend on each other: %s", strings.Join(append(path, name), ", "))
		}
		s, ok := k.services[name]
		if !ok {
			return fmt.Errorf("service %q depends on %q, which does not exist", dependent, name)
		}
		path = append(path, name)
		for _, dependency := range s.DependsOn {
			if err := visit(dependency, name); err != nil {
				return err
			}
		}
		path = path[:len(path)-1]
		visited[name] = true
		out = append(out, name)
		return nil
	}
	for _, name := range names {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return out, nil
}
