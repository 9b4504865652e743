package relay

import "strings"

// splitList splits the value of a header that is a list with commas.
func splitList(v string) []string {
	var out []string

	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}

	return out
}
