package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	requestBytes = 600
	deadline     = time.Second
)

// clients send requests at a steady rate to the entries in turn.
type clients struct {
	bed  *bed
	stop chan struct{}
	done sync.WaitGroup
}

// startClients sends perSecond requests a second until end is called.
func (b *bed) startClients(perSecond int) *clients {
	c := &clients{bed: b, stop: make(chan struct{})}

	c.done.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()

		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-tick.C:
				c.done.Go(func() { c.send(b.entries[n%len(b.entries)]) })
			}
		}
	})

	return c
}

// end stops the clients and waits for the last answers.
func (c *clients) end() {
	close(c.stop)
	c.done.Wait()
}

func (c *clients) send(entry *process) {
	id := fmt.Sprintf("%016x", rand.Uint64())

	c.bed.note("client: sends %s to %s", id, entry.name)

	status, _, problem := request(entry, id)

	c.bed.note("client: gets %d for %s from %s %s", status, id, entry.name, problem)
}

// request sends one request on a new connection.
func request(entry *process, id string) (status int, served bool, problem string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(portFront)+prefix+"2f", strings.NewReader(strings.Repeat("b", requestBytes)))
	if err != nil {
		panic(cannotRun{err.Error()})
	}

	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Api-Key", key)

	tr := newTransport()
	defer tr.CloseIdleConnections()

	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		return 0, false, err.Error()
	}
	defer resp.Body.Close()

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, err.Error()
	}

	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, false, strings.TrimSpace(string(body))
	}

	return resp.StatusCode, resp.Header.Get("X-Response-Signature") != "" && len(body) == bodySize, ""
}

// awaitServed waits until requests are served.
func (b *bed) awaitServed() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, served, _ := request(b.entries[len(b.entries)-1], fmt.Sprintf("%016x", rand.Uint64())); served {
			return
		}
	}

	panic(cannotRun{"no request is served"})
}
