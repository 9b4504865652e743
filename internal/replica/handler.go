package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Handler returns the HTTP handler for requests of the other replicas. The caller must
// serve it under wire.PeerPathPrefix.
func (r *Replica) Handler() http.Handler {
	return http.MaxBytesHandler(wire.NewPeerServer(r), maxBodyBytes)
}

// Deliver queues messages of another replica for the core. It drops them if the queue
// is full; the core resends the messages that matter.
func (r *Replica) Deliver(_ context.Context, env *wire.PeerEnvelope) (*wire.PeerDelivered, error) {
	if reason := r.refusalReason(env.GetCluster()); reason != quorum.ReasonNone {
		return nil, twirp.NewError(twirp.FailedPrecondition, string(reason)) //nolint:wrapcheck // the twirp server needs a twirp.Error
	}

	select {
	case r.inbox <- env:
	default:
	}

	return &wire.PeerDelivered{}, nil
}

// Give runs a request that a follower forwarded to this replica as the leader. It never
// forwards the request again.
func (r *Replica) Give(ctx context.Context, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
	if reason := r.refusalReason(o.GetCluster()); reason != quorum.ReasonNone {
		return &wire.PeerOrderAnswer{NotRun: true, Reason: string(reason)}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.GetRemainingMillis())*time.Millisecond)
	defer cancel()

	out := r.submitLocal(ctx, o)

	return &wire.PeerOrderAnswer{
		Done: out.succeeded, Index: out.index, Result: out.result,
		NotRun: !out.succeeded && out.verdict == verdict.NotRun, Reason: string(out.reason),
	}, nil
}

// refusalReason returns the reason to refuse a peer's request, or ReasonNone.
func (r *Replica) refusalReason(cluster string) quorum.Reason {
	r.init()

	if cluster != r.Cluster {
		return reasonOtherCluster
	}

	select {
	case <-r.stopped:
		return reasonStopped
	default:
		return quorum.ReasonNone
	}
}

// sendMessages passes messages to Send, in one envelope per receiver.
func (r *Replica) sendMessages(ms []quorum.Message) {
	envs := map[string]*wire.PeerEnvelope{}

	for _, m := range ms {
		env := envs[m.To]
		if env == nil {
			env = &wire.PeerEnvelope{Cluster: r.Cluster, Address: r.addrString()}
			envs[m.To] = env
		}

		env.Messages = append(env.Messages, m.ToWire())
	}

	for id, env := range envs {
		addr := r.learnedAddrs[id]
		if m, ok := r.findMember(id); ok {
			addr = m.Addr
		}

		if addr.IsValid() {
			r.Send(addr, env)
		}
	}
}

func (r *Replica) addrString() string {
	if r.Addr.IsValid() {
		return r.Addr.String()
	}

	return ""
}
