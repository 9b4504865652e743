package quorum

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// MemberToWire returns the wire form of m.
func MemberToWire(m Member) *wire.QuorumMember {
	return &wire.QuorumMember{ID: m.ID, Birth: m.Birth, Address: addrString(m.Addr), Learner: m.Role == Learner}
}

func addrString(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}

	return a.String()
}

// MemberFromWire returns the member that w describes.
func MemberFromWire(w *wire.QuorumMember) (Member, error) {
	m := Member{ID: w.GetID(), Birth: w.GetBirth()}
	if w.GetLearner() {
		m.Role = Learner
	}

	if w.GetAddress() == "" {
		return m, nil
	}

	addr, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return m, eris.Wrapf(err, "address of member %s", w.GetID())
	}

	m.Addr = addr

	return m, nil
}

// MembersToWire returns the wire form of ms.
func MembersToWire(ms Members) []*wire.QuorumMember {
	var out []*wire.QuorumMember
	for _, m := range ms {
		out = append(out, MemberToWire(m))
	}

	return out
}

// MembersFromWire returns the members that ws describe.
func MembersFromWire(ws []*wire.QuorumMember) (Members, error) {
	var out Members

	for _, w := range ws {
		m, err := MemberFromWire(w)
		if err != nil {
			return nil, err
		}

		out = append(out, m)
	}

	return out, nil
}

// EntriesToWire returns the form in which es are sent and stored.
func EntriesToWire(es []Entry) []*wire.QuorumEntry {
	out := make([]*wire.QuorumEntry, 0, len(es))
	for _, e := range es {
		out = append(out, &wire.QuorumEntry{
			Index: e.Index, Term: e.Term, Kind: wire.QuorumEntryKind(e.Kind), Command: e.Command, Members: MembersToWire(e.Members),
		})
	}

	return out
}

// EntriesFromWire returns the entries that ws describe.
func EntriesFromWire(ws []*wire.QuorumEntry) ([]Entry, error) {
	out := make([]Entry, 0, len(ws))

	for _, w := range ws {
		ms, err := MembersFromWire(w.GetMembers())
		if err != nil {
			return nil, err
		}

		out = append(out, Entry{
			Index: w.GetIndex(), Term: w.GetTerm(), Kind: EntryKind(w.GetKind()), Command: w.GetCommand(), Members: ms,
		})
	}

	return out, nil
}

// ToWire returns the wire form of m.
func (m Message) ToWire() *wire.QuorumMessage {
	w := &wire.QuorumMessage{From: m.From, FromBirth: m.FromCreationID, To: m.To, ToBirth: m.ToCreationID, Term: m.Term}

	switch b := m.Body.(type) {
	case Hello:
		w.Body = &wire.QuorumMessage_Hello{Hello: &wire.QuorumHello{}}
	case HelloAnswer:
		w.Body = &wire.QuorumMessage_HelloAnswer{HelloAnswer: &wire.QuorumHelloAnswer{
			Members: MembersToWire(b.Members), MembersIndex: b.MembersIndex,
		}}
	case Vote:
		w.Body = &wire.QuorumMessage_Vote{Vote: &wire.QuorumVote{
			Pre: b.Pre, Transfer: b.Transfer, LastIndex: b.LastIndex, LastTerm: b.LastTerm,
		}}
	case VoteAnswer:
		w.Body = &wire.QuorumMessage_VoteAnswer{VoteAnswer: &wire.QuorumVoteAnswer{Pre: b.Pre, Granted: b.Granted}}
	case Append:
		w.Body = &wire.QuorumMessage_Append{Append: &wire.QuorumAppend{
			PrevIndex: b.PrevIndex, PrevTerm: b.PrevTerm, Commit: b.Commit, Round: b.Round, Entries: EntriesToWire(b.Entries),
		}}
	case AppendAnswer:
		w.Body = &wire.QuorumMessage_AppendAnswer{AppendAnswer: &wire.QuorumAppendAnswer{
			Rejected: b.Rejected, Index: b.Index, PrevIndex: b.PrevIndex, Round: b.Round,
		}}
	case Chunk:
		w.Body = &wire.QuorumMessage_Chunk{Chunk: &wire.QuorumChunk{
			Index: b.Index, Term: b.Term, MembersIndex: b.MembersIndex, Members: MembersToWire(b.Members), Size: b.Size,
			Offset: b.Offset, Data: b.Data, Round: b.Round, Digest: b.Digest,
		}}
	case ChunkAnswer:
		w.Body = &wire.QuorumMessage_ChunkAnswer{ChunkAnswer: &wire.QuorumChunkAnswer{
			Index: b.Index, Offset: b.Offset, Round: b.Round,
		}}
	case ReadIndex:
		w.Body = &wire.QuorumMessage_Read{Read: &wire.QuorumRead{Ask: b.Seq}}
	case ReadIndexAnswer:
		w.Body = &wire.QuorumMessage_ReadAnswer{ReadAnswer: &wire.QuorumReadAnswer{Ask: b.Seq, Index: b.Index}}
	case TimeoutNow:
		w.Body = &wire.QuorumMessage_TimeoutNow{TimeoutNow: &wire.QuorumTimeoutNow{}}
	}

	return w
}

