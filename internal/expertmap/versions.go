package expertmap

// versionSet is a small set of map versions: an engine holds two or three.
type versionSet []Version

func (s *versionSet) has(v Version) bool {
	for _, x := range *s {
		if x == v {
			return true
		}
	}

	return false
}

func (s *versionSet) add(v Version) {
	if !s.has(v) {
		*s = append(*s, v)
	}
}

func (s *versionSet) retain(a, b Version) {
	old := *s
	*s = nil
	for _, x := range old {
		if x == a || x == b {
			s.add(x)
		}
	}
}

func (s *versionSet) remove(v Version) {
	for i, x := range *s {
		if x == v {
			*s = append((*s)[:i], (*s)[i+1:]...)

			return
		}
	}
}
