package intent

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Base is the state that a plan is made against.
type Base struct {
	// Version is the configuration version of Records.
	Version uint64
	Records []*wire.Record
	// Loads is what processes had in hand when they last polled, by ID.
	Loads map[string]*wire.NodeLoad
	// StopBlocker says why stopping the control VM of that name is not safe yet,
	// or ""; nil means that no such stop is known to be unsafe.
	StopBlocker func(name string) string
}

func (b *Base) index() map[string]*wire.Record {
	out := make(map[string]*wire.Record, len(b.Records))
	for _, r := range b.Records {
		out[r.GetKey()] = r
	}

	return out
}

// Changes returns what the declaration would change in the state, in order of
// kind. An error is of type *Error.
func (d *Declaration) Changes(base Base) ([]*wire.Change, error) {
	held := base.index()
	next := map[string]*wire.Record{}

	var order []string

	for _, s := range d.ordered() {
		key := s.key()

		before, touched := next[key]
		if !touched {
			before = held[key]

			order = append(order, key)
		}

		after, err := s.overlay(before)
		if err != nil {
			return nil, d.at(err)
		}

		next[key] = aim(after, held)
	}

	var out []*wire.Change

	for _, key := range order {
		if c := changeOf(key, held[key], next[key]); c != nil {
			out = append(out, c)
		}
	}

	return out, d.checkGroups(held, next)
}

// ordered returns the sections in order of kind: what adds to a record stands
// after what declares it.
func (d *Declaration) ordered() []section {
	out := slices.Clone(d.sections)
	slices.SortStableFunc(out, func(a, b section) int {
		return slices.Index(kinds, a.kind) - slices.Index(kinds, b.kind)
	})

	return out
}

// aim lets a planned stop name the incarnation that runs now, so that the one
// that is started afterwards is not stopped as well.
func aim(r *wire.Record, held map[string]*wire.Record) *wire.Record {
	stop := r.GetStop()
	if stop != nil && stop.GetIncarnation() == 0 {
		stop.Incarnation = held[ledger.NodePrefix+stop.GetNodeID()].GetNode().GetIncarnation()
	}

	return r
}

func (d *Declaration) checkGroups(held, next map[string]*wire.Record) error {
	for _, s := range d.sections {
		group := next[s.key()].GetGroup()
		if group == nil {
			continue
		}

		key := ledger.ServicePrefix + group.GetService()

		service, touched := next[key]
		if !touched {
			service = held[key]
		}

		if err := s.keepsShape(held[s.key()].GetGroup(), group); err != nil {
			return d.at(err)
		}

		if service == nil {
			return d.at(&Error{
				Line: s.line, Section: s.head(), Key: "Service",
				Problem: fmt.Sprintf("names the unknown service %q", group.GetService()), Allowed: "a declared service",
			})
		}
	}

	return nil
}

// keepsShape refuses another shape for a group that exists. Its first map follows
// from the declared shape, so ranks that hear of the change at different times
// would load two different maps under one version.
func (s *section) keepsShape(held, next *wire.Group) *Error {
	if held == nil {
		return nil
	}

	if held.GetRanks() == next.GetRanks() && held.GetExperts() == next.GetExperts() &&
		held.GetLayers() == next.GetLayers() && held.GetSlots() == next.GetSlots() {
		return nil
	}

	return &Error{
		Line: s.line, Section: s.head(), Problem: "changes the shape of a group that exists",
		Allowed: "another group under a new name, with the shape that is wanted",
	}
}

func changeOf(key string, before, after *wire.Record) *wire.Change {
	switch {
	case before == nil && after == nil:
		return nil
	case after == nil:
		return &wire.Change{Kind: wire.ChangeKind_ChangeRemove, Key: key, Before: before, Text: key + ": removed"}
	case before == nil:
		return &wire.Change{Key: key, After: after, Text: key + ": added: " + describe(nil, after)}
	}

	after.Version = before.GetVersion()
	if proto.Equal(before, after) {
		return nil
	}

	return &wire.Change{Key: key, Before: before, After: after, Text: key + ": " + describe(before, after)}
}

// describe names the fields in which two records differ.
func describe(before, after *wire.Record) string {
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
