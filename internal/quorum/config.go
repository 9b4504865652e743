package quorum

import "time"

// Config is what a Core needs to know.
type Config struct {
	ID    string
	Birth uint64
	// Founders are the members of a group that has yet to be formed. A replica
	// that joins a formed group has none.
	Founders []Member
	// Heartbeat is how often a leader is heard from; Election is after how long a
	// silent leader is given up, at the earliest, and twice that at the latest.
	Heartbeat time.Duration
	Election  time.Duration
	// ChunkBytes bounds one piece of a snapshot, AppendBytes the commands of one Append.
	ChunkBytes  int
	AppendBytes int
	// Keep is how many entries stay in the log behind a snapshot, for followers
	// that are only a little behind.
	Keep uint64 // and at most 8 MiB of commands
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
}

func setDefaults(cfg *Config) {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}

	if cfg.Election == 0 {
		cfg.Election = DefaultElection
	}

	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}

	if cfg.AppendBytes == 0 {
		cfg.AppendBytes = DefaultAppendBytes
	}

	if cfg.Keep == 0 {
		cfg.Keep = DefaultKeep
	}
}

// Defaults of Config.
const (
	DefaultHeartbeat   = 250 * time.Millisecond
	DefaultElection    = 1500 * time.Millisecond
	DefaultChunkBytes  = 256 << 10
	DefaultAppendBytes = 512 << 10
	DefaultKeep        = 1024
	keepBytes          = 8 << 20
	MaxCommandBytes    = 4 << 20
	maxAppendEntries   = 512
	maxInFlight        = 2048
	maxPending         = 8192
	maxWaitingReads    = 8192
)
