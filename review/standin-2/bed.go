// Command standin2 plays the cases of the second review. It starts the project's own programs as separate processes on
// loopback addresses, with the settings that the templates of deploy/ give them, and stands in for the platform: for
// clients, servers, and operators.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site act-barrel.
const (
	heartbeat  = 1200 * time.Millisecond
	drainBound = 2000 * time.Millisecond
	evacuate   = 5000 * time.Millisecond
	ackBound   = 4000 * time.Millisecond
	callTime   = time.Second // a caller of control moves on after a second without a response
)

var zones = []string{"ayutthaya", "ang-thong", "saraburi"}

// cannotRun ends the case with status 2.
type cannotRun struct{ reason string }

func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// bed is a deployment, and the record of what was seen.
type bed struct {
	dir    string
	binary string
	net    int // the third byte of all addresses
	ports  [5]int
	start  time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
	closed bool
}

type proc struct {
	name, role, file string
	ip               string
	env              []string
	cmd              *exec.Cmd
	log              *os.File
	done             chan struct{}
}

func newBed(recordFile string) *bed {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}

	binary, err := filepath.Abs("target/parsleygate")
	if err != nil {
		fail("%v", err)
	}

	if _, err := os.Stat(binary); err != nil {
		fail("target/parsleygate is not built: %v", err)
	}

	record, err := os.Create(recordFile)
	if err != nil {
		fail("record: %v", err)
	}

	b := &bed{dir: dir, binary: binary, record: record, net: 1 + rand.Intn(250), start: time.Now()}
	for i := range b.ports {
		b.ports[i] = b.freePort()
	}

	return b
}

// freePort returns a port that is free on one address of this bed; all addresses of a bed use the same ports.
func (b *bed) freePort() int {
	l, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.250:0", b.net))
	if err != nil {
		fail("free port: %v", err)
	}
	defer l.Close()

	return l.Addr().(*net.TCPAddr).Port
}

func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.closed {
		return
	}

	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) ip(n int) string { return fmt.Sprintf("127.78.%d.%d", b.net, n) }

func (b *bed) addr(n, port int) string { return fmt.Sprintf("%s:%d", b.ip(n), b.ports[port]) }

// The ports: peers (InternalPorts.0), admin (InternalPorts.1), Front, ReadinessAddress, Control.
const (
	portPeers = iota
	portAdmin
	portFront
	portReady
	portControl
)

func (b *bed) seeds() string {
	return strings.Join([]string{b.addr(1, portControl), b.addr(2, portControl), b.addr(3, portControl)}, ",")
}

const zoneLines = "[Zones]\nayutthaya = central-th\nang-thong = central-th\nsaraburi = central-th\n"

// control starts the control process of machine n, with a disk or without, as the whole system starts for the first time.
func (b *bed) control(n int, zone string, disk bool) *proc {
	return b.run("control", fmt.Sprintf("control-%d", n), b.ip(n), b.controlSettings(n, zone, disk, true))
}

func (b *bed) controlSettings(n int, zone string, disk, bootstrap bool) string {
	folder, volatile := filepath.Join(b.dir, fmt.Sprintf("data-%d", n)), ""
	if !disk {
		folder, volatile = filepath.Join(b.dir, fmt.Sprintf("none-%d", n)), "Volatile = true\n"
	}

	return fmt.Sprintf(`[Process]
Role = control
ID = front-%s-%d
Cluster = system
Zone = %s
Region = central-th
Address = %s
Network = Trusted
MemoryMB = 284

[Control]
DataFolder = %s
%s
[Seeds]
Addresses = %s
Port = %d

[Operating]
Address = %s
Bootstrap = %v
BearLost = 1
AnnounceEvery = 1200ms

%s`, zone, n, zone, b.addr(n, portPeers), folder, volatile, b.seeds(), b.ports[portPeers], b.addr(n, portControl), bootstrap, zoneLines)
}

// entry starts the entry process of machine n.
func (b *bed) entry(n int, zone string) *proc {
	return b.run("entry", fmt.Sprintf("entry-%d", n), b.ip(n), fmt.Sprintf(`[Process]
Role = entry
ID = front-%s-%d
Cluster = system
Zone = %s
Region = central-th
Address = %s
AdminAddress = %s
Network = Trusted
MemoryMB = 284

[Seeds]
Addresses = %s
Port = %d

[Routing]
ReadyAddress = %s
RetryRatio = 0.2
RetrySlack = 96
RetryWindow = 10s
Stop = 8s
`, zone, n, zone, b.addr(n, portFront), b.addr(n, portAdmin), b.seeds(), b.ports[portPeers], b.addr(n, portReady)))
}

// agent starts the agent on machine n, beside the engine at an address.
func (b *bed) agent(n int, zone, engine string) *proc {
	return b.run("agent", fmt.Sprintf("agent-%d", n), b.ip(n), fmt.Sprintf(`[Process]
Role = agent
ID = side-%s-%d
Cluster = system
Zone = %s
Region = central-th
Address = %s
Network = Trusted
MemoryMB = 152

[Seeds]
Addresses = %s
Port = %d

[Rank]
EngineAddress = %s
`, zone, n, zone, b.addr(n, portPeers), b.seeds(), b.ports[portPeers], engine))
}

func (b *bed) run(role, name, ip, settings string) *proc {
	p := &proc{name: name, role: role, ip: ip, file: filepath.Join(b.dir, name+".ini")}
	p.configure(settings)

	// A machine of these deployments has one core.
	p.env = append(os.Environ(), "PARSLEYGATE_CONFIG="+p.file, "GOMAXPROCS=1")

	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()

	b.launch(p)

	return p
}

func (b *bed) launch(p *proc) {
	log, err := os.OpenFile(filepath.Join(b.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}

	p.cmd = exec.Command(b.binary, p.role, p.file)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = log, log, p.env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := p.cmd.Start(); err != nil {
		fail("start %s: %v", p.name, err)
	}

	p.log, p.done = log, make(chan struct{})

	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
}

// configure writes the settings file.
func (p *proc) configure(settings string) {
	if err := os.WriteFile(p.file, []byte(settings), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (b *bed) close() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()

	for _, p := range procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}

	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.closed = true
	_ = b.record.Close()
}

// call sends one call to a control node over a new connection, and closes that if no response comes in time.
func call(addr, method, path, body string, timeout time.Duration) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	var r io.Reader
	if body != "" {
		r = bytes.NewReader([]byte(body))
	}

	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, r)
	if err != nil {
		return 0, "", err
	}

	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}

	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()

	got, err := io.ReadAll(resp.Body)

	return resp.StatusCode, string(got), err
}

// order sends an order of the operator, to the given machines in turn, until it is acknowledged. It returns when it was.
func (b *bed) order(method, path, body string, machines ...int) time.Time {
	begun := time.Now()

	for i := 0; ; i++ {
		n := machines[i%len(machines)]
		status, text, err := call(b.addr(n, portControl), method, path, body, callTime)
		at := time.Now()
		shown := strings.TrimSpace(text)
		if len(shown) > 80 {
			shown = shown[:80]
		}
		b.note("operator: %s %s at control-%d: %d %s %v", method, path, n, status, shown, err)

		if err == nil && status/100 == 2 {
			return at
		}

		if time.Since(begun) > 30*time.Second {
			fail("%s %s is not acknowledged", method, path)
		}

		time.Sleep(time.Duration(min(50*(i+1), 500)) * time.Millisecond)
	}
}
