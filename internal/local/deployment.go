// Package local runs a whole small deployment in one process on loopback: a
// control VM, an entry in each availability zone, and agents with stand-in
// targets. It serves a first look, the exercise, and tests.
package local

import (
	"fmt"
	"strings"
	"time"
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
	// Experts and Layers shape the expert groups of its targets, one group a zone;
	// without them its targets are no ranks.
	Experts int
	Layers  int
}

// Deployment is the shape of a deployment.
type Deployment struct {
	Cluster  string
	Region   string
	Zones    []string
	Services []Service
	// StepBase and StepEach are the engines' step times.
	StepBase        time.Duration
	StepPerSequence time.Duration
}

// TrustDeployment is the Ayutthaya Cooperage Trust's deployment of today.
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

// QurumDeployment is the Qurum Labs deployment of today.
func QurumDeployment() Deployment {
	d := TrustDeployment()
	d.Cluster, d.Region = "qurum", "muscat"
	d.Zones = []string{"muscat-a", "muscat-b", "muscat-c"}
	d.Services[0].Name = "assistant-pool"
	d.Services[1].Name = "booking-desk"

	return d
}

// Declaration returns the operators' declaration of the deployment.
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

// slotsPerRank leaves room for a few replicas on each rank.
func slotsPerRank(s Service) int { return s.Experts/s.PerZone + 2 }

// serviceName returns the name of the first service of a kind.
func (d *Deployment) serviceName(model bool) string {
	for _, s := range d.Services {
		if s.Model == model {
			return s.Name
		}
	}

	return ""
}
