package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// EndsToWire returns the wire form of ends at the time now. Times are sent as ages, since the
// clocks of VMs differ.
func EndsToWire(ends []End, now time.Time) []*wire.TargetEnd {
	if len(ends) == 0 {
		return nil
	}

	out := make([]*wire.TargetEnd, 0, len(ends))

	for i := range ends {
		end := &ends[i]
		w := &wire.TargetEnd{
			Target: end.Target, StartTime: end.StartTime, Group: end.Group, AgeMillis: toMillis(now.Sub(end.At)),
			Candidates: make([]*wire.EndCandidate, 0, len(end.Candidates)),
		}

		for _, c := range end.Candidates {
			w.Candidates = append(w.Candidates, &wire.EndCandidate{
				Part: uint64(c.Part), Depth: uint32(c.Depth), LeadMicros: toMicros(end.At.Sub(c.SentAt)), Sound: c.Sound,
			})
		}

		out = append(out, w)
	}

	return out
}

// EndsFromWire decodes ends whose ages count from now. Ages beyond the retention time are cut to
// it, so that Merge ignores these ends.
func EndsFromWire(ws []*wire.TargetEnd, now time.Time) []End {
	ws = ws[:min(len(ws), maxEnds)]
	out := make([]End, 0, len(ws))

	for _, w := range ws {
		end := End{Target: w.GetTarget(), StartTime: w.GetStartTime(), Group: w.GetGroup(), At: now.Add(-fromMillis(w.GetAgeMillis()))}

		for _, c := range w.GetCandidates()[:min(len(w.GetCandidates()), maxReceivedCandidates)] {
			end.Candidates = append(end.Candidates, Candidate{
				Part: Part(c.GetPart()), Depth: int(min(c.GetDepth(), MaxParts)), SentAt: end.At.Add(-fromMicros(c.GetLeadMicros())), Sound: c.GetSound(),
			})
		}

		out = append(out, end)
	}

	return out
}

func toMillis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func toMicros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(heldRetention.Microseconds()))) * time.Microsecond
}

func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(heldRetention.Milliseconds()))) * time.Millisecond
}

// Fingerprint identifies what is known about an end except for its age, which differs slightly
// between processes.
func (e *End) Fingerprint() uint64 {
	data := make([]byte, 0, len(e.Group)+len(e.Candidates)*25)
	data = append(data, e.Group...)

	for _, c := range e.Candidates {
		data = binary.LittleEndian.AppendUint64(data, uint64(c.Part))
		data = binary.LittleEndian.AppendUint64(data, uint64(c.Depth))
		data = binary.LittleEndian.AppendUint64(data, toMicros(e.At.Sub(c.SentAt)))
		data = append(data, byte(0))

		if c.Sound {
			data[len(data)-1] = 1
		}
	}

	return xxhash.Sum64(data)
}
