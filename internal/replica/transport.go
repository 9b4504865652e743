package replica

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// ErrNotSent reports that a request was not sent to the leader.
var ErrNotSent = errors.New("replica: request not sent")

const (
	// maxQueuedEnvelopes bounds the queue of one peer. Further envelopes are dropped.
	maxQueuedEnvelopes = 64
	idleConnTimeout    = 2 * time.Second
	// maxMergedBytes is the size from which no more queued envelopes are merged into one
	// call. maxBodyBytes bounds a request body that the handler reads, and the answers that a client reads at the same time.
	maxMergedBytes      = 2 << 20
	maxBodyBytes        = 16 << 20
	maxIdleConnsPerPeer = 16
)

// transport sends messages by HTTP, one call at a time per peer, over a separate
// connection for each peer. A failed or timed-out call closes the connection and the next
// call dials again: when a stateful network device drops a connection's state, that
// connection never delivers anything more, while new connections work.
type transport struct {
	scheme  string
	client  *http.Client
	timeout time.Duration

	mu      sync.Mutex
	peers   map[netip.AddrPort]*peer
	closed  bool
	workers sync.WaitGroup
}

// peer is the send queue for one address.
type peer struct {
	queue  chan *wire.PeerEnvelope
	client *http.Client
}

func (r *Replica) newTransport() *transport {
	return &transport{
		scheme: r.scheme(), client: r.Client, timeout: r.ElectionTimeout / 2, peers: map[netip.AddrPort]*peer{},
	}
}

func (r *Replica) scheme() string {
	if r.Scheme == "" {
		return "http"
	}

	return r.Scheme
}

// send queues env for the peer at an address. It does not block, and drops env if the
// queue is full.
func (t *transport) send(to netip.AddrPort, env *wire.PeerEnvelope) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.closed {
		return
	}

	p := t.peers[to]
	if p == nil {
		p = &peer{queue: make(chan *wire.PeerEnvelope, maxQueuedEnvelopes), client: newClient(t.client)}
		t.peers[to] = p

		t.workers.Add(1)

		go t.run(p, t.scheme+"://"+to.String())
	}

	select {
	case p.queue <- env:
	default:
	}
}

func (t *transport) run(p *peer, url string) {
	defer t.workers.Done()
	defer p.client.CloseIdleConnections()

	client := wire.NewPeerProtobufClient(url, p.client)

	for env := range p.queue {
		mergeQueued(env, p.queue)

		ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
		_, err := client.Deliver(ctx, env)

		cancel()

		if err != nil {
			p.client.CloseIdleConnections()
		}
	}
}

// mergeQueued appends to env the messages of further envelopes queued for the same peer,
// until env has reached maxMergedBytes.
func mergeQueued(env *wire.PeerEnvelope, queue chan *wire.PeerEnvelope) {
	for proto.Size(env) < maxMergedBytes {
		select {
		case next, ok := <-queue:
			if !ok {
				return
			}

			env.Messages = append(env.Messages, next.GetMessages()...)
		default:
			return
		}
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true

	for _, p := range t.peers {
		close(p.queue)
	}
	t.mu.Unlock()

	t.workers.Wait()
}

// newClient returns a client with its own connection pool and base's transport settings, which bounds the answers that it
// reads. A transport of another type than http.Transport and answers.Transport is used as it is.
func newClient(base *http.Client) *http.Client {
	tr := &http.Transport{}

	if base != nil && base.Transport != nil {
		switch t := base.Transport.(type) {
		case *http.Transport:
			tr = t.Clone()
		case *answers.Transport:
			tr = t.Base.Clone()
		default:
			return &http.Client{Transport: t}
		}
	}

	// A network device may have dropped the state of a connection that was idle for long.
	tr.IdleConnTimeout = idleConnTimeout
	tr.MaxIdleConnsPerHost = maxIdleConnsPerPeer

	return answers.NewClient(tr, maxBodyBytes)
}

// forwardTo sends a request to the leader at an address. It returns ErrNotSent if the
// connection could not be opened.
func (r *Replica) forwardTo(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
	if r.Forward != nil {
		return r.Forward(ctx, to, o)
	}

	resp, err := wire.NewPeerProtobufClient(r.scheme()+"://"+to.String(), r.forwardClient).Give(ctx, o)

	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return nil, ErrNotSent
	}

	return resp, eris.Wrap(err, "forward")
}
