package expertgroup

import "fmt"

// MapError says that the state lacks a map that its record names.
type MapError struct {
	Group   string
	Version uint64
}

// Error implements error.
func (e *MapError) Error() string {
	return fmt.Sprintf("group %s: the state lacks map %d", e.Group, e.Version)
}
