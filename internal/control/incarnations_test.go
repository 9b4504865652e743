package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// controlSet is control VMs that exchange incarnations.
type controlSet struct {
	t *testing.T
	// voters is the number of them that have a vote, the first ones.
	voters int
	mu     sync.Mutex
	// frozen are those that do not answer.
	frozen map[int]bool
	// running are nil while they are killed.
	running []*control.Server
	stops   []context.CancelFunc
	disks   [][]byte
	// messages and bytes count the exchanges.
	messages, bytes int
	// drainingMessages and drainingBytes count the notices of draining targets.
	drainingMessages, drainingBytes int
}

func newControlSet(t *testing.T, n int) *controlSet {
	t.Helper()

	return newControlSetWithVoters(t, n, n)
}

func newControlSetWithVoters(t *testing.T, n, voters int) *controlSet {
	t.Helper()

	c := &controlSet{t: t, voters: voters, frozen: make(map[int]bool), running: make([]*control.Server, n), stops: make([]context.CancelFunc, n), disks: make([][]byte, n)}
	for i := range n {
		c.start(i)
	}

	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}

		time.Sleep(time.Second) // for the calls between control VMs
	})

	time.Sleep(time.Second)

	return c
}

func controlName(i int) string { return fmt.Sprint("control-", i) }

// server returns a running control VM after the time of a message.
func (c *controlSet) server(i int) (*control.Server, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.running[i] == nil {
		return nil, twirp.NewError(twirp.Unavailable, "connection refused")
	}

	return c.running[i], nil
}

func (c *controlSet) recordDraining(ctx context.Context, to int, r *wire.DrainingRequest) error {
	s, err := c.server(to)
	if err != nil {
		return err
	}

	c.mu.Lock()
	frozen := c.frozen[to]
	c.drainingMessages++
	c.drainingBytes += proto.Size(r)
	c.mu.Unlock()

	if frozen {
		<-ctx.Done()

		return ctx.Err()
	}

	_, err = s.RecordDraining(ctx, r)

	return err
}

// drainingCalls returns the number of calls of RecordDraining.
func (c *controlSet) drainingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.drainingMessages
}

func (c *controlSet) exchange(ctx context.Context, to int, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
	s, err := c.server(to)
	if err != nil {
		return nil, err
	}

	out, err := s.ExchangeIncarnations(ctx, r)

	c.mu.Lock()
	c.messages++
	c.bytes += proto.Size(r) + proto.Size(out)
	c.mu.Unlock()

	return out, err
}

// start starts a control VM with what its disk holds.
func (c *controlSet) start(i int) {
	s := newDocumentServer()
	s.VM = controlName(i)
	s.SaveTargets = func(data []byte) error {
		c.mu.Lock()
		defer c.mu.Unlock()

		c.disks[i] = data

		return nil
	}
	s.LoadTargets = func() ([]byte, error) {
		c.mu.Lock()
		defer c.mu.Unlock()

		return c.disks[i], nil
	}
	s.FindVoters = func() (bool, []control.Voter) {
		var out []control.Voter

		for j := range c.voters {
			if j != i {
				out = append(out, control.Voter{
					Name: controlName(j),
					RecordDraining: func(ctx context.Context, r *wire.DrainingRequest) error {
						return c.recordDraining(ctx, j, r)
					},
					RecordRemoval: func(ctx context.Context, r *wire.RemovalRequest) error {
						voter, err := c.server(j)
						if err == nil {
							_, err = voter.RecordRemoval(ctx, r)
						}

						return err
					},
					ExchangeIncarnations: func(ctx context.Context, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
						return c.exchange(ctx, j, r)
					},
				})
			}
		}

		return i < c.voters, out
	}
	s.FindPeers = func() []control.Peer {
		var out []control.Peer

		for j := range c.running {
			if j != i {
				out = append(out, control.Peer{
					Name: controlName(j),
					ExchangeIncarnations: func(ctx context.Context, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
						return c.exchange(ctx, j, r)
					},
					RecentPolls: func(context.Context) (*wire.HeardResponse, error) { return &wire.HeardResponse{}, nil },
				})
			}
		}

		return out
	}

	log := &control.MemoryLog{}
	s.Propose, s.ReadIndex = log.Propose, log.ReadIndex
	s.Init()
	log.Apply = s.Apply

	ctx, stop := context.WithCancel(c.t.Context())

	c.mu.Lock()
	c.running[i], c.stops[i] = s, stop
	c.mu.Unlock()

	go func() { _ = s.Run(ctx) }()
}

// kill kills a control VM, whose disk is lost if it is not kept.
func (c *controlSet) kill(i int, keepDisk bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.stops[i]()
	c.running[i] = nil

	if !keepDisk {
		c.disks[i] = nil
	}
}

// published returns the targets that an entry uses which has just started.
func (c *controlSet) published() []directory.Target {
	var merged directory.MergedTargets

	for _, s := range c.running {
		if s == nil {
			continue
		}

		out, err := s.Follow(c.t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "entry"})
		require.NoError(c.t, err)

		var ts []directory.Target

		for _, w := range out.GetTargets() {
			t, err := directory.FromWire(w, time.Now())
			require.NoError(c.t, err)

			ts = append(ts, t)
		}

		merged.Merge(ts)
	}

	return merged.Targets()
}

