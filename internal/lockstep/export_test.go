package lockstep

// ImproveMap returns ImproveAt where all ranks are alike.
func ImproveMap(shape Shape, m Map, d Demand, copies CopyLimits) Map {
	return ImproveMapWithSlowdowns(shape, m, d, nil, copies)
}

// ImproveMapWithSlowdowns returns the map that one search finds.
func ImproveMapWithSlowdowns(shape Shape, m Map, d Demand, paces Slowdowns, copies CopyLimits) Map {
	return newPlan(shape, m, d, paces).improve(copies)
}

// ImproveMapStepwise returns the maps that one search finds with more and more copies.
func ImproveMapStepwise(shape Shape, m Map, d Demand, most []int) []Map {
	p := newPlan(shape, m, d, nil)

	var out []Map
	for _, n := range most {
		out = append(out, p.improve(CopyLimits{MaxPerRank: n, MinGain: 0.004}))
	}

	return out
}
