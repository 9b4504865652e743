package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Field describes one setting and parses its value.
type Field struct {
	Section string
	Key     string
	// Allowed describes the valid values. Help describes what the setting does.
	Allowed string
	Help    string
	// Default is the default value, or empty if there is none.
	Default string
	// Required settings have no default and must be set if their section applies.
	Required bool

	parse func(s *Settings, value string) bool
}

// Names of the sections.
const (
	sectionProcess  = "Process"
	sectionClients  = "Clients"
	sectionControls = "Controls"
	sectionEntry    = "Entry"
	sectionAgent    = "Agent"
	sectionControl  = "Control"
	sectionTLS      = "TLS"

	sectionSeeds     = "Seeds"
	sectionRouting   = "Routing"
	sectionOperating = "Operating"
	sectionZones     = "Zones"
	sectionRank      = "Rank"
)

const (
	allowedName     = "1 to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit"
	allowedAddress  = "IP:port"
	allowedDuration = "a duration above 0 such as 500ms, 30s or 5m"
	allowedSize     = "bytes, from 1 to 1073741824"
	allowedBool     = "true or false"
	allowedPath     = "a path"
)

const (
	maxSizeBytes = 1 << 30
	maxTargets   = 1 << 20
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Fields returns all settings with fixed keys, in the order of the reference.
func Fields() []Field {
	return append(coreFields(), seedDeploymentFields()...)
}

func coreFields() []Field {
	return []Field{
		{
			Section: sectionProcess, Key: "Role", Allowed: "entry, agent or control", Required: true,
			Help: "The kind of process.", parse: setRole,
		},
		nameField("ID", "The process's name, unique in the deployment. It stays the same over restarts.", true, func(s *Settings) *string { return &s.Process.ID }),
		nameField("Cluster", "The name of the deployment. Processes of other deployments are refused.", true, func(s *Settings) *string { return &s.Process.Cluster }),
		nameField("Zone", "The availability zone of the VM.", true, func(s *Settings) *string { return &s.Process.Zone }),
		nameField("Region", "The region of the zone.", false, func(s *Settings) *string { return &s.Process.Region }),
		addressField("Address", "The listen address: of an entry for callers, of an agent or control VM for the deployment's processes.", true, func(s *Settings) *netip.AddrPort { return &s.Process.Address }),
		addressField("AdminAddress", "The listen address for the dump and metrics. Preferably a loopback address.", false, func(s *Settings) *netip.AddrPort { return &s.Process.AdminAddress }),
		{
			Section: sectionProcess, Key: "LogOutput", Allowed: "comma-separated part names, or all",
			Help:  "The parts of the process that write debug log lines.",
			parse: func(s *Settings, v string) bool { s.Process.LogOutput = v; return true },
		},
		{
			Section: sectionProcess, Key: "MemoryMB", Allowed: "megabytes, from 16 to 1048576", Default: "256",
			Help: "The memory that the process may use. An entry that proxies directly holds at most a quarter of it for request bodies and answers, and an eighth for large headers of requests; beyond that it ends requests whose caller or target reads or sends slowly, and refuses new ones. Other processes hold at most a quarter of it for the requests of their clients. Connections of clients take at most a quarter. From three quarters on the runtime collects garbage more often, unless GOMEMLIMIT is set. [How a process's memory is divided](design/memory.md).",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Process.MemoryMB = n

				return err == nil && n >= 16 && n <= 1<<20
			},
		},
		networkField(),
		sizeField(sectionClients, "MaxHeaderBytes", "16384", "The maximum size of a request's header at ports that are not for callers: those for other processes, operators, targets, load balancers, dumps and metrics. Larger ones get status 431.", func(s *Settings) *int { return &s.Clients.MaxHeaderBytes }),
		durationField(sectionClients, "HeaderTimeout", "10s", "How long a client of such a port may take to send the header of a request. After it the request gets status 408.", func(s *Settings) *time.Duration { return &s.Clients.HeaderTimeout }),
		durationField(sectionClients, "BodyTimeout", "30s", "How long a client of such a port may take to send the body of a request. After it the body ends with an error.", func(s *Settings) *time.Duration { return &s.Clients.BodyTimeout }),
		durationField(sectionClients, "IdleTimeout", "90s", "How long a connection to such a port may have no request. After it the connection is closed.", func(s *Settings) *time.Duration { return &s.Clients.IdleTimeout }),
		sizeField(sectionEntry, "MaxHeaderBytes", "65536", "The maximum size of a request's header. Larger ones get status 431. At an entry that proxies directly it holds until a configuration declares another limit.", func(s *Settings) *int { return &s.Entry.MaxHeaderBytes }),
		sizeField(sectionEntry, "MaxBodyBytes", "4194304", "The maximum size of a request's body. Larger ones get status 413 with the verdict NotRun.", func(s *Settings) *int { return &s.Entry.MaxBodyBytes }),
		sizeField(sectionEntry, "MaxRecordedBytes", "65536", "The maximum size of a response that is stored for retries with the same idempotency key.", func(s *Settings) *int { return &s.Entry.MaxRecordedBytes }),
		durationField(sectionEntry, "DefaultTimeout", "1m", "The timeout of requests without a deadline.", func(s *Settings) *time.Duration { return &s.Entry.DefaultTimeout }),
		durationField(sectionEntry, "MaxTimeout", "10m", "The maximum timeout of a request. Longer ones are reduced to it.", func(s *Settings) *time.Duration { return &s.Entry.MaxTimeout }),
		durationField(sectionEntry, "SlowReader", "30s", "The maximum time of one write to a caller. After it the caller counts as disconnected.", func(s *Settings) *time.Duration { return &s.Entry.WriteTimeout }),
		durationField(sectionEntry, "Leave", "5s", "How long a stopping entry still accepts requests after /ready reports that it is not ready.", func(s *Settings) *time.Duration { return &s.Entry.ShutdownDelay }),
		{
			Section: sectionAgent, Key: "AnnounceAddress", Allowed: "IP:port on loopback",
			Help: "The address to which the target announces itself, in plaintext. Required with [TLS]; without [TLS] the target can use Address.",
			parse: func(s *Settings, v string) bool {
				a, err := netip.ParseAddrPort(v)
				s.Agent.AnnounceAddress = a

				return err == nil && a.Port() != 0 && a.Addr().IsLoopback()
			},
		},
		durationField(sectionAgent, "CreditLife", "2s", "How long a credit is valid. It bounds how old an entry's confirmation of its view may be when the agent admits a request.", func(s *Settings) *time.Duration { return &s.Agent.CreditLifetime }),
		durationField(sectionAgent, "AnnounceLimit", "3s", "The time without an announcement after which the target counts as down.", func(s *Settings) *time.Duration { return &s.Agent.AnnounceTimeout }),
		durationField(sectionAgent, "TargetSilence", "1m", "The maximum time for which the target may send no data of a response.", func(s *Settings) *time.Duration { return &s.Agent.TargetIdleTimeout }),
		sizeField(sectionAgent, "MaxAnswerBytes", "262144", "The maximum size of a response to a non-idempotent request that the agent stores.", func(s *Settings) *int { return &s.Agent.MaxAnswerBytes }),
		{
			Section: sectionControl, Key: "DataFolder", Allowed: allowedPath, Required: true,
			Help:  "The folder of the log and its snapshots. No other VM may use it.",
			parse: func(s *Settings, v string) bool { s.Control.DataFolder = v; return v != "" },
		},
		{
			Section: sectionControl, Key: "Join", Allowed: allowedBool, Default: "false",
			Help:  "Whether this VM joins a running deployment, as a learner with a new ID. Otherwise it is a founder, an initial member of a new deployment.",
			parse: func(s *Settings, v string) bool { s.Control.Join = v == "true"; return v == "true" || v == "false" },
		},
		{
			Section: sectionControl, Key: "Volatile", Allowed: allowedBool, Default: "false",
			Help:  "Whether the VM has no disk. With [Seeds] it then keeps its log in memory, writes nothing to the data folder, and follows the other control VMs as a non-voting member.",
			parse: func(s *Settings, v string) bool { s.Control.Volatile = v == "true"; return v == "true" || v == "false" },
		},
		{
			Section: sectionControl, Key: "MaxTargets", Allowed: "a number from 1 to 1048576", Default: "4096",
			Help: "The maximum number of targets that this VM knows by their announcements and removals. Those that have ended or fallen silent count for 5m. Announcements and removals of further ones get status 503.",
			parse: func(s *Settings, v string) bool {
				n, err := strconv.Atoi(v)
				s.Control.MaxTargets = n

				return err == nil && n >= 1 && n <= maxTargets
			},
		},
		pathField("CertFile", "The certificate of this process, in PEM.", func(s *Settings) *string { return &s.TLS.CertFile }),
		pathField("KeyFile", "The private key of this process, in PEM.", func(s *Settings) *string { return &s.TLS.KeyFile }),
		pathField("AuthorityFile", "The certificates of the authorities that sign the certificates of processes and operators, in PEM.", func(s *Settings) *string { return &s.TLS.AuthorityFile }),
	}
}

