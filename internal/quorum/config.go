package quorum

import "time"

// Config is what a Core needs to know.
type Config struct {
	ID         string
	CreationID uint64
	// Founders are the members of a group that has yet to be formed. A replica
	// that joins a formed group has none.
	Founders []Member
	// HeartbeatInterval is how often a leader is heard from; Election is after how long a
	// silent leader is given up, at the earliest, and twice that at the latest.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// ChunkBytes bounds one piece of a snapshot, AppendBytes the commands of one Append.
	ChunkBytes  int
	AppendBytes int
	// CatchUpEntries is how many entries stay in the log behind a snapshot, for followers
	// that are only a little behind.
	CatchUpEntries uint64 // and at most 8 MiB of commands
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
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

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultElectionTimeout   = 1500 * time.Millisecond
	DefaultChunkBytes        = 256 << 10
	DefaultAppendBytes       = 512 << 10
	DefaultCatchUpEntries    = 1024
	maxCatchUpBytes          = 8 << 20
	MaxCommandBytes          = 4 << 20
	maxAppendEntries         = 512
	maxInFlightEntries       = 2048
	maxPendingProposals      = 8192
	maxPendingReads          = 8192
)
