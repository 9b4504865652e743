// Package settings parses the settings file of one process. It is an INI file with
// sections for the process, the control VMs, TLS and the process's role.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// ControlVM is a control VM that is listed in [Controls].
type ControlVM struct {
	ID      string
	Address netip.AddrPort
}

// Process are the settings of every process.
type Process struct {
	Role    Role
	ID      string
	Cluster string
	Zone    string
	Region  string
	// Address is the listen address, of an entry for callers and of an agent or control VM
	// for the processes of the deployment.
	Address netip.AddrPort
	// AdminAddress is the listen address for the dump and the metrics.
	AdminAddress netip.AddrPort
	LogOutput    string
	MemoryMB     int
	// TrustedNetwork allows plaintext on addresses other than loopback.
	TrustedNetwork bool
}

// Clients are the limits of the clients of all ports that are not for callers.
type Clients struct {
	MaxHeaderBytes                          int
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
}

// Entry are the settings of an entry.
type Entry struct {
	MaxHeaderBytes   int
	MaxBodyBytes     int
	MaxRecordedBytes int
	DefaultTimeout   time.Duration
	MaxTimeout       time.Duration
	// WriteTimeout (key SlowReader) bounds one write to a caller.
	WriteTimeout time.Duration
	// ShutdownDelay (key Leave) is how long a stopping entry still accepts requests, so
	// that the load balancer in front of it can react to /ready.
	ShutdownDelay time.Duration
}

// Agent are the settings of an agent.
type Agent struct {
	// AnnounceAddress is the loopback address to which the target announces itself.
	AnnounceAddress netip.AddrPort
	// CreditLifetime (key CreditLife) is how long a credit is valid.
	CreditLifetime time.Duration
	// AnnounceTimeout (key AnnounceLimit) is the time without an announcement after which
	// the target counts as down.
	AnnounceTimeout time.Duration
	// TargetIdleTimeout (key TargetSilence) is the longest time without data of a response.
	TargetIdleTimeout time.Duration
	MaxAnswerBytes    int
}

// Control are the settings of a control VM.
type Control struct {
	// DataFolder contains the log and its snapshots.
	DataFolder string
	// Volatile means that the VM has no disk and stores nothing.
	Volatile bool
	// Join means that this VM joins a running deployment as a learner. Otherwise it is a
	// founder, an initial member of a new deployment.
	Join bool
	// MaxTargets bounds the targets that the VM knows by their announcements and removals.
	MaxTargets int
}

// TLS are the paths of the process's certificate and key, and of the certificates of the
// authorities that the deployment trusts. The process reloads the files when they change.
type TLS struct {
	CertFile      string
	KeyFile       string
	AuthorityFile string
}

// Settings are the settings of one process.
type Settings struct {
	Process  Process
	Clients  Clients
	Controls []ControlVM
	Entry    Entry
	Agent    Agent
	Control  Control
	TLS      TLS

	// Seeds replace Controls in deployments whose control VMs discover each other.
	Seeds     Seeds
	Routing   Routing
	Operating Operating
	Rank      Rank
	// Zones maps the name of each availability zone to its region.
	Zones map[string]string
}

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Load reads and parses the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}

	return Parse(path, data)
}

// Parse parses and validates settings. Errors are of type *inifile.Error and name source.
func Parse(source string, data []byte) (*Settings, error) {
	file, err := inifile.Read(source, data, MaxBytes)
	if err != nil {
		return nil, err
	}

	s := defaults()
	present := make(map[string]bool)

	for i := range file.Sections {
		if err := s.parseSection(&file.Sections[i], present); err != nil {
			err.Source = source

			return nil, err
		}
	}

	if err := s.validate(present); err != nil {
		err.Source = source

		return nil, err
	}

	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Process: Process{MemoryMB: 256},
		Clients: Clients{MaxHeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 90 * time.Second},
		Entry: Entry{
			MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4 << 20, MaxRecordedBytes: 64 << 10,
			DefaultTimeout: time.Minute, MaxTimeout: 10 * time.Minute,
			WriteTimeout: 30 * time.Second, ShutdownDelay: 5 * time.Second,
		},
		Agent: Agent{
			CreditLifetime: 2 * time.Second, AnnounceTimeout: 3 * time.Second,
			TargetIdleTimeout: time.Minute, MaxAnswerBytes: 256 << 10,
		},
		Control:   Control{MaxTargets: 4096},
		Routing:   Routing{RetryRatio: 0.2, MinRetries: 50, RetryWindow: 10 * time.Second, StopTimeout: 8 * time.Second, IdleConnections: 256},
		Operating: Operating{ToleratedFailures: 1, AnnounceInterval: time.Second},
		Zones:     map[string]string{},
	}
}

// ControlAddresses returns the addresses at which processes of the deployment reach the
// control VMs in the file.
func (s *Settings) ControlAddresses() []netip.AddrPort {
	if s.UsesSeeds() {
		return s.Seeds.ControlAddresses()
	}

	out := make([]netip.AddrPort, 0, len(s.Controls))
	for _, c := range s.Controls {
		out = append(out, c.Address)
	}

	return out
}
