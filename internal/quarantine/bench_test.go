package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/parsleygate/parsleygate/internal/quarantine"
)

// fullQuarantine returns one with n ends of 32 shared parts and 24 parts of requests each, and a held
// part if there are ends.
func fullQuarantine(n int) *quarantine.Quarantine {
	q := &quarantine.Quarantine{}

	for i := range n {
		parts := []quarantine.Part{workspace, culprit}
		for c := range 30 {
			parts = append(parts, quarantine.Part(1000+30*i+c))
		}

		end := newEnd(fmt.Sprint("t", i), at(4*float64(i)), parts...)
		for c := range 12 {
			end.Candidates = append(end.Candidates, newRequestEnd("", end.At, quarantine.Part(100_000+24*i+2*c), quarantine.Part(100_001+24*i+2*c), true).Candidates...)
		}

		q.Record(end.At, end)
	}

	return q
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{0, 128} {
		b.Run(fmt.Sprint("ends=", n), func(b *testing.B) {
			q, now := fullQuarantine(n), at(600)
			parts := []quarantine.Part{workspace, 4, 5, 6, 7}

			b.ReportAllocs()

			for b.Loop() {
				q.Check(now, parts, onlyEntry)
			}
		})
	}
}

func BenchmarkMarkSound(b *testing.B) {
	for _, n := range []int{0, 128} {
		b.Run(fmt.Sprint("ends=", n), func(b *testing.B) {
			q := fullQuarantine(n)
			parts := []quarantine.Part{workspace, 4, 5, 6, 7}

			b.ReportAllocs()

			for b.Loop() {
				q.MarkSound(parts...)
			}
		})
	}
}

// BenchmarkRecord measures an end that changes the held parts of a full set.
func BenchmarkRecord(b *testing.B) {
	q := fullQuarantine(128)

	for i := 0; b.Loop(); i++ {
		now := at(600 + float64(i))
		q.Record(now, newEnd(fmt.Sprint("next", i), now, workspace, culprit, quarantine.Part(i)))
		q.Held(now)
	}
}

func BenchmarkContent(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprint("body=", size), func(b *testing.B) {
			c := quarantine.Content{Method: "POST", Host: "desk.example", URI: "/draft/x", Headers: []string{"m", "800,90", "5c1e07a2:800,e4:2"}, Body: make([]byte, size)}

			b.ReportAllocs()

			for b.Loop() {
				c.Part("svc")
			}
		})
	}
}