// MessageFromWire returns the message that w describes. A message of an unknown kind, as a
// later release may send, gives an error; the caller ignores such a message.
func MessageFromWire(w *wire.QuorumMessage) (Message, error) {
	m := Message{From: w.GetFrom(), FromCreationID: w.GetFromBirth(), To: w.GetTo(), ToCreationID: w.GetToBirth(), Term: w.GetTerm()}

	var err error

	switch b := w.GetBody().(type) {
	case *wire.QuorumMessage_Hello:
		m.Body = Hello{}
	case *wire.QuorumMessage_HelloAnswer:
		var ms Members
		ms, err = MembersFromWire(b.HelloAnswer.GetMembers())
		m.Body = HelloAnswer{Members: ms, MembersIndex: b.HelloAnswer.GetMembersIndex()}
	case *wire.QuorumMessage_Vote:
		v := b.Vote
		m.Body = Vote{Pre: v.GetPre(), Transfer: v.GetTransfer(), LastIndex: v.GetLastIndex(), LastTerm: v.GetLastTerm()}
	case *wire.QuorumMessage_VoteAnswer:
		m.Body = VoteAnswer{Pre: b.VoteAnswer.GetPre(), Granted: b.VoteAnswer.GetGranted()}
	case *wire.QuorumMessage_Append:
		m.Body, err = appendFromWire(b.Append)
	case *wire.QuorumMessage_AppendAnswer:
		a := b.AppendAnswer
		m.Body = AppendAnswer{
			Rejected: a.GetRejected(), Index: a.GetIndex(), PrevIndex: a.GetPrevIndex(), Round: a.GetRound(),
		}
	case *wire.QuorumMessage_Chunk:
		m.Body, err = chunkFromWire(b.Chunk)
	case *wire.QuorumMessage_ChunkAnswer:
		a := b.ChunkAnswer
		m.Body = ChunkAnswer{Index: a.GetIndex(), Offset: a.GetOffset(), Round: a.GetRound()}
	case *wire.QuorumMessage_Read:
		m.Body = ReadIndex{Seq: b.Read.GetAsk()}
	case *wire.QuorumMessage_ReadAnswer:
		m.Body = ReadIndexAnswer{Seq: b.ReadAnswer.GetAsk(), Index: b.ReadAnswer.GetIndex()}
	case *wire.QuorumMessage_TimeoutNow:
		m.Body = TimeoutNow{}
	default:
		err = eris.Errorf("message of unknown kind from %s", m.From)
	}

	return m, err
}

func appendFromWire(w *wire.QuorumAppend) (Append, error) {
	es, err := EntriesFromWire(w.GetEntries())

	return Append{
		PrevIndex: w.GetPrevIndex(), PrevTerm: w.GetPrevTerm(), Commit: w.GetCommit(), Round: w.GetRound(), Entries: es,
	}, err
}

func chunkFromWire(w *wire.QuorumChunk) (Chunk, error) {
	ms, err := MembersFromWire(w.GetMembers())

	return Chunk{
		Index: w.GetIndex(), Term: w.GetTerm(), MembersIndex: w.GetMembersIndex(), Members: ms, Size: w.GetSize(),
		Offset: w.GetOffset(), Data: w.GetData(), Round: w.GetRound(), Digest: w.GetDigest(),
	}, err
}
