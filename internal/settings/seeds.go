package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

// Seeds name some control VMs of a deployment whose control VMs find each other
// and replace each other by themselves.
type Seeds struct {
	// Addresses are where operators reach the control VMs.
	Addresses []netip.AddrPort
	// Port is where each of these VMs serves the system's own processes.
	Port uint16
}

// ControlAddresses returns where the system's own processes reach the seeds.
func (s *Seeds) ControlAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Addresses))
	for _, a := range s.Addresses {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Port))
	}

	return out
}

// Routing are the settings of an entry that is the door of its targets.
type Routing struct {
	// ReadyAddress answers the balancer whether this entry takes callers.
	ReadyAddress netip.AddrPort
	// RetryRatio, RetrySlack and RetryWindow are the retry budget that all entries hold together.
	RetryRatio  float64
	MinRetries  float64
	RetryWindow time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
}

// Rank are the settings of an agent beside a rank of a lock-step group.
type Rank struct {
	EngineAddress netip.AddrPort
}

// Operating are the settings of a control VM whose operators decide in one step.
type Operating struct {
	// Address takes operators' orders and targets' announcements.
	Address netip.AddrPort
	// Bootstrap says that the deployment starts for the first time.
	Bootstrap bool
	// ToleratedFailures is how many control VMs may be lost at once.
	ToleratedFailures int
	// AnnounceInterval is how often targets announce themselves.
	AnnounceInterval time.Duration
}

// UsesSeeds reports whether the control VMs find each other by seeds.
func (s *Settings) UsesSeeds() bool { return len(s.Seeds.Addresses) > 0 }

// networkTrusted and networkLoopback are the values of Network.
const (
	networkTrusted  = "Trusted"
	networkLoopback = "Loopback"
)

const (
	maxSeeds    = 16
	maxBearLost = 3
)

func networkField() Field {
	return Field{
		Section: sectionProcess, Key: "Network", Allowed: networkLoopback + " or " + networkTrusted, Default: networkLoopback,
		Help: "Trusted lets processes talk in plaintext beyond loopback. Whoever reaches their ports can then give orders: set it only on a network that nobody else reaches.",
		set: func(s *Settings, v string) bool {
			s.Process.TrustedNetwork = v == networkTrusted

			return v == networkTrusted || v == networkLoopback
		},
	}
}

func seedFields() []Field {
	return []Field{
		{
			Section: sectionSeeds, Key: "Addresses", Allowed: "IP:port, 1 to 16 with commas between them", Required: true,
			Help: "Where operators reach some control VMs. In place of [Controls]; the others are learnt from these.",
			set:  setSeeds,
		},
		{
			Section: sectionSeeds, Key: "Port", Allowed: "1 to 65535", Required: true,
			Help: "The port at which each control VM serves the system's own processes.",
			set: func(s *Settings, v string) bool {
				n, err := strconv.ParseUint(v, 10, 16)
				s.Seeds.Port = uint16(n)

				return err == nil && n > 0
			},
		},
		addressIn(sectionRouting, "ReadyAddress", "Answers the balancer whether this entry takes callers. It makes the entry the door of its targets.", func(s *Settings) *netip.AddrPort { return &s.Routing.ReadyAddress }),
		fraction(sectionRouting, "RetryRatio", "0.2", "How many sends beyond its first a request pays for, over all entries.", func(s *Settings) *float64 { return &s.Routing.RetryRatio }),
		fraction(sectionRouting, "RetrySlack", "50", "How many such sends each service gets free in RetryWindow, over all entries.", func(s *Settings) *float64 { return &s.Routing.MinRetries }),
		duration(sectionRouting, "RetryWindow", "10s", "The window of the retry budget.", func(s *Settings) *time.Duration { return &s.Routing.RetryWindow }),
		duration(sectionRouting, "Stop", "8s", "How long a graceful stop may take before the process is killed.", func(s *Settings) *time.Duration { return &s.Routing.StopTimeout }),
		addressIn(sectionRank, "EngineAddress", "The engine on this VM, which is a rank of a lock-step group and takes orders. It makes the agent one that only keeps expert maps; callers' requests reach the engine past it.", func(s *Settings) *netip.AddrPort { return &s.Rank.EngineAddress }),
		addressIn(sectionOperating, "Address", "Takes operators' orders, which are carried out in one step, and targets' announcements.", func(s *Settings) *netip.AddrPort { return &s.Operating.Address }),
		{
			Section: sectionOperating, Key: "Bootstrap", Allowed: allowedBool, Default: "false",
			Help: "Whether the deployment starts for the first time: the seeds then form the control set.",
			set: func(s *Settings, v string) bool {
				s.Operating.Bootstrap = v == "true"

				return v == "true" || v == "false"
			},
		},
		{
			Section: sectionOperating, Key: "BearLost", Allowed: "0 to 3", Default: "1",
			Help: "How many control VMs may be lost at once: twice as many and one more vote.",
			set: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Operating.ToleratedFailures = n

				return err == nil && n >= 0 && n <= maxBearLost
			},
		},
		duration(sectionOperating, "AnnounceEvery", "1s", "How often targets announce themselves; after three silent periods one counts as silent.", func(s *Settings) *time.Duration { return &s.Operating.AnnounceInterval }),
	}
}

func setSeeds(s *Settings, v string) bool {
	for part := range strings.SplitSeq(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil || a.Port() == 0 {
			return false
		}

		if !slices.Contains(s.Seeds.Addresses, a) {
			s.Seeds.Addresses = append(s.Seeds.Addresses, a)
		}
	}

	return len(s.Seeds.Addresses) <= maxSeeds
}

func addressIn(section, key, help string, at func(*Settings) *netip.AddrPort) Field {
	f := address(key, help, true, at)
	f.Section = section

	return f
}

func fraction(section, key, def, help string, at func(*Settings) *float64) Field {
	return Field{
		Section: section, Key: key, Allowed: "a number from 0", Default: def, Help: help,
		set: func(s *Settings, v string) bool {
			n, err := strconv.ParseFloat(v, 64)
			*at(s) = n

			return err == nil && n >= 0
		},
	}
}

// takeZones reads the regions of the availability zones, by name.
func (s *Settings) takeZones(section *inifile.Section) *inifile.Error {
	for _, set := range section.Settings {
		if !nameRule.MatchString(set.Key) {
			return problem(section, set, "bad name of a zone", allowedName)
		}

		s.Zones[set.Key] = set.Value
	}

	return nil
}
