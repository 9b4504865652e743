package agent

import (
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"
)

// HeaderCold is a response header that a cold engine sets to "true". It informs the agent sooner
// than the next announcement would.
const HeaderCold = "Parsleygate-Target-Cold"

func (a *Agent) reportCold() { a.admitter.reportCold(a.Now()) }

// handler returns the agent's routes, behind Authorize if it is set.
func (a *Agent) handler() http.Handler {
	if a.Authorize == nil {
		return a.routes()
	}

	return a.Authorize(a.routes())
}

// serveAnnouncements serves AnnounceListener, in plaintext because targets do not use TLS. It
// accepts nothing but announcements.
func (a *Agent) serveAnnouncements() (stop func()) {
	if a.AnnounceListener == nil {
		return func() {}
	}

	r := chi.NewRouter()
	r.Post(AnnouncePath, a.serveAnnounce)

	listener := a.Bounds.Listen("Announcements", a.AnnounceListener)
	server := listener.Server(r)

	go func() { _ = server.Serve(listener) }()

	return func() { _ = server.Close() }
}

// TargetAddress returns the address at which the target serves requests. It is invalid before
// the first announcement.
func (a *Agent) TargetAddress() netip.AddrPort {
	if t := a.target.load(); t != nil {
		return t.Address
	}

	return netip.AddrPort{}
}
