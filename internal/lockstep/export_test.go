package lockstep

// ImproveInSteps returns the maps that one search finds with more and more copies.
func ImproveInSteps(shape Shape, m Map, d Demand, most []int) []Map {
	p := newPlan(shape, m, d, nil)

	var out []Map
	for _, n := range most {
		out = append(out, p.improve(Copies{Most: n, Least: 0.004}))
	}

	return out
}
