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

	"github.com/parsleygate/parsleygate/internal/wire"
)

// ErrNotSent says that an order did not leave this replica.
var ErrNotSent = errors.New("replica: order not sent")

const (
	// queuePerPeer bounds the envelopes that wait for one peer; more are dropped.
	queuePerPeer = 64
	idleTimeout  = 2 * time.Second
	// maxMerged bounds what is sent in one call, maxBody what is read from one.
	maxMerged   = 2 << 20
	maxBody     = 16 << 20
	idlePerPeer = 16
)

// transport sends by HTTP, to each peer over a connection of its own, one call
// at a time. A call that is not answered in time ends its connection, and the
// next one dials anew: a connection that something on the way has forgotten
// stays silent for good, while new ones work.
type transport struct {
	scheme  string
	client  *http.Client
	timeout time.Duration

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	done   sync.WaitGroup
}

// peer is the queue towards one address.
type peer struct {
	queue  chan *wire.PeerEnvelope
	client *http.Client
}

func (r *Replica) transport() *transport {
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

// send queues env. It does not block; with a full queue env is dropped.
func (t *transport) send(to netip.AddrPort, env *wire.PeerEnvelope) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.closed {
		return
	}

	p := t.peers[to]
	if p == nil {
		p = &peer{queue: make(chan *wire.PeerEnvelope, queuePerPeer), client: newClient(t.client)}
		t.peers[to] = p

		t.done.Add(1)

		go t.run(p, t.scheme+"://"+to.String())
	}

	select {
	case p.queue <- env:
	default:
	}
}

func (t *transport) run(p *peer, url string) {
	defer t.done.Done()
	defer p.client.CloseIdleConnections()

	c := wire.NewPeerProtobufClient(url, p.client)

	for env := range p.queue {
		merge(env, p.queue)

		ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
		_, err := c.Deliver(ctx, env)

		cancel()

		if err != nil {
			p.client.CloseIdleConnections()
		}
	}
}

// merge adds to env what else is waiting for the same peer.
func merge(env *wire.PeerEnvelope, queue chan *wire.PeerEnvelope) {
	for proto.Size(env) < maxMerged {
		select {
		case more, ok := <-queue:
			if !ok {
				return
			}

			env.Messages = append(env.Messages, more.GetMessages()...)
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

	t.done.Wait()
}

// newClient returns a client with connections of its own, set up as base's are.
func newClient(base *http.Client) *http.Client {
	tr := &http.Transport{}

	if base != nil {
		if own, ok := base.Transport.(*http.Transport); ok {
			tr = own.Clone()
		}
	}

	// A connection that was idle for long may have been forgotten on the way.
	tr.IdleConnTimeout = idleTimeout
	tr.MaxIdleConnsPerHost = idlePerPeer

	return &http.Client{Transport: tr}
}

// forwardTo gives an order to the leader. It returns ErrNotSent if no connection
// could be opened.
func (r *Replica) forwardTo(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
	if r.Forward != nil {
		return r.Forward(ctx, to, o)
	}

	answer, err := wire.NewPeerProtobufClient(r.scheme()+"://"+to.String(), r.forwarder).Give(ctx, o)

	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, ErrNotSent
	}

	return answer, eris.Wrap(err, "forward")
}
