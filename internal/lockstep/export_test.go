package lockstep

// ImproveMap returns ImproveMapWithSlowdowns without slow ranks.
func ImproveMap(shape Shape, m Map, d Demand, limits CopyLimits) Map {
	return ImproveMapWithSlowdowns(shape, m, d, nil, limits)
}

// ImproveMapWithSlowdowns returns the map found by one search.
func ImproveMapWithSlowdowns(shape Shape, m Map, d Demand, slowdowns Slowdowns, limits CopyLimits) Map {
	return newMapSearch(shape, m, d, slowdowns).improve(limits)
}

// ImproveMapStepwise returns the maps that one search finds with increasing copy limits.
func ImproveMapStepwise(shape Shape, m Map, d Demand, maxPerRank []int) []Map {
	p := newMapSearch(shape, m, d, nil)

	var out []Map
	for _, n := range maxPerRank {
		out = append(out, p.improve(CopyLimits{MaxPerRank: n, MinGain: 0.004}))
	}

	return out
}
