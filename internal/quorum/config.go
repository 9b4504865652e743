package quorum

import "time"

// Config holds the settings of a Core.
type Config struct {
	ID string
	// CreationID is the random number generated with the replica's data folder. Other
	// members record it as Member.Birth.
	CreationID uint64
	// Founders are the initial members of a new replica group. The list is empty on a
	// replica that joins an existing group.
	Founders []Member
	// HeartbeatInterval is the interval of a leader's heartbeats. A replica that receives
	// nothing from a leader starts an election after a random time between ElectionTimeout
	// and twice ElectionTimeout.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// ChunkBytes limits the data of one snapshot chunk, AppendBytes the commands of one
	// Append.
	ChunkBytes  int
	AppendBytes int
	// CatchUpEntries is the number of entries kept in the log behind a snapshot, for
	// followers that are only slightly behind.
	CatchUpEntries uint64 // limited to 8 MiB of commands
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
	// Conflicts reports whether the outcome depends on the order of two commands that are proposed
	// with Proposed.AsOf. It must not block.
	Conflicts func(earlier, command []byte) bool
}

func setDefaults(cfg *Config) {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}

	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}

	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}

	if cfg.AppendBytes == 0 {
		cfg.AppendBytes = DefaultAppendBytes
	}

	if cfg.CatchUpEntries == 0 {
		cfg.CatchUpEntries = DefaultCatchUpEntries
	}
}

// Defaults and limits.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultElectionTimeout   = 1500 * time.Millisecond
	DefaultChunkBytes        = 256 << 10
	DefaultAppendBytes       = 512 << 10
	DefaultCatchUpEntries    = 1024
	maxCatchUpBytes          = 8 << 20 // commands kept in the log behind a snapshot
	MaxCommandBytes          = 4 << 20
	maxAppendEntries         = 512
	maxInFlightEntries       = 2048 // sent to one member and not acknowledged
	maxPendingProposals      = 8192 // not committed yet, on the leader
	maxPendingReads          = 8192 // on each replica
)
