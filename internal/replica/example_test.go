package replica_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
)

// A group of one replica. Propose returns once the command is on its disk.
func ExampleReplica() {
	dir, err := os.MkdirTemp("", "replica")
	if err != nil {
		fmt.Println(err)

		return
	}
	defer os.RemoveAll(dir)

	zones := ""
	r := &replica.Replica{
		ID: "vm0", Cluster: "qurum", Dir: dir, Founders: []quorum.Member{{ID: "vm0"}}, HeartbeatInterval: 10 * time.Millisecond,
		Apply:    func(_ uint64, command []byte) []byte { zones += string(command); return []byte("done") },
		Snapshot: func() []byte { return []byte(zones) },
		Restore:  func(b []byte) error { zones = string(b); return nil },
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- r.Run(ctx) }()

	_, result, err := r.Propose(ctx, []byte("take muscat-a out"))
	fmt.Println(string(result), err)
	stop()
	fmt.Println(zones, <-ended)
	// Output:
	// done <nil>
	// take muscat-a out <nil>
}
