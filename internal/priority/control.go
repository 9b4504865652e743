// Package priority decides in which order the requests of a service are served when not all of
// them can be: by the priorities that operators declare for workspaces and routes.
package priority

// Control selects the services whose requests are served by declared priorities.
type Control uint8

const (
	// Auto selects the services whose routes declare different priorities.
	Auto Control = iota
	// All selects every service that has engines.
	All
	// None selects no service.
	None
)

// Controls are the values of Control in settings.
var Controls = map[string]Control{"Auto": Auto, "All": All, "None": None} //nolint:gochecknoglobals // constant table

// Selects reports whether a service is selected. declared says whether its routes declare different
// priorities, engines whether its targets are engines.
func (c Control) Selects(declared, engines bool) bool {
	switch c {
	case All:
		return engines
	case None:
		return false
	default:
		return engines && declared
	}
}
