package expertmap

// versions is a small set of map versions: an engine holds two or three.
type versions []Version

func (s *versions) has(v Version) bool {
	for _, x := range *s {
		if x == v {
			return true
		}
	}

	return false
}

func (s *versions) add(v Version) {
	if !s.has(v) {
		*s = append(*s, v)
	}
}

func (s *versions) keep(a, b Version) {
	had := *s
	*s = nil
	for _, x := range had {
		if x == a || x == b {
			s.add(x)
		}
	}
}

func (s *versions) remove(v Version) {
	for i, x := range *s {
		if x == v {
			*s = append((*s)[:i], (*s)[i+1:]...)

			return
		}
	}
}
