// Package quarantine finds requests, and parts of prompts, that end the targets which answer them, and
// decides which requests an entry refuses because of that. It answers two load patterns: requests with
// one such part arrive at any entry and are otherwise all different, while sound requests share their
// other parts; and one request arrives at one entry after the other, because its caller sends it again.
//
// Each entry records the unexpected ends of targets. Entries exchange these records through the
// control VMs, and all of them compute the same held parts from the same records.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies, within a service, a part of a prompt or the content of a whole request.
type Part uint64

// MaxParts is how many parts of a prompt are considered that requests share. The last part of a prompt
// is not among them.
const MaxParts = 16

// Depths of the parts that belong to one request, or to the session of one. Unlike shared parts, they
// become sound only with a whole answer.
const (
	// OwnPartDepth is that of the last part of a prompt.
	OwnPartDepth = MaxParts
	// ContentDepth is that of a Content.
	ContentDepth = MaxParts + 1

	maxRequestParts = ContentDepth + 1
)

// PartOf returns the part of a service that callers name by id.
func PartOf(service, id string) Part {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)

	return Part(d.Sum64())
}

// Candidate is a part of a request that was at a target when the target ended. The answer to the
// request had not begun properly, or, for parts of one request, was not whole.
type Candidate struct {
	Part Part
	// Depth is the position of a shared part in the prompt, starting at 0, or OwnPartDepth or
	// ContentDepth.
	Depth int
	// SentAt is when the latest request with the part was sent to the target.
	SentAt time.Time
	// Sound is set once an answer to a request with the part began properly, at any target, or, for
	// parts of one request, was whole.
	Sound bool
}

// End is the unexpected end of one incarnation of a target, which Target and StartTime identify.
type End struct {
	Target    string
	StartTime int64
	// Group is the lock-step group of the target; empty if it has none. The loss of one rank ends
	// the others of its group.
	Group string
	// At is when the end was noticed first.
	At         time.Time
	Candidates []Candidate
}

// Hold says why and for how long a part is held.
type Hold struct {
	// Ends is the number of ends that count against the part.
	Ends int
	// Until is when requests with the part may be tried again, one at a time.
	Until time.Time
	// Depth is the smallest depth of the part.
	Depth int

	// companions are the parts that were in each of these ends too.
	companions []Part
}

const (
	// minEnds is the number of successive ends after which a part is held. Two may be a
	// coincidence of unrelated failures.
	minEnds = 3
	// firstHold is how long a shared part is held after minEnds ends, and firstRequestHold how long a
	// part of one request is. Each further end multiplies that by holdGrowth, up to maxHold.
	firstHold        = 2 * time.Minute
	firstRequestHold = endRetention
	holdGrowth       = 4
	maxHold          = 24 * time.Hour
)

const (
	// endRetention is how long an end counts.
	endRetention = 15 * time.Minute
	// heldRetention is how long an end counts that supports a held part.
	heldRetention = 24 * time.Hour
	// soundRetention is how long an end is kept after all of its candidates have become sound, so
	// that a peer that has not heard of that does not bring the end back.
	soundRetention = 10 * time.Minute
)

const (
	maxEnds = 128
	// maxCandidates bounds the shared parts of an end, maxRequestCandidates the other ones.
	maxCandidates        = 32
	maxRequestCandidates = 128
	// maxReceivedCandidates bounds the candidates of a reported end that are looked at.
	maxReceivedCandidates = 16 * maxCandidates
	// maxIDLength bounds the IDs of targets and groups, in bytes.
	maxIDLength = 128
)

// GroupFailureTime is how long after the loss of a rank the other ranks of its group may end. Ends
// of a group within this time count once.
const GroupFailureTime = 1500 * time.Millisecond

// atTolerance is how exact the time of an end is. A smaller difference is not worth a message. Times
// that passed through other processes are late by the time that messages take.
const atTolerance = 100 * time.Millisecond
