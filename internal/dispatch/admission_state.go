package dispatch

import "time"

// AdmissionState describes the admission level of a group's service, for operators.
type AdmissionState struct {
	// Admitted is the number of levels that are admitted, the last one in part. It is
	// priority.NumLevels while all are.
	Admitted float64
	// InForce is set while some level is not admitted whole, SumsValid while the group's sums over
	// all entries are.
	InForce, SumsValid bool
	// Demand, Placed and Refused are the sums of the last second by level, over all entries if
	// SumsValid is set, else of this entry.
	Demand, Placed, Refused []uint32
	// RefusedByAdmission is the number of requests of the service that this entry has refused because
	// their level was not admitted.
	RefusedByAdmission int64
}

func (s *service) admissionState(now time.Time, g *group) *AdmissionState {
	if s.levels == nil {
		return nil
	}

	out := &AdmissionState{InForce: s.levels.admission.InForce(now), SumsValid: now.Before(g.levels.validUntil), RefusedByAdmission: s.levels.refused}
	out.Admitted, _ = s.levels.admission.Limit(now)

	counts := g.levels.sums
	if !out.SumsValid {
		counts = s.levels.counter.LastSecond(now)
		placed := g.levels.placed.LastSecond(now)
		counts.Add(&placed)
	}

	for _, n := range counts {
		out.Demand, out.Placed, out.Refused = append(out.Demand, n.Demand), append(out.Placed, n.Placed), append(out.Refused, n.Refused)
	}

	return out
}

// RefusedByAdmission returns the number of requests that were refused because their level was not
// admitted.
func (d *Dispatcher) RefusedByAdmission() int64 {
	n := int64(0)

	for _, s := range d.services {
		if s.levels != nil {
			n += s.levels.refused
		}
	}

	return n
}
