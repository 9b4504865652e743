package retries

import (
	"maps"
	"math"
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// UsageToWire returns usage by service as a message, sorted by service.
func UsageToWire(usage map[string]Usage) []*wire.RetryUsage {
	out := make([]*wire.RetryUsage, 0, len(usage))

	for _, service := range slices.Sorted(maps.Keys(usage)) {
		u := usage[service]
		out = append(out, &wire.RetryUsage{Service: service, Requests: toUint32(u.Requests), Retries: toUint32(u.Retries), UnreadRetries: toUint32(u.Unread)})
	}

	return out
}

// UsageFromWire returns the usage by service of a message.
func UsageFromWire(usage []*wire.RetryUsage) map[string]Usage {
	out := make(map[string]Usage, len(usage))
	for _, u := range usage {
		out[u.GetService()] = Usage{Requests: int(u.GetRequests()), Retries: int(u.GetRetries()), Unread: int(u.GetUnreadRetries())}
	}

	return out
}

func toUint32(n int) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }
