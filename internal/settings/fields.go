package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Field is one setting: its place, what it is for, and how it is read.
type Field struct {
	Section string
	Key     string
	// Allowed says what values are right, Help what the setting does.
	Allowed string
	Help    string
	// Default is the value where the file says nothing; empty for none.
	Default string
	// Required settings have no default and must be given where their section applies.
	Required bool

	set func(s *Settings, value string) bool
}

// The names of the sections.
const (
	sectionProcess  = "Process"
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

const maxSize = 1 << 30

var nameRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Fields returns all settings, in the order of the reference.
func Fields() []Field {
	return append(ownFields(), seedFields()...)
}

func ownFields() []Field {
	return []Field{
		{
			Section: sectionProcess, Key: "Role", Allowed: "entry, agent or control", Required: true,
			Help: "What the process is.", set: setRole,
		},
		name("ID", "The process's name, unique in the deployment. It outlives restarts.", true, func(s *Settings) *string { return &s.Process.ID }),
		name("Cluster", "The deployment. Processes of another are refused.", true, func(s *Settings) *string { return &s.Process.Cluster }),
		name("Zone", "The availability zone of the VM.", true, func(s *Settings) *string { return &s.Process.Zone }),
		name("Region", "The region of the zone.", false, func(s *Settings) *string { return &s.Process.Region }),
		address("Address", "Where the process listens: an entry for callers, the others for the system's processes.", true, func(s *Settings) *netip.AddrPort { return &s.Process.Address }),
		address("AdminAddress", "Where the process serves its dump and metrics. It is best a loopback address.", false, func(s *Settings) *netip.AddrPort { return &s.Process.AdminAddress }),
		{
			Section: sectionProcess, Key: "LogOutput", Allowed: "part names with commas between them, or all",
			Help: "The parts whose debug lines are logged.",
			set:  func(s *Settings, v string) bool { s.Process.LogOutput = v; return true },
		},
		networkField(),
		size(sectionEntry, "MaxHeaderBytes", "65536", "The longest head of a request; a longer one gets status 431.", func(s *Settings) *int { return &s.Entry.MaxHeaderBytes }),
		size(sectionEntry, "MaxBodyBytes", "4194304", "The longest body of a request; a longer one gets status 413, NotRun.", func(s *Settings) *int { return &s.Entry.MaxBodyBytes }),
		size(sectionEntry, "MaxRecordedBytes", "65536", "The longest answer that is kept for resends of an idempotency key.", func(s *Settings) *int { return &s.Entry.MaxRecordedBytes }),
		duration(sectionEntry, "DefaultTimeout", "1m", "The deadline of a caller that names none.", func(s *Settings) *time.Duration { return &s.Entry.DefaultTimeout }),
		duration(sectionEntry, "MaxTimeout", "10m", "The longest deadline; longer ones are cut to it.", func(s *Settings) *time.Duration { return &s.Entry.MaxTimeout }),
		duration(sectionEntry, "SlowReader", "30s", "How long one write to a caller may take before it counts as gone.", func(s *Settings) *time.Duration { return &s.Entry.WriteTimeout }),
		duration(sectionEntry, "Leave", "5s", "How long a stopping entry goes on taking requests after /ready said that it leaves.", func(s *Settings) *time.Duration { return &s.Entry.ShutdownDelay }),
		{
			Section: sectionAgent, Key: "AnnounceAddress", Allowed: "IP:port on loopback",
			Help: "Where the target announces itself, in plaintext. Needed with [TLS]; without it Address does.",
			set: func(s *Settings, v string) bool {
				a, err := netip.ParseAddrPort(v)
				s.Agent.AnnounceAddress = a

				return err == nil && a.Port() != 0 && a.Addr().IsLoopback()
			},
		},
		duration(sectionAgent, "CreditLife", "2s", "How long a credit holds. It bounds how old an entry's word on freshness may be.", func(s *Settings) *time.Duration { return &s.Agent.CreditLifetime }),
		duration(sectionAgent, "AnnounceLimit", "3s", "How long the target may not announce itself before it counts as down.", func(s *Settings) *time.Duration { return &s.Agent.AnnounceTimeout }),
		duration(sectionAgent, "TargetSilence", "1m", "How long the target may send nothing of an answer.", func(s *Settings) *time.Duration { return &s.Agent.TargetIdleTimeout }),
		size(sectionAgent, "MaxAnswerBytes", "262144", "The longest answer of a non-idempotent request that the agent remembers.", func(s *Settings) *int { return &s.Agent.MaxAnswerBytes }),
		{
			Section: sectionControl, Key: "DataFolder", Allowed: allowedPath, Required: true,
			Help: "The data folder of the log and its snapshots. It belongs to this VM alone.",
			set:  func(s *Settings, v string) bool { s.Control.DataFolder = v; return v != "" },
		},
		{
			Section: sectionControl, Key: "Join", Allowed: allowedBool, Default: "false",
			Help: "Whether this VM joins a running deployment, as a learner under a new ID; else it is a founder.",
			set:  func(s *Settings, v string) bool { s.Control.Join = v == "true"; return v == "true" || v == "false" },
		},
		{
			Section: sectionControl, Key: "Volatile", Allowed: allowedBool, Default: "false",
			Help: "Whether the VM has no disk. With [Seeds] it then keeps its log in memory, writes nothing to the data folder, follows the others and never has a vote.",
			set:  func(s *Settings, v string) bool { s.Control.Volatile = v == "true"; return v == "true" || v == "false" },
		},
		path("CertFile", "The certificate of this process, in PEM.", func(s *Settings) *string { return &s.TLS.CertFile }),
		path("KeyFile", "The key of this process, in PEM.", func(s *Settings) *string { return &s.TLS.KeyFile }),
		path("AuthorityFile", "The certificates of the authorities that sign processes and operators, in PEM.", func(s *Settings) *string { return &s.TLS.AuthorityFile }),
	}
}

func setRole(s *Settings, v string) bool {
	s.Process.Role = Role(v)

	return s.Process.Role == RoleEntry || s.Process.Role == RoleAgent || s.Process.Role == RoleControl
}

func name(key, help string, needed bool, at func(*Settings) *string) Field {
	return Field{
		Section: sectionProcess, Key: key, Allowed: allowedName, Help: help, Required: needed,
		set: func(s *Settings, v string) bool {
			*at(s) = v

			return nameRule.MatchString(v)
		},
	}
}

func address(key, help string, needed bool, at func(*Settings) *netip.AddrPort) Field {
	return Field{
		Section: sectionProcess, Key: key, Allowed: allowedAddress, Help: help, Required: needed,
		set: func(s *Settings, v string) bool {
			a, err := netip.ParseAddrPort(v)
			*at(s) = a

			return err == nil && a.Port() != 0
		},
	}
}

func size(section, key, def, help string, at func(*Settings) *int) Field {
	return Field{
		Section: section, Key: key, Allowed: allowedSize, Default: def, Help: help,
		set: func(s *Settings, v string) bool {
			n, err := strconv.Atoi(v)
			*at(s) = n

			return err == nil && n >= 1 && n <= maxSize
		},
	}
}

func duration(section, key, def, help string, at func(*Settings) *time.Duration) Field {
	return Field{
		Section: section, Key: key, Allowed: allowedDuration, Default: def, Help: help,
		set: func(s *Settings, v string) bool {
			d, err := time.ParseDuration(v)
			*at(s) = d

			return err == nil && d > 0
		},
	}
}

func path(key, help string, at func(*Settings) *string) Field {
	return Field{
		Section: sectionTLS, Key: key, Allowed: allowedPath, Help: help, Required: true,
		set: func(s *Settings, v string) bool {
			*at(s) = v

			return v != ""
		},
	}
}

// Reference returns the settings reference, in Markdown.
func Reference() string {
	var b strings.Builder

	b.WriteString("# Settings\n\nGenerated by `make docs`. A settings file is INI; an unknown section or key is an error.\n")
	b.WriteString("`parsleygate check FILE` says what is wrong with one.\n")

	section := ""

	for _, f := range Fields() {
		if f.Section != section {
			section = f.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | allowed | default | what it does |\n| --- | --- | --- | --- |\n", section)
		}

		def := f.Default
		if f.Required {
			def = "needed"
		}

		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.Key, f.Allowed, def, f.Help)
	}

	b.WriteString("\n## [Controls]\n\nOne key for each control VM, its ID, with its address as IP:port: `control-1 = 10.0.0.1:8600`.\n")

	b.WriteString("\n## [Zones]\n\nOne key for each availability zone, its name, with its region: `muscat-a = muscat`. Operators may take only these out.\n")

	return b.String()
}
