package control

// demands sums the demand of the entries that follow this VM.
type demands struct {
	all   demandSum
	zones map[string]demandSum
}

type demandSum struct {
	perSecond float64
	entries   int
}

func (s demandSum) add(perSecond float64) demandSum {
	return demandSum{perSecond: s.perSecond + perSecond, entries: s.entries + 1}
}

func (s demandSum) mean() float64 { return s.perSecond / float64(max(1, s.entries)) }

// reset removes all entries.
func (d *demands) reset() {
	d.all = demandSum{}
	d.zones = make(map[string]demandSum)
}

// add adds an entry in a zone. demand is nil for one that does not report it.
func (d *demands) add(zone string, demand *float64) {
	if demand == nil || !(*demand >= 0) {
		return
	}

	d.all = d.all.add(*demand)
	d.zones[zone] = d.zones[zone].add(*demand)
}

// mean returns the mean demand with which an entry in a zone compares its own: that of all entries, or
// of those in its zone if that is higher, as callers mostly retry within their zone. It returns nil
// if there is no other entry to compare with. A zone with one entry says nothing about the others.
func (d *demands) mean(zone string) *float64 {
	if d.all.entries < 2 {
		return nil
	}

	mean := d.all.mean()
	if z := d.zones[zone]; z.entries > 1 {
		mean = max(mean, z.mean())
	}

	return &mean
}
