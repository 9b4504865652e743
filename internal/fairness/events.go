package fairness

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Item is one request to be admitted.
type Item struct {
	// ID is unique among the items that wait or run.
	ID        uint64
	Workspace string
	// Weight is the workspace's share relative to others; values below 1 count as 1.
	Weight int
	// Priority orders the items of one workspace, higher first. It does not affect
	// other workspaces. Values outside -1 to 2 count as the nearest one.
	Priority int
	// Deadline is the caller's deadline; zero for none.
	Deadline time.Time
	// Cost is the expected work relative to a typical request; 0 or less counts as 1.
	Cost float64
}

// Kind is the decision about an item.
type Kind uint8

const (
	// Wait keeps the item in the queue; a later Action ends its wait.
	Wait Kind = iota
	// Start lets the item run now. Finish, Cancel or Requeue must follow.
	Start
	// Refuse drops the item, which has not run.
	Refuse
)

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

// Action is the decision about one item.
type Action struct {
	ID   uint64
	Kind Kind
	// Cause and RetryAt are set if Kind is Refuse.
	Cause   verdict.Cause
	RetryAt time.Time
}

// Refusal returns a Refuse action as the error for the caller.
func (a Action) Refusal() *verdict.Error { return verdict.Refuse(a.Cause, a.RetryAt) }

// State is the state of a queue for a dump.
type State struct {
	Capacity int
	Running  int
	Waiting  int
	// Workspaces is how many workspaces the queue currently tracks.
	Workspaces int
	// Service is the estimated duration of a request of cost 1.
	Service time.Duration
}
