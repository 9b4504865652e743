// Package settings reads the settings of one process: an INI file with a section
// for what every process needs, the control VMs, and one for its role.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

// Role is what a process is.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// ControlVM is one control VM of the deployment.
type ControlVM struct {
	ID      string
	Address netip.AddrPort
}

// Process is what every process needs.
type Process struct {
	Role    Role
	ID      string
	Cluster string
	Zone    string
	Region  string
	// Address is where the process listens: an entry for callers, the others for
	// the system's processes.
	Address netip.AddrPort
	// AdminAddress serves the dump and the metrics.
	AdminAddress netip.AddrPort
	LogOutput    string
	// TrustedNetwork allows plaintext beyond loopback.
	TrustedNetwork bool
}

// Entry are the settings of an entry.
type Entry struct {
	MaxHeaderBytes   int
	MaxBodyBytes     int
	MaxRecordedBytes int
	DefaultTimeout   time.Duration
	MaxTimeout       time.Duration
	WriteTimeout     time.Duration
	// ShutdownDelay is how long a stopping entry goes on, for the balancer before it to notice.
	ShutdownDelay time.Duration
}

// Agent are the settings of an agent.
type Agent struct {
	// AnnounceAddress takes the target's announcements over loopback.
	AnnounceAddress   netip.AddrPort
	CreditLifetime    time.Duration
	AnnounceTimeout   time.Duration
	TargetIdleTimeout time.Duration
	MaxAnswerBytes    int
}

// Control are the settings of a control VM.
type Control struct {
	// DataFolder is where the log and its snapshots live.
	DataFolder string
	// Volatile says that the VM has no disk, and nothing is kept.
	Volatile bool
	// Join says that this VM joins a running deployment as a learner; else it is
	// one of the founders of a new one.
	Join bool
}

// TLS names the files of a process's key, its certificate, and the authority
// that all processes of the deployment share. They are read again when they change.
type TLS struct {
	CertFile      string
	KeyFile       string
	AuthorityFile string
}

// Settings are the settings of one process.
type Settings struct {
	Process  Process
	Controls []ControlVM
	Entry    Entry
	Agent    Agent
	Control  Control
	TLS      TLS

	// Seeds stand in place of Controls where control VMs find each other.
	Seeds     Seeds
	Routing   Routing
	Operating Operating
	Rank      Rank
	// Zones are the regions of the availability zones, by name.
	Zones map[string]string
}

// MaxBytes bounds a settings file.
const MaxBytes = 1 << 20

// Load reads the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}

	return Parse(path, data)
}

// Parse reads settings. Source names them in errors, which are of type *inifile.Error.
func Parse(source string, data []byte) (*Settings, error) {
	file, err := inifile.Read(source, data, MaxBytes)
	if err != nil {
		return nil, err
	}

	s := defaults()
	given := make(map[string]bool)

	for i := range file.Sections {
		if err := s.take(&file.Sections[i], given); err != nil {
			err.Source = source

			return nil, err
		}
	}

	if err := s.check(given); err != nil {
		err.Source = source

		return nil, err
	}

	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Entry: Entry{
			MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4 << 20, MaxRecordedBytes: 64 << 10,
			DefaultTimeout: time.Minute, MaxTimeout: 10 * time.Minute,
			WriteTimeout: 30 * time.Second, ShutdownDelay: 5 * time.Second,
		},
		Agent: Agent{
			CreditLifetime: 2 * time.Second, AnnounceTimeout: 3 * time.Second,
			TargetIdleTimeout: time.Minute, MaxAnswerBytes: 256 << 10,
		},
		Routing:   Routing{RetryRatio: 0.2, MinRetries: 50, RetryWindow: 10 * time.Second, StopTimeout: 8 * time.Second},
		Operating: Operating{ToleratedFailures: 1, AnnounceInterval: time.Second},
		Zones:     map[string]string{},
	}
}

// ControlAddresses returns the addresses of the control VMs that the file names.
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
