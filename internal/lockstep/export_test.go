package lockstep

// Improve returns ImproveAt where all ranks are alike.
func Improve(shape Shape, m Map, d Demand, copies Copies) Map {
	return ImproveAt(shape, m, d, nil, copies)
}

// ImproveAt returns the map that one search finds.
func ImproveAt(shape Shape, m Map, d Demand, paces Paces, copies Copies) Map {
	return newPlan(shape, m, d, paces).improve(copies)
}

// ImproveInSteps returns the maps that one search finds with more and more copies.
func ImproveInSteps(shape Shape, m Map, d Demand, most []int) []Map {
	p := newPlan(shape, m, d, nil)

	var out []Map
	for _, n := range most {
		out = append(out, p.improve(Copies{Most: n, Least: 0.004}))
	}

	return out
}
