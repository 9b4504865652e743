// Package expertmap switches a group of lock-step ranks from one expert map to
// another. It guarantees that no two ranks compute the same step with different
// maps.
//
// A Coordinator on the leader of the control VMs makes every rank stage the new
// map, makes every rank's engine hold at the same step, and commits or aborts
// the switch in the replicated log. Only the log decides. A Participant in each
// rank's agent passes the orders on to its engine. Both are state machines
// without I/O: they take events and the current time, and return actions.
package expertmap

// Version identifies a map of a group. Every new map has a higher version; zero
// means no map.
type Version uint64

// Step is the number of a lock-step step of a group. It must never start over
// while the group exists: a group whose count restarts must put an epoch into
// the higher bits.
type Step uint64

// Fence is a fencing number: the index of a log entry. Zero means none.
type Fence uint64

// Activation determines which map is in force at each step.
type Activation struct {
	// Version is in force from Step on, Previous until then.
	Version  Version
	Step     Step
	Previous Version
	// Fence is the fencing number of the switch that led to this activation, 0
	// for a group's first map.
	Fence Fence
}

// VersionAt returns the map in force at step s.
func (a Activation) VersionAt(s Step) Version {
	if s >= a.Step {
		return a.Version
	}

	return a.Previous
}

// Switch is a change of map that is not yet decided.
type Switch struct {
	Fence   Fence
	Version Version
}

// Record is the state of a group's map after the log entry AsOf. It remains valid
// whichever process forwards it: a switch that it shows as decided remains decided.
type Record struct {
	AsOf    Fence
	Current Activation
	Open    Switch
}

// decided reports whether the switch f is decided according to r.
func (r *Record) decided(f Fence) bool { return r.AsOf >= f && r.Open.Fence != f }

// EntryKind is the kind of an Entry.
type EntryKind uint8

const (
	// EntryBegin opens a switch; the entry's index becomes its fencing number.
	EntryBegin EntryKind = iota + 1
	// EntryCommit puts the map of the open switch in force from Step on.
	EntryCommit
	// EntryAbort ends the open switch without effect.
	EntryAbort
	// EntryConfirm proves that its proposer was the leader after a rank reported
	// that it has no confirmed record. Only then may the rank be sent the record.
	EntryConfirm
)

// Entry is one log entry about a group's map.
type Entry struct {
	Kind EntryKind
	// Fence is the switch that EntryCommit or EntryAbort decides.
	Fence Fence
	// Version is the map of EntryBegin.
	Version Version
	// Step is the first step of the map of EntryCommit.
	Step Step
	// Rank and Incarnation are those of EntryConfirm.
	Rank        int
	Incarnation uint64
}

// Apply applies the entry at index. Entries that no longer apply to the current
// state have no effect, so proposers may repeat them and two leaders may
// propose concurrently.
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
