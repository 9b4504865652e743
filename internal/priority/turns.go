package priority

import (
	"math"
	"slices"
	"time"
)

const (
	// rateDecay is the time constant over which the requests of a workspace are counted.
	rateDecay = 2 * time.Second
	// minKept is the count below which a workspace is forgotten, six seconds after its last request.
	minKept = 0.05
	// maxWorkspaces bounds the workspaces of which turns are kept.
	maxWorkspaces = 13000
	// maxToMedianCount is the ratio to the median count from which the requests of a workspace are
	// above its share.
	maxToMedianCount = 2
	// maxDeficit bounds how many requests may be admitted later instead of earlier ones.
	maxDeficit = 2
	// goldenRatio spaces the first turns of workspaces evenly, in whatever order they come.
	goldenRatio = 0.6180339887498949
)

// turns admits a part of the requests of one level, each workspace up to the same rate.
//
// Load pattern: of the workspaces of one level, one requests many times its share, or its callers
// repeat refused requests at once. If each request had the same chance, it would take the places of
// the others, and the floor of a level would grow with the repeated requests.
type turns struct {
	workspaces map[string]*workspaceTurns
	// fair is the count up to which the requests of a workspace are admitted, for part. It and the
	// median of the counts were computed at computedAt, from total requests. added have arrived
	// since. withinShares is set if both leave out requests above the share of their workspace.
	fair, part, median float64
	withinShares       bool
	computedAt         time.Time
	total, added       float64
	// deficit is by how many requests fewer were admitted than part says.
	deficit float64
	next    float64
}

// workspaceTurns is the state of one workspace. count is the decayed number of its requests at at,
// and within that of those within its share. credit is the part of a request that is admitted next.
type workspaceTurns struct {
	count, within, credit float64
	at                    time.Time
}

func (w *workspaceTurns) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(w.at)) / float64(rateDecay))
	w.count *= factor
	w.within *= factor
	w.at = now
}

// arrive records a request.
func (t *turns) arrive(now time.Time, workspace string) {
	w := t.workspace(now, workspace)
	w.decay(now)
	w.count++

	within := w.within+1 <= maxToMedianCount*max(1, t.median)
	if within {
		w.within++
	}

	if within || !t.withinShares {
		t.added++
		t.deficit = min(t.deficit+t.part, maxDeficit)
	}

	if now.Sub(t.computedAt) >= CountWindow || t.added > t.total/10 {
		t.compute(now)
	}
}

// admit reports whether a request that has just arrived is admitted. part is the part of the
// requests that is, only of those within the shares of their workspaces if withinShares is set.
func (t *turns) admit(now time.Time, workspace string, part float64, withinShares bool) bool {
	if part != t.part || withinShares != t.withinShares {
		t.part, t.withinShares = part, withinShares
		t.compute(now)
	}

	w := t.workspace(now, workspace)
	count := max(1, w.count)
	fair := t.fair * (1 + t.added/max(1, t.total))
	w.credit += min(1, fair/count)

	// A workspace with few requests has a higher count while one arrives than in the mean, so less
	// than part would be admitted.
	if w.credit < 1 && (t.deficit < 1 || count > 1+2*fair) {
		return false
	}

	w.credit = max(w.credit-1, -1)
	t.deficit = max(t.deficit-1, -1)

	return true
}

func (t *turns) workspace(now time.Time, name string) *workspaceTurns {
	w := t.workspaces[name]
	if w != nil {
		return w
	}

	if t.workspaces == nil {
		t.workspaces = make(map[string]*workspaceTurns)
	}

	if len(t.workspaces) >= maxWorkspaces {
		clear(t.workspaces)
	}

	_, t.next = math.Modf(t.next + goldenRatio)
	w = &workspaceTurns{at: now, credit: t.next}
	t.workspaces[name] = w

	return w
}

// compute updates the median of the counts, and the count up to which workspaces are admitted so
// that in all the part is. It forgets workspaces without recent requests.
func (t *turns) compute(now time.Time) {
	counts, within := make([]float64, 0, len(t.workspaces)), make([]float64, 0, len(t.workspaces))
	t.total, t.added, t.computedAt = 0, 0, now

	for name, w := range t.workspaces {
		if w.decay(now); w.count < minKept {
			delete(t.workspaces, name)

			continue
		}

		counts, within = append(counts, w.count), append(within, w.within)
	}

	if len(counts) == 0 {
		return
	}

	slices.Sort(counts)
	slices.Sort(within)

	t.median = counts[len(counts)/2]

	summed := counts
	if t.withinShares {
		summed = within
	}

	// In order, so that rounding does not depend on the order of the map.
	for _, n := range summed {
		t.total += n
	}

	left := t.part * t.total
	for i, n := range counts {
		t.fair = left / float64(len(counts)-i)
		if n >= t.fair {
			return
		}

		left -= n
	}
}

// isAboveShare reports whether a workspace has requested more than its share lately.
func (t *turns) isAboveShare(workspace string) bool {
	w := t.workspaces[workspace]

	return w != nil && w.count > maxToMedianCount*max(1, t.median)
}
