package relay

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection and are not forwarded.
var hopByHop = []string{ //nolint:gochecknoglobals // constant table
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopByHop removes the hop-by-hop headers, those named in Connection included.
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

// copyHeader copies the end-to-end headers of from into to.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	dropHopByHop(from)

	for k, vs := range from {
		to[k] = vs
	}
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	var out []string

	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}

	return out
}
