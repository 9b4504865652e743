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
	replacementTimeout = 7 * time.Second
	// leaveAttemptTimeout bounds one announcement to the leader, which may change.
	leaveAttemptTimeout = time.Second
	// leavingRetention is how long the leader remembers an announcement. It is repeated
	// until the VM stops.
	leavingRetention = 2 * time.Second
	// rejoinTimeout is how long the leader expects a voter that was removed as it was silent to join again. One that was
	// cut off or stood still learns of its removal once it is back.
	rejoinTimeout = 8 * time.Second
)

// leavingMembers holds, on the leader, the members that have announced that they stop, and until when a removed voter
// may join again and replace one of them. It must be initialized.
type leavingMembers struct {
	mu          sync.Mutex
	members     map[string]leavingMember
	rejoinUntil time.Time
}

type leavingMember struct{ since, until time.Time }

func (l *leavingMembers) init() {
	l.members = make(map[string]leavingMember)
}

func (l *leavingMembers) add(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for id, m := range l.members {
		if !now.Before(m.until) {
			delete(l.members, id)
		}
	}

	m, known := l.members[id]
	if !known {
		m.since = now
	}

	m.until = now.Add(leavingRetention)
	l.members[id] = m
}

// since returns when a member announced that it stops, the zero time if it did not.
func (l *leavingMembers) since(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	if m := l.members[id]; time.Now().Before(m.until) {
		return m.since
	}

	return time.Time{}
}

func (l *leavingMembers) recordSilentRemoval(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.rejoinUntil = now.Add(rejoinTimeout)
}

func (l *leavingMembers) mayRejoin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Before(l.rejoinUntil)
}

// awaitReplacement waits, on the leader, until a member that leaves may stop: it has been replaced, or no
// learner can replace it and none is expected. One is if a silent voter was removed recently, or if the others are no
// majority until a silent one returns.
func (r *Control) awaitReplacement(ctx context.Context, id string) (replaced bool, err error) {
	manager := &membership.Manager{Settings: r.AutoMembership.Settings, LeavingSince: r.leaving.since}

	for r.isLeader() {
		now := time.Now()
		r.leaving.add(now, id)

		s := r.replica.Status()
		i := slices.IndexFunc(s.Members, func(m quorum.MemberStatus) bool { return m.Member.ID == id })

		switch {
		case i < 0 && s.MembersCommitted:
			return true, nil
		case i >= 0 && s.Members[i].Member.Role == quorum.Learner:
			return false, nil
		case i >= 0 && !manager.CanReplace(s.Members) && !r.leaving.mayRejoin(now) && !manager.MajorityNeeds(id, s.Members):
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
