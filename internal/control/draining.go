package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// drainTimeout bounds how long the notice of a draining target waits for the voters. Targets wait for
	// a second, then they ask the next VM.
	drainTimeout = 800 * time.Millisecond
	// spareCopyTimeout is how long it waits for a voter more than a majority needs.
	spareCopyTimeout = 150 * time.Millisecond
)

var errDrainingNotCopied = eris.New("too few of the control VMs that have a vote know that the target is draining")

// shareDraining returns nil once the voters know that a target is draining, and tell it to the entries that follow
// them. Entries hear of it in time even if this VM is lost, or stands still, right after its acknowledgement. The notice
// is not written to disks: the target repeats it with each announcement.
func (s *Server) shareDraining(ctx context.Context, t *directory.Target) error {
	self, voters := true, []Voter(nil)
	if s.FindVoters != nil {
		self, voters = s.FindVoters()
	}

	r := &wire.DrainingRequest{Cluster: s.Cluster, Target: t.ToWire(time.Now())}

	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()

	err := awaitCopies(ctx, self, voters, func(v Voter) error {
		// The call goes on after the acknowledgement: each voter has its own followers.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
		defer cancel()

		err := v.RecordDraining(ctx, r)
		if isBadRoute(err) {
			return nil // The voter runs an earlier build.
		}

		return eris.Wrap(err, v.Name)
	})
	if err != nil {
		s.Logger.Warn("A target is draining, but too few voters know; not acknowledged.", "target", t.ID, "sequence", t.Sequence)

		return err
	}

	return s.withTargets(ctx, func(targets *targetTracker) { targets.registry.SetDrainingShared(t.ID, t.StartTime) })
}

// awaitCopies calls copyTo for each voter other than this VM. It returns nil once as many have succeeded as are a majority
// of all voters, so that one may be lost along with this VM. If some fail, or don't answer within spareCopyTimeout, this
// VM counts among the majority, if it has a vote. It returns an error if there is no majority.
func awaitCopies(ctx context.Context, self bool, voters []Voter, copyTo func(Voter) error) error {
	results := make(chan error, len(voters))

	for _, v := range voters {
		go func() { results <- copyTo(v) }()
	}

	enough := (len(voters) + 1) / 2
	wanted := min(enough+1, len(voters))

	if !self {
		enough = len(voters)/2 + 1
		wanted = enough
	}

	spare := time.NewTimer(spareCopyTimeout)
	defer spare.Stop()

	copies := 0

	for pending := len(voters); pending > 0 && copies < wanted && copies+pending >= enough; {
		select {
		case err := <-results:
			pending--

			if err == nil {
				copies++
			}
		case <-spare.C:
			wanted = enough
		case <-ctx.Done():
			pending = 0
		}
	}

	if copies < enough {
		return errDrainingNotCopied
	}

	return nil
}

// RecordDraining records that a target has told another control VM that it is draining.
func (s *Server) RecordDraining(ctx context.Context, r *wire.DrainingRequest) (*wire.DrainingResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	t, err := directory.FromWire(r.GetTarget(), time.Now())
	if err == nil {
		err = checkTargetID(t.ID)
	}

	if err != nil || t.State != directory.Draining {
		return nil, newRPCError(twirp.InvalidArgument, "the target is invalid or not draining")
	}

	err = s.tryWithTargets(ctx, func(targets *targetTracker) error {
		if err := s.checkRoom(&targets.registry, t.ID); err != nil {
			return err
		}

		targets.registry.RecordDraining(time.Now(), t)

		return nil
	})
	if err != nil {
		return nil, newRPCError(twirp.Unavailable, err.Error())
	}

	return &wire.DrainingResponse{}, nil
}
