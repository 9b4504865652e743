package role

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// replacementTimeout bounds how long a control VM that stops waits for its replacement.
	replacementTimeout = 4 * time.Second
	// leaveAttemptTimeout bounds one announcement to the leader, which may change.
	leaveAttemptTimeout = time.Second
	// leavingRetention is how long the leader remembers an announcement. It is repeated
	// until the VM stops.
	leavingRetention = 2 * time.Second
)

// leavingMembers holds the members that have announced to the leader that they stop. It must be initialized.
type leavingMembers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (l *leavingMembers) init() {
	l.until = make(map[string]time.Time)
}

func (l *leavingMembers) add(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for id, until := range l.until {
		if !now.Before(until) {
			delete(l.until, id)
		}
	}

	l.until[id] = now.Add(leavingRetention)
}

func (l *leavingMembers) contains(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return time.Now().Before(l.until[id])
}

// awaitReplacement waits, on the leader, until a member that leaves may stop: it has been replaced, or no
// learner can replace it.
func (r *Control) awaitReplacement(ctx context.Context, id string) (replaced bool, err error) {
	manager := &membership.Manager{Settings: r.AutoMembership.Settings, IsLeaving: r.leaving.contains}

	for r.isLeader() {
		r.leaving.add(time.Now(), id)

		s := r.replica.Status()
		i := slices.IndexFunc(s.Members, func(m quorum.MemberStatus) bool { return m.Member.ID == id })

		switch {
		case i < 0 && s.MembersCommitted:
			return true, nil
		case i >= 0 && (s.Members[i].Member.Role == quorum.Learner || !manager.CanReplace(s.Members)):
			return false, nil
		}

		r.checkMembersNow()

		if !pauses.Sleep(ctx, replaceInterval) {
			return false, eris.Wrap(ctx.Err(), "await replacement")
		}
	}

	return false, errNotLeading
}

var errNotLeading = eris.New("this control VM does not lead")

// leaveControlSet announces that this VM stops, and waits until another one has taken its place if one can. The
// set then tolerates as many further failures as before. It returns an error if this VM is no longer a member, as
// its process may start again.
func (r *Control) leaveControlSet(ctx context.Context) error {
	for ctx.Err() == nil {
		// The successor may be a voter that was lost just now. Another one is chosen then.
		if r.isLeader() {
			if err := r.replica.StepDown(ctx); err != nil {
				r.Logs.Logger("roster").Info("Leadership transfer failed; repeating it.", "error", err)
			}
		}

		if s := r.replica.Status(); s.Leader != "" && s.Leader != r.VM && s.LeaderAddr.IsValid() {
			attemptCtx, cancel := context.WithTimeout(ctx, leaveAttemptTimeout)
			out, err := wire.NewMembersProtobufClient("http://"+s.LeaderAddr.String(), r.client).Change(attemptCtx, &wire.MemberChange{
				Kind: wire.MemberChangeKind_MemberLeave, ID: r.VM,
			})

			cancel()

			if err == nil && out.GetReplaced() {
				r.Logs.Logger("roster").Info("Replaced in the control set before the stop.")

				return &quorum.RemovedError{ID: r.VM}
			}

			if err == nil {
				return nil
			}

			r.Logs.Logger("roster").Info("Announcement of the stop failed; repeating it.", "leader", s.Leader, "error", err)
		}

		pauses.Sleep(ctx, replaceInterval)
	}

	r.Logs.Logger("roster").Warn("Stopped without having been replaced in the control set.")

	return nil
}
