package priority

import "time"

// Several entries place requests in one group, and each sees only its own. Load pattern: the
// requests of all entries together exceed what the group can serve, and arrive unevenly. An entry
// with few urgent requests then gives its places to others, while one with many refuses urgent
// ones. The counts here are summed over the entries (Sums), and the sums tell every entry alike
// which levels have a place (Admission).

// Count counts the requests of one level in one second.
type Count struct {
	// Demand counts the requests that arrived, Placed those that were assigned to a target, and
	// Refused those for which no target had capacity.
	Demand, Placed, Refused uint32
}

// Counts holds the count of each level.
type Counts [NumLevels]Count

// Total returns the sum over all levels.
func (c *Counts) Total() Count {
	var out Count

	for _, n := range c {
		out.add(n)
	}

	return out
}

// Add adds the counts of o.
func (c *Counts) Add(o *Counts) {
	for i := range c {
		c[i].add(o[i])
	}
}

func (c *Count) add(o Count) {
	c.Demand = saturate(uint64(c.Demand) + uint64(o.Demand))
	c.Placed = saturate(uint64(c.Placed) + uint64(o.Placed))
	c.Refused = saturate(uint64(c.Refused) + uint64(o.Refused))
}

func saturate(n uint64) uint32 { return uint32(min(n, 1<<32-1)) }

const (
	// CountWindow is the length of the windows in which requests are counted, and the interval
	// at which counts are reported under pressure.
	CountWindow = 250 * time.Millisecond
	// countedWindows is the number of windows that a report covers: one second.
	countedWindows = int64(time.Second / CountWindow)
)

// Counter counts the requests of one service or group by level, in windows of CountWindow.
type Counter struct {
	// windows is a ring of the current window and those before it. The window with the number n,
	// counted from start, is at n % len(windows).
	windows [countedWindows + 1]Counts
	start   time.Time
	current int64
}

// At returns the counts of the current window.
func (c *Counter) At(now time.Time) *Counts {
	if c.start.IsZero() {
		c.start = now
	}

	// The clock may be set back; the current window then lasts longer.
	n := max(c.current, int64(now.Sub(c.start)/CountWindow))

	for i := max(c.current+1, n-countedWindows); i <= n; i++ {
		c.windows[i%int64(len(c.windows))] = Counts{}
	}

	c.current = n

	return &c.windows[n%int64(len(c.windows))]
}

// LastSecond returns the counts of the last complete windows, which cover one second.
func (c *Counter) LastSecond(now time.Time) Counts {
	var out Counts

	current := c.At(now)

	for i := range c.windows {
		if w := &c.windows[i]; w != current {
			out.Add(w)
		}
	}

	return out
}
