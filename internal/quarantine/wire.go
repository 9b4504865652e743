package quarantine

import (
	"encoding/binary"
	"slices"
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
			if !isOfRequest(c.Depth) {
				w.Candidates = append(w.Candidates, &wire.EndCandidate{
					Part: uint64(c.Part), Depth: uint32(c.Depth), LeadMicros: toMicros(end.At.Sub(c.SentAt)), Sound: c.Sound,
				})
			}
		}

		w.OwnParts = end.addRequestParts(w, OwnPartDepth)
		w.Contents = end.addRequestParts(w, ContentDepth)
		out = append(out, w)
	}

	return out
}

// addRequestParts returns the parts of a depth in their wire form, and adds what else is known of them to w.
func (e *End) addRequestParts(w *wire.TargetEnd, depth int) []uint64 {
	var out []uint64

	for _, c := range e.Candidates {
		if c.Depth != depth {
			continue
		}

		if c.Sound {
			w.Sound = append(w.Sound, uint32(len(w.GetLeadMillis())))
		}

		out = append(out, uint64(c.Part))
		w.LeadMillis = append(w.LeadMillis, toMillis(e.At.Sub(c.SentAt)))
	}

	return out
}

// requestPartsFromWire decodes the parts of single requests in w, for an end at a time. Parts of which
// the lead is missing are left out.
func requestPartsFromWire(w *wire.TargetEnd, at time.Time) []Candidate {
	parts, leads := slices.Concat(w.GetOwnParts(), w.GetContents()), w.GetLeadMillis()
	parts = parts[:min(len(parts), len(leads), maxReceivedCandidates)]
	out := make([]Candidate, len(parts))

	for i, p := range parts {
		depth := ContentDepth
		if i < len(w.GetOwnParts()) {
			depth = OwnPartDepth
		}

		out[i] = Candidate{Part: Part(p), Depth: depth, SentAt: at.Add(-fromMillis(leads[i]))}
	}

	for _, i := range w.GetSound() {
		if uint64(i) < uint64(len(out)) {
			out[i].Sound = true
		}
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
				Part: Part(c.GetPart()), Depth: int(min(c.GetDepth(), MaxParts-1)), SentAt: end.At.Add(-fromMicros(c.GetLeadMicros())), Sound: c.GetSound(),
			})
		}

		end.Candidates = append(end.Candidates, requestPartsFromWire(w, end.At)...)
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
