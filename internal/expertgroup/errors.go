package expertgroup

import "fmt"

// MissingMapError reports that the state lacks a map that its record refers to.
type MissingMapError struct {
	Group   string
	Version uint64
}

func (e *MissingMapError) Error() string {
	return fmt.Sprintf("group %s: map %d is missing from the replicated state", e.Group, e.Version)
}
