package routes

import (
	"fmt"
	"strings"
)

// InvalidError describes what is wrong with a declaration.
type InvalidError struct {
	// Subject names the invalid route, service or workspace.
	Subject string
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Subject + ": " + e.Problem }

// CheckForEntries returns an *InvalidError if entries can't make a table of what d is on the wire.
func (d *Declaration) CheckForEntries() error {
	if err := d.Check(); err != nil {
		return err
	}

	_, err := NewTable(FromWire(d.ToWire()))

	return err
}

// Check returns an *InvalidError if the declaration is invalid.
func (d *Declaration) Check() error {
	services := make(map[string]bool, len(d.Services))

	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || services[name] {
			return &InvalidError{Subject: fmt.Sprintf("service %q", name), Problem: "has no name or is declared twice"}
		}

		services[name] = true
	}

	keys := make(map[routeKey]bool, len(d.Routes))

	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}

		if keys[keyOf(r)] {
			return &InvalidError{Subject: r.subject(), Problem: "another route has the same host and prefix"}
		}

		keys[keyOf(r)] = true
	}

	return d.checkWorkspaceKeys()
}

func (r *Route) subject() string { return fmt.Sprintf("route %q", r.Name) }

func (r *Route) check(services map[string]bool) error {
	total := uint64(0)

	for _, s := range r.Shares {
		if !services[s.Service] {
			return &InvalidError{Subject: r.subject(), Problem: fmt.Sprintf("service %q is not declared", s.Service)}
		}

		total += uint64(s.Weight)
	}

	switch {
	case total == 0:
		return &InvalidError{Subject: r.subject(), Problem: "the weights add up to 0"}
	case r.Timeout <= 0:
		return &InvalidError{Subject: r.subject(), Problem: "the timeout is not above 0"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &InvalidError{Subject: r.subject(), Problem: "the prefix does not begin and end with a slash"}
	}

	return nil
}

func (d *Declaration) checkWorkspaceKeys() error {
	owners := map[string]string{}

	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			if other, ok := owners[key]; ok && other != w.Name {
				return &InvalidError{Subject: fmt.Sprintf("workspace %q", w.Name), Problem: fmt.Sprintf("shares a key with workspace %q", other)}
			}

			owners[key] = w.Name
		}
	}

	return nil
}
