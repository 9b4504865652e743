package intent

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Base is the state against which a plan is made.
type Base struct {
	// Version is the configuration version of Records.
	Version uint64
	Records []*wire.Record
	// Loads holds the loads that processes last reported, by process ID.
	Loads map[string]*wire.NodeLoad
	// StopBlocker returns why the control VM of that name must not be stopped now, or
	// "". Nil means that no stop is known to be unsafe.
	StopBlocker func(name string) string
}

func (b *Base) byKey() map[string]*wire.Record {
	out := make(map[string]*wire.Record, len(b.Records))
	for _, r := range b.Records {
		out[r.GetKey()] = r
	}

	return out
}

// Changes returns the changes that the declaration would make to the state, ordered by
// kind of section. An error is of type *Error.
func (d *Declaration) Changes(base Base) ([]*wire.Change, error) {
	current := base.byKey()
	next := map[string]*wire.Record{}

	var order []string

	for _, s := range d.sortedSections() {
		key := s.key()

		before, touched := next[key]
		if !touched {
			before = current[key]

			order = append(order, key)
		}

		after, err := s.applyTo(before)
		if err != nil {
			return nil, d.withSource(err)
		}

		next[key] = pinIncarnation(after, current)
	}

	var out []*wire.Change

	for _, key := range order {
		if c := newChange(key, current[key], next[key]); c != nil {
			out = append(out, c)
		}
	}

	return out, d.checkGroups(current, next)
}

// sortedSections returns the sections ordered by kind, so that a section that adds to
// a record comes after the section that declares it.
func (d *Declaration) sortedSections() []section {
	out := slices.Clone(d.sections)
	slices.SortStableFunc(out, func(a, b section) int {
		return slices.Index(sectionKinds, a.kind) - slices.Index(sectionKinds, b.kind)
	})

	return out
}

// pinIncarnation sets the incarnation of a planned stop to the one that runs now, so
// that the process is not stopped again after it restarts.
func pinIncarnation(r *wire.Record, current map[string]*wire.Record) *wire.Record {
	stop := r.GetStop()
	if stop != nil && stop.GetIncarnation() == 0 {
		stop.Incarnation = current[ledger.NodePrefix+stop.GetNodeID()].GetNode().GetIncarnation()
	}

	return r
}

func (d *Declaration) checkGroups(current, next map[string]*wire.Record) error {
	for _, s := range d.sections {
		group := next[s.key()].GetGroup()
		if group == nil {
			continue
		}

		key := ledger.ServicePrefix + group.GetService()

		service, touched := next[key]
		if !touched {
			service = current[key]
		}

		if err := s.checkShape(current[s.key()].GetGroup(), group); err != nil {
			return d.withSource(err)
		}

		if service == nil {
			return d.withSource(&Error{
				Line: s.line, Section: s.heading(), Key: "Service",
				Problem: fmt.Sprintf("names the unknown service %q", group.GetService()), Allowed: "a declared service",
			})
		}
	}

	return nil
}

// checkShape rejects a change of an existing group's shape. The group's first map is
// derived from its declared shape, so ranks that received the change at different
// times would load different maps under one version.
func (s *section) checkShape(current, next *wire.Group) *Error {
	if current == nil {
		return nil
	}

	if current.GetRanks() == next.GetRanks() && current.GetExperts() == next.GetExperts() &&
		current.GetLayers() == next.GetLayers() && current.GetSlots() == next.GetSlots() {
		return nil
	}

	return &Error{
		Line: s.line, Section: s.heading(), Problem: "changes the shape of a group that exists",
		Allowed: "another group under a new name, with the shape that is wanted",
	}
}

func newChange(key string, before, after *wire.Record) *wire.Change {
	switch {
	case before == nil && after == nil:
		return nil
	case after == nil:
		return &wire.Change{Kind: wire.ChangeKind_ChangeRemove, Key: key, Before: before, Text: key + ": removed"}
	case before == nil:
		return &wire.Change{Key: key, After: after, Text: key + ": added: " + describeDiff(nil, after)}
	}

	after.Version = before.GetVersion()
	if proto.Equal(before, after) {
		return nil
	}

	return &wire.Change{Key: key, Before: before, After: after, Text: key + ": " + describeDiff(before, after)}
}

// describeDiff lists the fields in which two records differ.
func describeDiff(before, after *wire.Record) string {
	was, is := fieldsOf(before), fieldsOf(after)

	var out []string

	for name, value := range is {
		if was[name] != value {
			out = append(out, fmt.Sprintf("%s %s -> %s", name, orNone(was[name]), orNone(value)))
		}
	}

	slices.Sort(out)

	return strings.Join(out, ", ")
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}

	return value
}