func setRole(s *Settings, v string) bool {
	s.Process.Role = Role(v)

	return s.Process.Role == RoleEntry || s.Process.Role == RoleAgent || s.Process.Role == RoleControl
}

func nameField(key, help string, required bool, dest func(*Settings) *string) Field {
	return Field{
		Section: sectionProcess, Key: key, Allowed: allowedName, Help: help, Required: required,
		parse: func(s *Settings, v string) bool {
			*dest(s) = v

			return namePattern.MatchString(v)
		},
	}
}

func addressField(key, help string, required bool, dest func(*Settings) *netip.AddrPort) Field {
	return Field{
		Section: sectionProcess, Key: key, Allowed: allowedAddress, Help: help, Required: required,
		parse: func(s *Settings, v string) bool {
			a, err := netip.ParseAddrPort(v)
			*dest(s) = a

			return err == nil && a.Port() != 0
		},
	}
}

func sizeField(section, key, def, help string, dest func(*Settings) *int) Field {
	return Field{
		Section: section, Key: key, Allowed: allowedSize, Default: def, Help: help,
		parse: func(s *Settings, v string) bool {
			n, err := strconv.Atoi(v)
			*dest(s) = n

			return err == nil && n >= 1 && n <= maxSizeBytes
		},
	}
}

func durationField(section, key, def, help string, dest func(*Settings) *time.Duration) Field {
	return Field{
		Section: section, Key: key, Allowed: allowedDuration, Default: def, Help: help,
		parse: func(s *Settings, v string) bool {
			d, err := time.ParseDuration(v)
			*dest(s) = d

			return err == nil && d > 0
		},
	}
}

func pathField(key, help string, dest func(*Settings) *string) Field {
	return Field{
		Section: sectionTLS, Key: key, Allowed: allowedPath, Help: help, Required: true,
		parse: func(s *Settings, v string) bool {
			*dest(s) = v

			return v != ""
		},
	}
}

// Reference returns the settings reference, in Markdown.
func Reference() string {
	var b strings.Builder

	b.WriteString("# Settings\n\nGenerated by `make docs`. A settings file is INI; an unknown section or key is an error.\n")
	b.WriteString("`parsleygate check FILE` validates a file and reports errors.\n")

	section := ""

	for _, f := range Fields() {
		if f.Section != section {
			section = f.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | allowed values | default | description |\n| --- | --- | --- | --- |\n", section)
		}

		def := f.Default
		if f.Required {
			def = "needed"
		}

		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.Key, f.Allowed, def, f.Help)
	}

	b.WriteString("\n## [Controls]\n\nOne setting per control VM. The key is its ID and the value its address, as IP:port: `control-1 = 10.0.0.1:8600`.\n")

	b.WriteString("\n## [Zones]\n\nOne setting per availability zone. The key is its name and the value its region: `muscat-a = muscat`. Operators can take only these zones out.\n")

	return b.String()
}
