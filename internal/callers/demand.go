// Package callers distributes the connections of callers among entries, and bounds what the HTTP clients of a
// process make it hold: their connections, and the memory and the time of their requests.
package callers

import (
	"sync"
	"time"
)

const (
	bucketWidth = 100 * time.Millisecond
	// windowBuckets is the number of buckets over which demand is counted.
	windowBuckets = 20
	// delayBuckets is the age, in buckets, of the older window that is compared. It exceeds the age of
	// the mean when it arrives: demand that rises at all entries at once exceeds an outdated mean.
	delayBuckets = 14
	// excessFactor is the ratio to the mean of all entries from which demand is excessive. Where few
	// entries share a zone, each one is a large part of the mean.
	excessFactor = 1.4
	// minExcess is the excess, in requests per second, up to which demand is never excessive: a few
	// requests are no evidence.
	minExcess = 4
	// meanTTL is how long a mean is used without a newer one. Demand may have changed since.
	meanTTL = 10 * time.Second
)

// Demand compares the demand at this entry with the mean of all entries. A request counts as demand
// when it arrives, and a connection when it is declined. Its zero value is ready for use.
type Demand struct {
	mu      sync.Mutex
	buckets [delayBuckets + windowBuckets]int
	// last is the number of the newest bucket, counted from startedAt. The difference of two times of a
	// process does not depend on the clock of its VM, which may be set.
	last      int64
	startedAt time.Time
	// mean is the mean demand of an entry, received at meanAt; zero if there is none.
	mean   float64
	meanAt time.Time
}

// Add counts a request that has arrived, or a connection that was declined.
func (d *Demand) Add(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)
	d.buckets[d.last%int64(len(d.buckets))]++
}

// PerSecond returns the demand at this entry.
func (d *Demand) PerSecond(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)

	return d.perSecond(d.last)
}

// SetMean records the mean demand of an entry, as a control VM reports it.
func (d *Demand) SetMean(now time.Time, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.mean, d.meanAt = perSecond, now
}

// Mean returns the mean demand that was recorded last.
func (d *Demand) Mean() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.mean
}

// IsExcessive reports whether the demand at this entry far exceeds the mean, now and when the mean was
// counted. It does not while no mean is known.
func (d *Demand) IsExcessive(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.meanAt.IsZero() || now.Sub(d.meanAt) > meanTTL {
		return false
	}

	d.expire(now)

	return min(d.perSecond(d.last), d.perSecond(d.last-delayBuckets)) > max(d.mean*excessFactor, d.mean+minExcess)
}

// perSecond returns the demand in the window that ends with a bucket. The caller holds mu.
func (d *Demand) perSecond(last int64) float64 {
	total := 0
	for n := last; n > last-windowBuckets; n-- {
		total += d.buckets[n%int64(len(d.buckets))]
	}

	return float64(total) / (windowBuckets * bucketWidth).Seconds()
}

// expire empties the buckets that have left both windows. The caller holds mu.
func (d *Demand) expire(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
		d.last = int64(len(d.buckets))
	}

	current := int64(len(d.buckets)) + int64(now.Sub(d.startedAt)/bucketWidth)

	for n := max(d.last+1, current-int64(len(d.buckets))+1); n <= current; n++ {
		d.buckets[n%int64(len(d.buckets))] = 0
	}

	d.last = max(d.last, current)
}
