package replica

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// The leader's process has ended and nothing listens at its address. The request was not
// sent, so forwardTo must return ErrNotSent, which allows a retry and the verdict NotRun.
func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	t.Parallel()

	to, err := loopback.Address()
	require.NoError(t, err)

	r := &Replica{ID: "vm0", Cluster: "test"}
	r.init()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	_, err = r.forwardTo(ctx, to, &wire.PeerOrder{Cluster: "test"})
	require.ErrorIs(t, err, ErrNotSent)
}

// Each kind of message must survive encoding and decoding unchanged, also with empty
// fields. A message without a known body must give an error.
func TestMessagesRoundTrip(t *testing.T) {
	t.Parallel()

	members := quorum.Members{{ID: "a", Birth: 3, Addr: netip.MustParseAddrPort("[::1]:7"), Role: quorum.Learner}, {ID: "b"}}
	entries := []quorum.Entry{{Index: 1, Term: 2, Command: []byte("c")}, {Index: 2, Term: 2, Kind: quorum.EntryMembers, Members: members}}

	for _, body := range []quorum.Body{
		quorum.Hello{},
		quorum.HelloAnswer{Members: members, MembersIndex: 4},
		quorum.Vote{Pre: true, Transfer: true, LastIndex: 1, LastTerm: 2},
		quorum.VoteAnswer{Pre: true, Granted: true},
		quorum.Append{PrevIndex: 1, PrevTerm: 2, Commit: 3, Round: 4, Entries: entries},
		quorum.AppendAnswer{Rejected: true, Index: 1, PrevIndex: 2, Round: 3},
		quorum.Chunk{Index: 1, Term: 2, MembersIndex: 3, Members: members, Size: 4, Digest: 5, Offset: 6, Data: []byte("d"), Round: 7},
		quorum.ChunkAnswer{Index: 1, Offset: 2, Round: 3},
		quorum.ReadIndex{Seq: 1},
		quorum.ReadIndexAnswer{Seq: 1, Index: 2},
		quorum.TimeoutNow{},
	} {
		sent := quorum.Message{From: "a", FromCreationID: 1, To: "b", ToCreationID: 2, Term: 3, Body: body}
		b, err := proto.Marshal(sent.ToWire())
		require.NoError(t, err)

		var w wire.QuorumMessage

		require.NoError(t, proto.Unmarshal(b, &w))

		got, err := quorum.MessageFromWire(&w)
		require.NoError(t, err)
		require.Equal(t, sent, got)
	}

	_, err := quorum.MessageFromWire(&wire.QuorumMessage{From: "later release"})
	require.Error(t, err)
}
