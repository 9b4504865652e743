package lockstep

// Slowdowns are how many times longer than usual each rank takes, by rank; nil stands
// for ranks that are all alike.
type Slowdowns []float64

// minSlowdown is the pace from which a rank counts as slow: a copy of experts makes
// steps 15 in 100 longer at ranks that are well.
const minSlowdown = 1.25

func (p Slowdowns) at(rank int) float64 {
	if rank >= len(p) || p[rank] < minSlowdown {
		return 1
	}

	return p[rank]
}

// recordSlowdowns takes in the paces of all ranks that were looked at, by the director or by
// a rank that adds up counts. Others keep what was seen last.
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
		d.Logger.Info("A rank is well again.", "rank", rank, "pace", slowdown)
	}
}
