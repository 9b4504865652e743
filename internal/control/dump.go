package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Dump returns the state of this control VM as text.
func (s *Server) Dump(ctx context.Context, _ *wire.DumpRequest) (*wire.DumpResponse, error) {
	p := s.published.Load()
	age, valid := s.age(time.Now())
	polls, err := s.localPolls(ctx)

	var b strings.Builder

	fmt.Fprintf(&b, "VM %s\nCluster %s\nApplied %d\nVersion %d\nAge %s\nFresh %t\nClaims %d\nDecisions %d\nNumberFloor %d\n",
		s.VM, s.Cluster, s.applied.Load(), p.records.Version, age, valid, s.claimCount.Load(), len(p.decisions), p.numberFloor)

	for _, r := range p.records.All() {
		fmt.Fprintf(&b, "Record %d %s %s\n", r.GetVersion(), r.GetKey(), oneLine(r))
	}

	if err != nil {
		return &wire.DumpResponse{Text: b.String()}, err
	}

	slices.SortFunc(polls.GetNodes(), func(x, y *wire.HeardNode) int { return strings.Compare(x.GetID(), y.GetID()) })

	for _, node := range polls.GetNodes() {
		fmt.Fprintf(&b, "Heard %s Incarnation %d KnownVersion %d AgeMillis %d\n",
			node.GetID(), node.GetIncarnation(), node.GetKnownVersion(), node.GetAgeMillis())
	}

	return &wire.DumpResponse{Text: b.String()}, nil
}

// oneLine formats the value of a record on one line, without its key and version.
func oneLine(r *wire.Record) string {
	text := fmt.Sprint(r.ProtoReflect().Interface())
	_, value, _ := strings.Cut(text, fmt.Sprintf("Version:%d", r.GetVersion()))

	return strings.Join(strings.Fields(value), " ")
}
