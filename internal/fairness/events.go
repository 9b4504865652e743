package fairness

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Item is one request that wants to start.
type Item struct {
	// ID is unique among the items that wait or run.
	ID        uint64
	Workspace string
	// Weight is the workspace's share against others; below 1 counts as 1.
	Weight int
	// Priority orders the items of one workspace, higher first. It never takes
	// from another workspace. Values outside -1 to 2 count as the nearest.
	Priority int
	// Deadline is the caller's; zero for none.
	Deadline time.Time
	// Cost is the expected work against that of a usual request; below 0 or zero counts as 1.
	Cost float64
}

// Kind is what becomes of an item.
type Kind uint8

const (
	// Wait keeps the item in the queue; a later Action ends its wait.
	Wait Kind = iota
	// Start lets the item run now. Finish or Cancel must follow.
	Start
	// Refuse gives the item up: it did not run.
	Refuse
)

// String returns the name of k.
func (k Kind) String() string {
	switch k {
	case Start:
		return "Start"
	case Refuse:
		return "Refuse"
	default:
		return "Wait"
	}
}

// Action says what becomes of one item.
type Action struct {
	ID   uint64
	Kind Kind
	// Cause and RetryAt are set with Refuse.
	Cause   verdict.Cause
	RetryAt time.Time
}

// Refusal returns a Refuse action as the caller's error.
func (a Action) Refusal() *verdict.Error { return verdict.Refuse(a.Cause, a.RetryAt) }

// State is a queue's state for a dump.
type State struct {
	Capacity int
	Running  int
	Waiting  int
	// Workspaces is how many workspaces the queue remembers now.
	Workspaces int
	// Service is the learned duration of a request of cost 1.
	Service time.Duration
}
