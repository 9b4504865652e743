package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// newTransport returns a transport that opens a connection for each call.
func newTransport() *http.Transport { return &http.Transport{DisableKeepAlives: true} }

// call sends a call of the operator or of a server to a control VM. It returns the status, zero if
// there was no answer within a second.
func (b *bed) call(caller, method string, p *process, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		panic(cannotRun{err.Error()})
	}

	req.Header.Set("Content-Type", "application/json")

	tr := newTransport()
	defer tr.CloseIdleConnections()

	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		b.note("%s: %s %s at %s: %v", caller, method, path, p.name, err)

		return 0, nil
	}
	defer resp.Body.Close()

	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		b.note("%s: %s %s at %s: %d, answer broke off", caller, method, path, p.name, resp.StatusCode)

		return 0, nil
	}

	b.note("%s: %s %s%s at %s: %d%s", caller, method, path, summary(body), p.name, resp.StatusCode, summary(answer))

	return resp.StatusCode, answer
}

// summary names what a body of JSON says, for the record.
func summary(body []byte) string {
	var m struct {
		Version json.RawMessage
		State   string
		Seq     uint64
		Born    int64 `json:"born"`
	}

	switch {
	case json.Unmarshal(body, &m) != nil:
		return ""
	case m.State != "":
		return fmt.Sprintf(" (%s, Seq %d, born %d)", m.State, m.Seq, m.Born)
	case len(m.Version) > 0:
		return fmt.Sprintf(" (Version %s)", m.Version)
	default:
		return ""
	}
}

// order sends a call of the operator to one control VM after the other until one acknowledges it. It
// returns false if none has by the deadline.
func (b *bed) order(method, path string, body []byte, nodes []*process, deadline time.Time) bool {
	for n := 0; time.Now().Before(deadline); n++ {
		if status, _ := b.call("operator", method, nodes[n%len(nodes)], path, body); status == http.StatusOK {
			return true
		}

		time.Sleep(200 * time.Millisecond)
	}

	return false
}

const (
	service = "huvo11a"
	host    = "ficu95.example"
	prefix  = "/lohu930/"
	tenant  = "hule930"
	key     = "n2ctnfzs989anu6wsjnb"
)

// configuration returns a configuration with one service and one route to it, for requests that may
// run at most once.
func configuration(version int) []byte {
	data, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-2yhvz3p", "Host": host, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2,
			"Service": service, "MaxAttempts": 1, "Anonymous": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConns": 120, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0,
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}, "Priority": 1}},
	})
	if err != nil {
		panic(cannotRun{err.Error()})
	}

	return data
}

// configure sends a configuration until it is acknowledged.
func (b *bed) configure(version int) {
	if !b.order(http.MethodPut, "/-/config", configuration(version), b.controls, time.Now().Add(20*time.Second)) {
		panic(cannotRun{fmt.Sprintf("configuration %d was never acknowledged", version)})
	}
}
