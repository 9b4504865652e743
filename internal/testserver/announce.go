package testserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Announcement is the message that a target sends periodically to the agent beside it.
type Announcement struct {
	BootID   string
	Address  netip.AddrPort
	Service  string
	Capacity int
	Cold     bool
	// InFlight is the number of requests in flight, or nil if the target does not
	// count them.
	InFlight *uint32 `json:",omitempty"`
	Group    string  `json:",omitempty"`
	Rank     int     `json:",omitempty"`
}

// Announcement returns the engine's current announcement.
func (e *Engine) Announcement(address netip.AddrPort, service string, capacity int) Announcement {
	s := e.State()
	inFlight := uint32(s.InFlight)

	return Announcement{
		BootID: s.BootID, Address: address, Service: service, Capacity: capacity, Cold: s.Cold, InFlight: &inFlight,
	}
}

// Announcement returns the current announcement of the booking service. It always
// announces no requests in flight, because bookings are answered immediately.
func (s *BookingService) Announcement(address netip.AddrPort, service string, capacity int) Announcement {
	return Announcement{
		BootID: s.BootID(), Address: address, Service: service, Capacity: capacity, InFlight: new(uint32),
	}
}

// Announcer sends a target's announcement to its agent periodically.
type Announcer struct {
	// Agent is the address of the agent beside the target.
	Agent netip.AddrPort
	// Current returns the current announcement.
	Current func() Announcement
	// Interval is the time between two announcements.
	Interval time.Duration
	// Trigger requests an announcement before the interval has passed; may be nil.
	Trigger <-chan struct{}
	// OnAccepted is called with the announced boot ID after the agent has accepted an
	// announcement; may be nil.
	OnAccepted func(bootID string)
}

// Run sends announcements until ctx is canceled. A failed announcement is sent again
// at the next interval.
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
