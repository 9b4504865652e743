package quorum

// Message goes from one replica to another. Any message may be lost, late,
// doubled or reordered.
type Message struct {
	From           string
	FromCreationID uint64
	To             string
	// ToCreationID is what the sender knows of the receiver's data folder; 0 if nothing.
	ToCreationID uint64
	Term         uint64
	Body         Body
}

// Body is what a Message says: one of the types in this file.
type Body interface{ body() }

// Hello is sent by a founder with an empty data folder to the other founders.
type Hello struct{}

// HelloAnswer holds the members if the sender belongs to a formed group.
type HelloAnswer struct {
	Members Members
	// MembersIndex is the entry that set Members. It is committed unless the
	// receiver is one of them.
	MembersIndex uint64
}

// Vote asks for a vote, or with Pre for the word that a vote would be given.
type Vote struct {
	Pre bool
	// Transfer says that the leader itself asked for this election.
	Transfer  bool
	LastIndex uint64
	LastTerm  uint64
}

// VoteAnswer answers a Vote.
type VoteAnswer struct {
	Pre     bool
	Granted bool
}

// Append carries entries after PrevIndex; without entries it is a heartbeat.
type Append struct {
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	// Round is the leader's latest quorum round; the answer repeats it.
	Round   uint64
	Entries []Entry
}

// AppendAnswer answers an Append.
type AppendAnswer struct {
	Rejected bool
	// Index is the last entry that matches the leader's, or with Rejected the
	// entry after which the leader should try next.
	Index uint64
	// PrevIndex repeats that of a rejected Append.
	PrevIndex uint64
	Round     uint64
}

// Chunk is a piece of a snapshot. Without Data it asks how far the receiver is.
type Chunk struct {
	Index        uint64
	Term         uint64
	MembersIndex uint64
	Members      Members
	// Size and Digest (xxhash64) are of the whole snapshot.
	Size   uint64
	Digest uint64
	Offset uint64
	Data   []byte
	Round  uint64
}

// ChunkAnswer says up to which Offset the snapshot at Index has been received.
type ChunkAnswer struct {
	Index  uint64
	Offset uint64
	Round  uint64
}

// ReadIndex asks the leader for an index that was current after the ask.
type ReadIndex struct {
	Seq uint64
}

// ReadIndexAnswer answers a Read.
type ReadIndexAnswer struct {
	Seq   uint64
	Index uint64
}

// TimeoutNow tells a voter that holds the whole log to stand for election at once.
type TimeoutNow struct{}

func (Hello) body()           {}
func (HelloAnswer) body()     {}
func (Vote) body()            {}
func (VoteAnswer) body()      {}
func (Append) body()          {}
func (AppendAnswer) body()    {}
func (Chunk) body()           {}
func (ChunkAnswer) body()     {}
func (ReadIndex) body()       {}
func (ReadIndexAnswer) body() {}
func (TimeoutNow) body()      {}
