// Package expertmap switches a group of lock-step ranks from one expert map to
// another, so that in no step two ranks compute with different maps.
//
// A Coordinator at the control leader stages the new map on every rank, has
// every rank's engine hold at one named step, and commits or aborts the switch
// in the replicated log. Only the log decides. A Participant at each rank's
// agent carries the orders to its engine. Both are cores without I/O: events
// and the time go in, actions come out.
package expertmap

// Version numbers a group's maps. It grows with every map; zero is no map.
type Version uint64

// Step numbers a group's lock-step steps. It must never restart within a
// group's life: a group that counts anew after a restart adds an epoch above.
type Step uint64

// Fence is a fencing number: the index of a log entry. Zero is none.
type Fence uint64

// Activation says which map rules in each step.
type Activation struct {
	// Version rules from Step on, Before until then.
	Version  Version
	Step     Step
	Previous Version
	// Fence is the number of the switch that brought the ruling, 0 for a group's first.
	Fence Fence
}

// VersionAt returns the map that rules in step s.
func (r Activation) VersionAt(s Step) Version {
	if s >= r.Step {
		return r.Version
	}

	return r.Previous
}

// Switch is a change of map that is not yet decided.
type Switch struct {
	Fence   Fence
	Version Version
}

// Record is what the log says about a group's map up to AsOf. A Record is a
// true statement whoever passes it on: what it calls settled stays settled.
type Record struct {
	AsOf    Fence
	Current Activation
	Open    Switch
}

// decided reports whether the switch with this number is decided, as far as r knows.
func (r *Record) decided(f Fence) bool { return r.AsOf >= f && r.Open.Fence != f }

// EntryKind names what a log entry does.
type EntryKind uint8

const (
	// EntryBegin opens a switch; the entry's index becomes its fencing number.
	EntryBegin EntryKind = iota + 1
	// EntryCommit makes the open switch rule from Step on.
	EntryCommit
	// EntryAbort ends the open switch without effect.
	EntryAbort
	// EntryConfirm shows that its proposer led after a rank said it does not
	// know which map rules; only then may the rank be told.
	EntryConfirm
)

// Entry is one log entry about a group's map.
type Entry struct {
	Kind EntryKind
	// Fence names the switch of EntryCommit and EntryAbort.
	Fence Fence
	// Version is the map of EntryBegin.
	Version Version
	// Step is when the map of EntryCommit begins to rule.
	Step Step
	// Rank and Incarnation are those of EntryConfirm.
	Rank        int
	Incarnation uint64
}

// Apply takes in the entry at index. Entries that no longer fit change
// nothing, so proposers may repeat them and two leaders may race.
func (r *Record) Apply(index Fence, e Entry) {
	if index <= r.AsOf {
		return
	}
	r.AsOf = index
	switch e.Kind {
	case EntryBegin:
		if r.Open.Fence == 0 && e.Version > r.Current.Version {
			r.Open = Switch{Fence: index, Version: e.Version}
		}
	case EntryCommit:
		if r.Open.Fence != 0 && r.Open.Fence == e.Fence && e.Step > r.Current.Step {
			r.Current = Activation{Version: r.Open.Version, Step: e.Step, Previous: r.Current.Version, Fence: e.Fence}
			r.Open = Switch{}
		}
	case EntryAbort:
		if r.Open.Fence == e.Fence {
			r.Open = Switch{}
		}
	case EntryConfirm:
	}
}
