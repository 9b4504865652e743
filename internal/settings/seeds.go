package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/inifile"
	"github.com/parsleygate/parsleygate/internal/priority"
)

// Seeds are the addresses of some control VMs, in a deployment whose control VMs discover
// and replace each other automatically.
type Seeds struct {
	// Addresses are the addresses of the seeds for operators.
	Addresses []netip.AddrPort
	// Port is the port on which each control VM serves the processes of the deployment.
	Port uint16
}

// ControlAddresses returns the addresses of the seeds for processes of the deployment.
func (s *Seeds) ControlAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Addresses))
	for _, a := range s.Addresses {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Port))
	}

	return out
}

// Routing are the settings of an entry that proxies to targets directly, without agents.
type Routing struct {
	// ReadyAddress serves the readiness checks of the load balancer.
	ReadyAddress netip.AddrPort
	// RetryRatio, MinRetries (key RetrySlack) and RetryWindow define the retry budget that
	// all entries share.
	RetryRatio  float64
	MinRetries  float64
	RetryWindow time.Duration
	// StopTimeout (key Stop) bounds a graceful stop.
	StopTimeout time.Duration
	// PriorityControl selects the services whose requests are served by declared priorities.
	PriorityControl priority.Control
	// IdleConnections bounds the idle connections to targets.
	IdleConnections int
	// CallerConnections bounds the connections of callers.
	CallerConnections int
}

// Rank are the settings of an agent that runs beside a rank of a lock-step group.
type Rank struct {
	EngineAddress netip.AddrPort
}

// Operating are the settings of a control VM that applies an operator's decision in one
// step.
type Operating struct {
	// Address is the listen address for operators' commands and targets' announcements.
	Address netip.AddrPort
	// Bootstrap means that the deployment starts for the first time.
	Bootstrap bool
	// ToleratedFailures (key BearLost) is the number of control VMs that may fail at the
	// same time.
	ToleratedFailures int
	// AnnounceInterval (key AnnounceEvery) is the interval of targets' announcements.
	AnnounceInterval time.Duration
}

// UsesSeeds reports whether the control VMs discover each other through seeds.
func (s *Settings) UsesSeeds() bool { return len(s.Seeds.Addresses) > 0 }

// Values of the key Network.
const (
	networkTrusted  = "Trusted"
	networkLoopback = "Loopback"
)

const (
	maxSeeds             = 16
	maxToleratedFailures = 3
	maxIdleConnections   = 1 << 16
	maxCallerConnections = 1 << 16
)

func networkField() Field {
	return Field{
		Section: sectionProcess, Key: "Network", Allowed: networkLoopback + " or " + networkTrusted, Default: networkLoopback,
		Help: "Trusted allows plaintext on addresses other than loopback. Anyone who can reach the ports can then control the deployment: set it only on an isolated network.",
		parse: func(s *Settings, v string) bool {
			s.Process.TrustedNetwork = v == networkTrusted

			return v == networkTrusted || v == networkLoopback
		},
	}
}

