// Package local runs a small deployment in one process on loopback: a control VM
// and an entry in each availability zone, and agents with test servers as targets.
// It is used to try the software out, by the exercise, and by tests.
package local

import (
	"fmt"
	"strings"
	"time"
)

// Service describes one service of a deployment.
type Service struct {
	Name string
	// Model is set for a service of model engines. The targets of other services
	// are booking services.
	Model bool
	// PerZone is the number of targets in each zone.
	PerZone int
	// ColdLimit and WarmLimit bound the concurrent requests of a cold and of a warm
	// target.
	ColdLimit uint32
	WarmLimit uint32
	// Experts and Layers are the dimensions of the expert groups, one group in each
	// zone. If Experts is 0, the targets are not part of a group.
	Experts int
	Layers  int
}

// Deployment describes a deployment: its zones, services and step times.
type Deployment struct {
	Cluster  string
	Region   string
	Zones    []string
	Services []Service
	// An engine's step takes StepBase, plus StepPerSequence for each sequence in flight.
	StepBase        time.Duration
	StepPerSequence time.Duration
}

// TrustDeployment returns a deployment modelled on that of the Ayutthaya Cooperage Trust.
func TrustDeployment() Deployment {
	return Deployment{
		Cluster: "trust", Region: "central-th",
		Zones: []string{"ayutthaya", "ang-thong", "saraburi"},
		Services: []Service{
			{Name: "cooper-assist", Model: true, PerZone: 4, ColdLimit: 2, WarmLimit: 16, Experts: 16, Layers: 4},
			{Name: "job-desk", PerZone: 1, ColdLimit: 4, WarmLimit: 16},
		},
		StepBase: 4 * time.Millisecond, StepPerSequence: 100 * time.Microsecond,
	}
}

// QurumDeployment returns a deployment modelled on that of Qurum Labs.
func QurumDeployment() Deployment {
	d := TrustDeployment()
	d.Cluster, d.Region = "qurum", "muscat"
	d.Zones = []string{"muscat-a", "muscat-b", "muscat-c"}
	d.Services[0].Name = "assistant-pool"
	d.Services[1].Name = "booking-desk"

	return d
}

// Declaration returns the deployment as operators declare it.
func (d *Deployment) Declaration() string {
	var b strings.Builder
	for _, z := range d.Zones {
		fmt.Fprintf(&b, "[Zone %q]\nRegion = %s\n", z, d.Region)
	}

	for _, s := range d.Services {
		calls, resumable := "GET /v1/bookings/*, GET /v1/runs", false
		if s.Model {
			calls, resumable = "POST /v1/drafts", true
		}

		fmt.Fprintf(&b, "[Service %q]\nIdempotentCalls = %s\nResumable = %t\n", s.Name, calls, resumable)
		fmt.Fprintf(&b, "[ColdLimit %q]\nCold = %d\nWarm = %d\n", s.Name, s.ColdLimit, s.WarmLimit)
	}

	d.writeGroups(&b)

	return b.String()
}

func (d *Deployment) writeGroups(b *strings.Builder) {
	for _, s := range d.Services {
		if s.Experts == 0 {
			continue
		}

		for _, z := range d.Zones {
			fmt.Fprintf(b, "[Group %q]\nService = %s\nRanks = %d\nExperts = %d\nLayers = %d\nSlots = %d\n",
				groupName(s, z), s.Name, s.PerZone, s.Experts, s.Layers, slotsPerRank(s))
		}
	}
}

func groupName(s Service, zone string) string { return s.Name + "-" + zone }

// slotsPerRank adds two slots for expert replicas to those that the experts need.
func slotsPerRank(s Service) int { return s.Experts/s.PerZone + 2 }

// serviceName returns the name of the first service whose Model equals model, or "".
func (d *Deployment) serviceName(model bool) string {
	for _, s := range d.Services {
		if s.Model == model {
			return s.Name
		}
	}

	return ""
}
