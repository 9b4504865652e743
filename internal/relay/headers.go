package relay

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{ //nolint:gochecknoglobals // a constant table
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func dropHopByHop(h http.Header) {
	for _, named := range h.Values("Connection") {
		for _, name := range splitList(named) {
			h.Del(name)
		}
	}

	for _, name := range hopByHop {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	from = from.Clone()
	dropHopByHop(from)

	for k, vs := range from {
		to[k] = vs
	}
}

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
