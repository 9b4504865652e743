// Package local runs a whole small deployment in one process on loopback: a
// control VM, an entry in each availability zone, and agents with stand-in
// targets. It serves a first look, the exercise, and tests.
package local

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Service is one service of a deployment.
type Service struct {
	Name string
	// Model says that its targets are engines; else they are booking desks.
	Model bool
	// PerZone is how many targets it has in each zone.
	PerZone int
	// ColdLimit and WarmLimit are how many requests one target bears at once.
	ColdLimit uint32
	WarmLimit uint32
}

// Deployment is the shape of a deployment.
type Deployment struct {
	Cluster  string
	Region   string
	Zones    []string
	Services []Service
	// StepBase and StepEach are the engines' step times.
	StepBase time.Duration
	StepEach time.Duration
}

// Trust is the Ayutthaya Cooperage Trust's deployment of today.
func Trust() Deployment {
	return Deployment{
		Cluster: "trust", Region: "central-th",
		Zones: []string{"ayutthaya", "ang-thong", "saraburi"},
		Services: []Service{
			{Name: "cooper-assist", Model: true, PerZone: 4, ColdLimit: 2, WarmLimit: 16},
			{Name: "job-desk", PerZone: 1, ColdLimit: 4, WarmLimit: 16},
		},
		StepBase: 4 * time.Millisecond, StepEach: 100 * time.Microsecond,
	}
}

// Qurum is the Qurum Labs deployment of today.
func Qurum() Deployment {
	d := Trust()
	d.Cluster, d.Region = "qurum", "muscat"
	d.Zones = []string{"muscat-a", "muscat-b", "muscat-c"}
	d.Services[0].Name = "assistant-pool"
	d.Services[1].Name = "booking-desk"

	return d
}

// records returns the configuration that the deployment starts with.
func (d *Deployment) records() []*wire.Record {
	var out []*wire.Record
	for _, z := range d.Zones {
		out = append(out, &wire.Record{Value: &wire.Record_Zone{Zone: &wire.Zone{Name: z, Region: d.Region}}})
	}

	for _, s := range d.Services {
		svc := &wire.Service{Name: s.Name, ColdLimit: s.ColdLimit, WarmLimit: s.WarmLimit}
		if s.Model {
			svc.IdempotentCalls = []string{"POST /v1/drafts"}
			svc.Resumable = true
		} else {
			svc.IdempotentCalls = []string{"GET /v1/bookings/*", "GET /v1/runs"}
		}

		out = append(out, &wire.Record{Value: &wire.Record_Service{Service: svc}})
	}

	return out
}