func incarnation(startTime int64, sequence uint64) directory.Target {
	t := newTarget("i1", "desk", "a")
	t.StartTime, t.Sequence = startTime, sequence

	return t
}

// Guards against a removal that is undone by an announcement sent before it, where the control VM that had the target's
// announcements was killed before the removal and is back with an empty directory, also if all others are killed too.
func TestDelayedAnnouncementAfterARemovalIsIgnored(t *testing.T) {
	t.Parallel()

	for _, powerLost := range []bool{false, true} {
		for _, at := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("at control VM %d, power lost %v", at, powerLost), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newControlSet(t, 3)
					require.NoError(t, c.running[0].Announce(t.Context(), incarnation(5, 1)))
					time.Sleep(time.Second)
					c.kill(0, false)
					require.NoError(t, c.running[1].Leave(t.Context(), "i1"))

					if powerLost {
						c.kill(1, true)
						c.kill(2, true)
						c.start(1)
						c.start(2)
					}

					c.start(0)
					time.Sleep(time.Second)
					require.NoError(t, c.running[at].Announce(t.Context(), incarnation(5, 2)))
					require.Empty(t, c.published())

					require.NoError(t, c.running[at].Announce(t.Context(), incarnation(6, 1)))
					require.Len(t, c.published(), 1, "a later incarnation")
				})
			})
		}
	}
}

// Guards against a target that waits, after it was removed and has started again under its ID, for what control VMs tell
// each other, also while the others don't answer.
func TestTargetThatReturnsAfterItsRemovalIsUsedAtOnce(t *testing.T) {
	t.Parallel()

	for _, alone := range []bool{false, true} {
		for _, at := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("at control VM %d, alone %v", at, alone), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newControlSet(t, 3)
					require.NoError(t, c.running[0].Announce(t.Context(), incarnation(5, 1)))
					time.Sleep(time.Second)
					require.NoError(t, c.running[1].Leave(t.Context(), "i1"))

					if alone {
						for i := range 3 {
							if i != at {
								c.kill(i, true)
							}
						}
					}

					before := time.Now()
					require.NoError(t, c.running[at].Announce(t.Context(), incarnation(6, 1)))
					require.Zero(t, time.Since(before), "no other control VM is asked")
					time.Sleep(time.Millisecond) // the message to the entry
					require.Len(t, c.published(), 1)

					// What the others hear late does not end it.
					time.Sleep(2 * time.Second)
					require.NoError(t, c.running[at].Announce(t.Context(), incarnation(6, 2)))
					require.Len(t, c.published(), 1)
				})
			})
		}
	}
}

// Guards against a removal by a control VM that has just started and does not know which incarnation it ends.
func TestRemovalByAVMThatHasJustStarted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newControlSet(t, 3)
		require.NoError(t, c.running[0].Announce(t.Context(), incarnation(5, 1)))
		time.Sleep(time.Second)

		c.kill(0, false)
		c.kill(2, false)
		c.start(2)
		require.NoError(t, c.running[2].Leave(t.Context(), "i1"))
		require.NoError(t, c.running[2].Announce(t.Context(), incarnation(5, 2)))
		require.Empty(t, c.published())

		c.kill(1, true)

		began := time.Now()
		require.Error(t, c.running[2].Leave(t.Context(), "i1"))
		require.Less(t, time.Since(began), 100*time.Millisecond, "what can't be acknowledged is refused at once")
	})
}

// Guards against exchanges that cost control VMs more than the size to design for allows: 645 targets, 400 restarts a day.
func TestCostOfIncarnations(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const (
			vms     = 7
			targets = 645
		)

		c := newControlSet(t, vms)
		announce := func(i int, startTime int64) {
			target := newTarget(fmt.Sprintf("i-%08x", i), "desk", "a")
			target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
			target.StartTime = startTime
			require.NoError(t, c.running[i%vms].Announce(t.Context(), target))
		}
		count := func(d time.Duration) (messages, bytes int) {
			c.mu.Lock()
			messages, bytes = c.messages, c.bytes
			c.mu.Unlock()
			time.Sleep(d)
			c.mu.Lock()
			defer c.mu.Unlock()

			return c.messages - messages, c.bytes - bytes
		}

		for i := range targets {
			announce(i, 1796388832588)
		}

		_, _ = count(10 * time.Second)
		messages, bytes := count(10 * time.Minute)
		t.Logf("quiet: %.2f messages/s, %.0f B/s at each of %d control VMs", float64(messages)/600/vms, float64(bytes)/600/vms, vms)
		require.Less(t, bytes/600/vms, 700)

		announce(7, 1796388832589)

		messages, bytes = count(500 * time.Millisecond)
		t.Logf("a restart: %d messages, %d B between all %d control VMs", messages, bytes, vms)
		require.LessOrEqual(t, messages, vms-1)

		require.NoError(t, c.running[3].Leave(t.Context(), "i-00000007"))

		messages, bytes = count(500 * time.Millisecond)
		t.Logf("a removal: %d messages, %d B between all %d control VMs", messages, bytes, vms)
		require.LessOrEqual(t, messages, vms*(vms-1))
	})
}
