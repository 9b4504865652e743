package quorum

// Message is sent from one replica to another. The network may lose, delay, duplicate and
// reorder messages.
type Message struct {
	From string
	// FromCreationID and ToCreationID are the creation IDs of the sender and the receiver
	// (see Member.Birth). ToCreationID is 0 if the sender does not know it.
	FromCreationID uint64
	To             string
	ToCreationID   uint64
	Term           uint64
	Body           Body
}

// Body is the content of a Message: one of the types in this file.
type Body interface{ body() }

// Hello is sent by a founder with an empty data folder to the other founders.
type Hello struct{}

// HelloAnswer holds the members if the sender belongs to an existing group.
type HelloAnswer struct {
	Members Members
	// MembersIndex is the index of the entry that set Members. That entry is committed
	// unless Members include the receiver.
	MembersIndex uint64
}

// Vote requests a vote. With Pre it only asks whether the vote would be granted.
type Vote struct {
	Pre bool
	// Transfer is set if the leader requested this election for a leadership transfer.
	Transfer  bool
	LastIndex uint64
	LastTerm  uint64
}

// VoteAnswer answers a Vote.
type VoteAnswer struct {
	Pre     bool
	Granted bool
}

// Append carries the entries after PrevIndex. Without entries it is a heartbeat.
type Append struct {
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	// Round is the leader's latest round. The answer repeats it.
	Round   uint64
	Entries []Entry
}

// AppendAnswer answers an Append.
type AppendAnswer struct {
	Rejected bool
	// Index is the last entry that matches the leader's log. If Rejected is set, it is the
	// entry after which the leader should retry.
	Index uint64
	// PrevIndex repeats the PrevIndex of a rejected Append.
	PrevIndex uint64
	Round     uint64
}

// Chunk is a chunk of a snapshot. Without Data it asks for the receiver's offset.
type Chunk struct {
	Index        uint64
	Term         uint64
	MembersIndex uint64
	Members      Members
	// Size and Digest (xxhash64) refer to the complete snapshot.
	Size   uint64
	Digest uint64
	Offset uint64
	Data   []byte
	Round  uint64
}

// ChunkAnswer reports the Offset up to which the snapshot at Index has been received.
type ChunkAnswer struct {
	Index  uint64
	Offset uint64
	Round  uint64
}

// ReadIndex asks the leader for a read index that is confirmed after this request.
type ReadIndex struct {
	Seq uint64
}

// ReadIndexAnswer answers a ReadIndex.
type ReadIndexAnswer struct {
	Seq   uint64
	Index uint64
}

// TimeoutNow asks a voter that holds the complete log to start an election immediately.
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
