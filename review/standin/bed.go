package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the small deployments that the cases use (act-barrel, qurum-showroom, baobab-subs).
const (
	drainTime         = 2 * time.Second         // DrainMs
	recoveryTime      = 12 * time.Second        // RecoveryS
	catchUpTime       = 4 * time.Second         // CatchUpS
	heartbeatInterval = 1200 * time.Millisecond // HeartbeatMs
	callTimeout       = time.Second             // callers of control move on after a second
	settingsTime      = 3 * time.Second         // SeedLagS
)

// bed holds the processes and the stand-ins of a case.
type bed struct {
	trouble bool
	started time.Time
	dir     string
	ports   [5]int

	// machines are those with a disk, which serve control. controls are their processes.
	machines []*machine
	controls []*process
	entries  []*process
	seeds    []*process

	mu     sync.Mutex
	record *os.File
	all    []*process
}

// The ports of a machine; they are the same on all machines.
const (
	portPeers = iota
	portAdmin
	portControl
	portFront
	portReady
)

func newBed(record *os.File, trouble bool) *bed {
	b := &bed{trouble: trouble, started: time.Now(), record: record}

	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(cannotRun{err.Error()})
	}

	b.dir = dir
	b.pickPorts()
	b.note("%s: disruption: %v", b.started.UTC().Format("15:04:05.000"), trouble)

	return b
}

// machineIP and serverIP return loopback addresses.
func machineIP(n int) string { return fmt.Sprintf("127.0.41.%d", n+1) }
func serverIP(n int) string  { return fmt.Sprintf("127.0.41.%d", n+21) }

// pickPorts finds ports that are free on all addresses of the case. They are below the ports that the
// system gives to outgoing connections.
func (b *bed) pickPorts() {
	for range 200 {
		first := 20000 + 10*rand.IntN(1200)
		free := true

		for i := range b.ports {
			b.ports[i] = first + i

			for n := range 30 {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.41.%d:%d", n+1, b.ports[i]))
				if err != nil {
					free = false

					break
				}

				_ = l.Close()
			}
		}

		if free {
			return
		}
	}

	panic(cannotRun{"no free ports"})
}

// note adds a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()

	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes their files.
func (b *bed) close() {
	b.mu.Lock()
	all := b.all
	b.mu.Unlock()

	for _, p := range all {
		p.kill()
	}

	_ = os.RemoveAll(b.dir)
}

// machine is a front machine. As the deploy file says, each runs an entry, and some run control beside it.
type machine struct {
	name    string
	entry   *process
	control *process // nil if it does not serve control
}

// newMachine returns a machine that does not run yet.
func (b *bed) newMachine(n int, zone string, control, diskless bool) *machine {
	name := fmt.Sprintf("front-%s-%d", zone, n+1)
	m := &machine{name: name, entry: b.newProcess("entry", name, zone, machineIP(n))}

	if control {
		m.control = b.newProcess("control", name, zone, machineIP(n))
		m.control.diskless = diskless
	}

	return m
}

func (m *machine) processes() []*process {
	if m.control == nil {
		return []*process{m.entry}
	}

	return []*process{m.control, m.entry}
}

func (m *machine) start() {
	for _, p := range m.processes() {
		p.start()
	}
}

// signal sends a signal to all processes of the machine.
func (m *machine) signal(s syscall.Signal) {
	for _, p := range m.processes() {
		p.signal(s)
	}
}

