package lockstep

// Slowdowns are how many times longer than usual each rank takes, by rank; nil stands
// for ranks that are all alike.
type Slowdowns []float64

// leastSlow is the pace from which a rank counts as slow: a copy of experts makes
// steps 15 in 100 longer at ranks that are well.
const leastSlow = 1.25

func (p Slowdowns) at(rank int) float64 {
	if rank >= len(p) || p[rank] < leastSlow {
		return 1
	}

	return p[rank]
}

// seePaces takes in the paces of all ranks that were looked at, by the director or by
// a rank that adds up counts. Others keep what was seen last.
func (d *Director) seePaces(looks []PollResult) {
	for r := range looks {
		d.seePace(r, looks[r].Report.Pace)

		for other, pace := range looks[r].Slowdowns {
			d.seePace(other, pace)
		}
	}
}

func (d *Director) seePace(rank int, pace float64) {
	if pace <= 0 || rank >= len(d.paces) {
		return
	}

	before := d.paces.at(rank)
	d.paces[rank] = pace

	switch after := d.paces.at(rank); {
	case before == 1 && after > 1:
		d.Logger.Warn("A rank is slow; all others wait for it.", "rank", rank, "pace", pace)
	case before > 1 && after == 1:
		d.Logger.Info("A rank is well again.", "rank", rank, "pace", pace)
	}
}