func seedDeploymentFields() []Field {
	return []Field{
		{
			Section: sectionSeeds, Key: "Addresses", Allowed: "1 to 16 comma-separated IP:port", Required: true,
			Help:  "The addresses of some control VMs for operators. They replace [Controls]; the other control VMs are discovered through them.",
			parse: setSeeds,
		},
		{
			Section: sectionSeeds, Key: "Port", Allowed: "1 to 65535", Required: true,
			Help: "The port on which each control VM serves the deployment's processes.",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.ParseUint(v, 10, 16)
				s.Seeds.Port = uint16(n)

				return err == nil && n > 0
			},
		},
		addressFieldIn(sectionRouting, "ReadyAddress", "The listen address for the load balancer's readiness checks. If it is set, the entry proxies to its targets directly, without agents.", func(s *Settings) *netip.AddrPort { return &s.Routing.ReadyAddress }),
		numberField(sectionRouting, "RetryRatio", "0.2", "The maximum ratio of retries to requests, over all entries.", func(s *Settings) *float64 { return &s.Routing.RetryRatio }),
		numberField(sectionRouting, "RetrySlack", "50", "The retries that each service may make in RetryWindow in addition to that ratio, over all entries.", func(s *Settings) *float64 { return &s.Routing.MinRetries }),
		durationField(sectionRouting, "RetryWindow", "10s", "The time window of the retry budget.", func(s *Settings) *time.Duration { return &s.Routing.RetryWindow }),
		durationField(sectionRouting, "Stop", "8s", "How long a graceful stop may take before the process is killed.", func(s *Settings) *time.Duration { return &s.Routing.StopTimeout }),
		{
			Section: sectionRouting, Key: "PriorityControl", Allowed: "Auto, All or None", Default: "Auto",
			Help: "The services whose requests are served by the priorities that operators declare: Auto for those whose routes declare different ones, All for every service with engines, None for none.",
			parse: func(s *Settings, v string) bool {
				control, ok := priority.Controls[v]
				s.Routing.PriorityControl = control

				return ok
			},
		},
		{
			Section: sectionRouting, Key: "CallerConnections", Allowed: "0 to 65536", Default: "0",
			Help: "The maximum number of connections of callers. Near it, those that have been idle longest are closed; beyond it, new ones are closed before a request is read. 0 derives it from the file descriptors and the memory of the process, which are its limit in any case: half of the descriptors beyond those for idle connections to targets, control VMs and files, and a quarter of the memory.",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Routing.CallerConnections = n

				return err == nil && n >= 0 && n <= maxCallerConnections
			},
		},
		{
			Section: sectionRouting, Key: "IdleConnections", Allowed: "0 to 65536", Default: "256",
			Help: "The maximum number of idle connections to targets, over all targets. Only services that PriorityControl selects keep connections; 0 means that none do. A quarter of the process's file descriptors is the limit in any case.",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Routing.IdleConnections = n

				return err == nil && n >= 0 && n <= maxIdleConnections
			},
		},
		addressFieldIn(sectionRank, "EngineAddress", "The address of the engine on this VM, which is a rank of a lock-step group and accepts orders. The agent then only manages expert maps; callers' requests bypass it.", func(s *Settings) *netip.AddrPort { return &s.Rank.EngineAddress }),
		addressFieldIn(sectionOperating, "Address", "The listen address for operators' commands, each of which takes effect in one step, and for targets' announcements.", func(s *Settings) *netip.AddrPort { return &s.Operating.Address }),
		{
			Section: sectionOperating, Key: "Bootstrap", Allowed: allowedBool, Default: "false",
			Help: "Whether the deployment starts for the first time. The seeds then form the initial set of control VMs.",
			parse: func(s *Settings, v string) bool {
				s.Operating.Bootstrap = v == "true"

				return v == "true" || v == "false"
			},
		},
		{
			Section: sectionOperating, Key: "BearLost", Allowed: "0 to 3", Default: "1",
			Help: "The number n of control VMs that may fail at the same time. 2n+1 control VMs are voters.",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Operating.ToleratedFailures = n

				return err == nil && n >= 0 && n <= maxToleratedFailures
			},
		},
		durationField(sectionOperating, "AnnounceEvery", "1s", "The interval at which targets announce themselves. A target counts as unresponsive after three intervals without an announcement.", func(s *Settings) *time.Duration { return &s.Operating.AnnounceInterval }),
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

func addressFieldIn(section, key, help string, dest func(*Settings) *netip.AddrPort) Field {
	f := addressField(key, help, true, dest)
	f.Section = section

	return f
}

func numberField(section, key, def, help string, dest func(*Settings) *float64) Field {
	return Field{
		Section: section, Key: key, Allowed: "a number from 0", Default: def, Help: help,
		parse: func(s *Settings, v string) bool {
			n, err := strconv.ParseFloat(v, 64)
			*dest(s) = n

			return err == nil && n >= 0
		},
	}
}

// parseZones parses the names and regions of the availability zones.
func (s *Settings) parseZones(section *inifile.Section) *inifile.Error {
	for _, setting := range section.Settings {
		if !namePattern.MatchString(setting.Key) {
			return settingError(section, setting, "bad name of a zone", allowedName)
		}

		s.Zones[setting.Key] = setting.Value
	}

	return nil
}