// wait waits until all processes of the machine have ended.
func (m *machine) wait() {
	for _, p := range m.processes() {
		p.wait()
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

// process is one process of the system.
type process struct {
	bed        *bed
	role, name string
	zone, ip   string
	// bootstrap is true for the first start of the whole system.
	bootstrap bool
	// diskless is set for a control VM on a machine without a disk.
	diskless bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (b *bed) newProcess(role, name, zone, ip string) *process {
	p := &process{bed: b, role: role, name: name, zone: zone, ip: ip}

	b.mu.Lock()
	b.all = append(b.all, p)
	b.mu.Unlock()

	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.bed.ports[port]) }

func (p *process) dataDir() string { return filepath.Join(p.dir(), "data") }

// settings returns what the platform makes of deploy/control.ini and deploy/entry.ini.
func (p *process) settings() string {
	var seeds []string
	for _, s := range p.bed.seeds {
		seeds = append(seeds, s.address(portControl))
	}

	text := fmt.Sprintf("[Process]\nRole = %s\nID = %s\nCluster = system\nZone = %s\nRegion = r\n", p.role, p.name, p.zone)
	seedSection := fmt.Sprintf("\n[Seeds]\nAddresses = %s\nPort = %d\n", strings.Join(seeds, ","), p.bed.ports[portPeers])

	if p.role == "control" {
		volatile := ""
		if p.diskless {
			volatile = "Volatile = true\n"
		}

		return text + fmt.Sprintf("Address = %s\nNetwork = Trusted\n\n[Control]\nDataFolder = %s\n%s", p.address(portPeers), p.dataDir(), volatile) + seedSection +
			fmt.Sprintf("\n[Operating]\nAddress = %s\nBootstrap = %v\nBearLost = 1\nAnnounceEvery = 1200ms\n\n[Zones]\na = r\nb = r\nc = r\n", p.address(portControl), p.bootstrap)
	}

	return text + fmt.Sprintf("Address = %s\nAdminAddress = %s\nNetwork = Trusted\nMemoryMB = 284\n", p.address(portFront), p.address(portAdmin)) + seedSection +
		fmt.Sprintf("\n[Routing]\nReadyAddress = %s\nRetryRatio = 0.2\nRetrySlack = 96\nRetryWindow = 10s\nStop = 8s\n", p.address(portReady))
}

func (p *process) dir() string { return filepath.Join(p.bed.dir, p.name, p.role) }

func (p *process) settingsFile() string { return filepath.Join(p.dir(), "local.toml") }

// writeSettings replaces the settings file, as the platform does at each start and whenever the settings
// change.
func (p *process) writeSettings() {
	next := p.settingsFile() + ".next"

	err := os.MkdirAll(p.dir(), 0o750)
	if err == nil {
		err = os.WriteFile(next, []byte(p.settings()), 0o600)
	}

	if err == nil {
		err = os.Rename(next, p.settingsFile())
	}

	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

// start writes the settings and starts the process with the command of the deploy file.
func (p *process) start() {
	p.writeSettings()

	out, err := os.OpenFile(filepath.Join(p.dir(), "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun{err.Error()})
	}

	cmd := exec.Command("target/parsleygate", p.role, p.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		panic(cannotRun{err.Error()})
	}

	exited := make(chan struct{})

	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	p.bed.note("%s %s: started, bootstrap %v", p.role, p.name, p.bootstrap)

	go func() {
		err := cmd.Wait()
		_ = out.Close()

		p.bed.note("%s %s: ended: %v", p.role, p.name, err)
		close(exited)
	}()
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.cmd == nil {
		return
	}

	p.bed.note("%s %s: gets %v", p.role, p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	exited := p.exited
	p.cmd = nil
	p.mu.Unlock()

	if exited != nil {
		<-exited
	}
}

// startSystem starts three machines with disks, one a zone, and more machines without, all for the first
// time. Of those, one a zone serves control too.
func (b *bed) startSystem(diskless int) (more []*machine) {
	zones := []string{"a", "b", "c"}

	for n, zone := range zones {
		b.machines = append(b.machines, b.newMachine(n, zone, true, false))
	}

	for n := range diskless {
		more = append(more, b.newMachine(len(zones)+n, zones[n%len(zones)], n < len(zones), true))
	}

	b.setCore(b.machines)

	all := append(append([]*machine(nil), b.machines...), more...)
	for _, m := range all {
		b.entries = append(b.entries, m.entry)

		if m.control != nil {
			m.control.bootstrap = true
		}

		m.start()
	}

	// The settings say so only at the first start, and all processes have read them by now.
	time.Sleep(settingsTime)

	for _, m := range all {
		if m.control != nil {
			m.control.bootstrap = false
		}
	}

	b.rewriteSettings()

	return more
}

// setCore sets the machines with disks, which are the seeds too.
func (b *bed) setCore(core []*machine) {
	b.machines, b.controls = core, nil

	for _, m := range core {
		b.controls = append(b.controls, m.control)
	}

	b.seeds = b.controls
}

// rewriteSettings replaces the settings files of all processes that have been started.
func (b *bed) rewriteSettings() {
	b.mu.Lock()
	all := b.all
	b.mu.Unlock()

	for _, p := range all {
		if _, err := os.Stat(p.settingsFile()); err == nil {
			p.writeSettings()
		}
	}

	b.note("platform: settings files replaced")
}

// logTail adds the last lines of a process's log that contain a word to the record.
func (b *bed) logTail(p *process, word string, most int) {
	data, err := os.ReadFile(filepath.Join(p.dir(), "log.txt"))
	if err != nil {
		return
	}

	var lines []string

	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, word) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}

	for _, line := range lines[max(0, len(lines)-most):] {
		b.note("log of %s %s: %s", p.role, p.name, line)
	}
}

// loseDisk empties the disk of a process that does not run.
func (b *bed) loseDisk(p *process) {
	if err := os.RemoveAll(p.dataDir()); err != nil {
		panic(cannotRun{err.Error()})
	}

	b.note("%s: its disk is lost", p.name)
}
