package testserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Announcement is what a target tells the agent in its slot, again each second.
type Announcement struct {
	BootID   string
	Address  netip.AddrPort
	Service  string
	Capacity int
	Cold     bool
	// InFlight is what the target has in hand; nil where it does not count.
	InFlight *uint32 `json:",omitempty"`
	Group    string  `json:",omitempty"`
	Rank     int     `json:",omitempty"`
}

// Announcement returns what the engine tells its agent now.
func (e *Engine) Announcement(address netip.AddrPort, service string, capacity int) Announcement {
	s := e.State()
	inFlight := uint32(s.InFlight)

	return Announcement{
		BootID: s.BootID, Address: address, Service: service, Capacity: capacity, Cold: s.Cold, InFlight: &inFlight,
	}
}

// Announcement returns what the desk tells its agent now. It answers at once:
// what it had in hand when its agent stopped is done.
func (s *BookingService) Announcement(address netip.AddrPort, service string, capacity int) Announcement {
	return Announcement{
		BootID: s.BootID(), Address: address, Service: service, Capacity: capacity, InFlight: new(uint32),
	}
}

// Announcer repeats a target's announcement to its agent.
type Announcer struct {
	// Agent is the address of the agent beside the target.
	Agent netip.AddrPort
	// Current returns the announcement as of now.
	Current func() Announcement
	// Interval is the time between two announcements.
	Interval time.Duration
	// Trigger is read for an announcement between two turns; may be nil.
	Trigger <-chan struct{}
	// OnAccepted is called after the agent took an announcement; may be nil.
	OnAccepted func(bootID string)
}

// Run announces until ctx ends. A failed try is repeated at the next turn.
func (a *Announcer) Run(ctx context.Context) {
	client := &http.Client{Timeout: a.Interval}
	ticker := time.NewTicker(a.Interval)

	defer ticker.Stop()

	for {
		a.announce(ctx, client)

		select {
		case <-ctx.Done():
			return
		case <-a.Trigger:
		case <-ticker.C:
		}
	}
}

func (a *Announcer) announce(ctx context.Context, client *http.Client) {
	announcement := a.Current()

	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}

	url := "http://" + a.Agent.String() + "/v1/announce"

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}

	r.Header.Set("Content-Type", "application/json")

	resp, err := client.Do(r)
	if err != nil {
		return
	}

	_ = resp.Body.Close()

	if resp.StatusCode == http.StatusNoContent && a.OnAccepted != nil {
		a.OnAccepted(announcement.BootID)
	}
}
