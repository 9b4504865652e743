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

// Handler answers the other replicas. It is to be served under wire.PeerPathPrefix.
func (r *Replica) Handler() http.Handler {
	return http.MaxBytesHandler(wire.NewPeerServer(r), maxBodyBytes)
}

// Deliver takes in messages of another replica. When this one is busy they are
// dropped: the core sends again what matters.
func (r *Replica) Deliver(_ context.Context, env *wire.PeerEnvelope) (*wire.PeerDelivered, error) {
	if reason := r.refusalReason(env.GetCluster()); reason != quorum.ReasonNone {
		return nil, twirp.NewError(twirp.FailedPrecondition, string(reason)) //nolint:wrapcheck // the server looks for its own type
	}

	select {
	case r.inbox <- env:
	default:
	}

	return &wire.PeerDelivered{}, nil
}

// Give takes in an order that a follower hands to the leader. It is never
// handed on again.
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

// refusalReason returns why nothing from a peer is taken in.
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

// sendMessages hands messages to Send, those for one receiver together.
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
