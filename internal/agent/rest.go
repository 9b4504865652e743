package agent

import (
	"net/http"

	"github.com/parsleygate/parsleygate/internal/decimal"
)

// reportRest records for how long a target that answers 503 wants no more requests.
func (a *Agent) reportRest(resp *http.Response) {
	value := resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusServiceUnavailable || value == "" {
		return
	}

	rest, err := decimal.ParseDelay(value)
	if err != nil {
		a.Logger.Warn("Rest that the target asks for cannot be read; ignoring it.", "err", err)
		return
	}

	now := a.Now()
	until := now.Add(rest)
	a.admitter.rest(now, until)
	a.Logger.Info("Target asks for rest.", "until", until)
}
