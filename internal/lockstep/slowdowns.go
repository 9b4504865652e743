package lockstep

// Slowdowns holds the ratio of each rank's step time to the baseline, by rank. nil means that
// no rank is slow.
type Slowdowns []float64

// minSlowdown is the slowdown from which a rank counts as slow. Copying experts makes the steps
// of a healthy rank 15 % longer.
const minSlowdown = 1.25

func (p Slowdowns) at(rank int) float64 {
	if rank >= len(p) || p[rank] < minSlowdown {
		return 1
	}

	return p[rank]
}

// recordSlowdowns stores the slowdowns of all ranks that were polled, by the director or by a
// count aggregator. Other ranks keep their last value.
func (d *Director) recordSlowdowns(polls []PollResult) {
	for r := range polls {
		d.recordSlowdown(r, polls[r].Report.Pace)

		for other, slowdown := range polls[r].Slowdowns {
			d.recordSlowdown(other, slowdown)
		}
	}
}

func (d *Director) recordSlowdown(rank int, slowdown float64) {
	if slowdown <= 0 || rank >= len(d.slowdowns) {
		return
	}

	before := d.slowdowns.at(rank)
	d.slowdowns[rank] = slowdown

	switch after := d.slowdowns.at(rank); {
	case before == 1 && after > 1:
		d.Logger.Warn("A rank is slow; all others wait for it.", "rank", rank, "pace", slowdown)
	case before > 1 && after == 1:
		d.Logger.Info("A rank is no longer slow.", "rank", rank, "pace", slowdown)
	}
}
