package agent

import (
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"
)

// ColdHeader is set to true by an engine that is cold, on the head of an answer.
// Between two announcements this is the first that its agent hears of it.
const ColdHeader = "Parsleygate-Target-Cold"

// reportCold takes an engine's word from the head of an answer.
func (a *Agent) reportCold() { a.admitter.reportCold(a.Now()) }

// handler returns the agent's routes behind Guard.
func (a *Agent) handler() http.Handler {
	if a.Authorize == nil {
		return a.routes()
	}

	return a.Authorize(a.routes())
}

// serveAnnouncements takes announcements on a listener of their own. Targets
// speak no TLS, and nothing but their word on themselves is heard there.
func (a *Agent) serveAnnouncements() (stop func()) {
	if a.AnnounceListener == nil {
		return func() {}
	}

	r := chi.NewRouter()
	r.Post(AnnouncePath, a.serveAnnounce)

	server := &http.Server{Handler: r, ReadHeaderTimeout: a.Settings.ReadTimeout}

	go func() { _ = server.Serve(a.AnnounceListener) }()

	return func() { _ = server.Close() }
}

// TargetAddress returns where the target takes requests; it is not valid before
// the first announcement.
func (a *Agent) TargetAddress() netip.AddrPort {
	if t := a.target.load(); t != nil {
		return t.Address
	}

	return netip.AddrPort{}
}
