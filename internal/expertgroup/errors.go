package expertgroup

import "fmt"

// MissingMapError says that the state lacks a map that its record names.
type MissingMapError struct {
	Group   string
	Version uint64
}

// Error implements error.
func (e *MissingMapError) Error() string {
	return fmt.Sprintf("group %s: the state lacks map %d", e.Group, e.Version)
}
