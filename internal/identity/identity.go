// Package identity holds a process's key and certificate and the authority that
// all processes of a deployment share. It dials and accepts TLS with them, tells
// the role of the other side from its certificate, and reads the files anew when
// they change, so that keys rotate without a restart.
package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Files names the files of an identity, all in PEM.
type Files struct {
	CertFile string
	KeyFile  string
	// AuthorityFile may hold several certificates: the old and the new authority
	// while keys rotate.
	AuthorityFile string
}

// reloadEvery is the shortest time between two looks at the files.
const reloadEvery = time.Second

// Identity is one process's identity. Its fields are set before Load.
type Identity struct {
	Files  Files
	Logger *slog.Logger
	// Now replaces time.Now in tests.
	Now func() time.Time

	mu      sync.Mutex
	current *material
	nextAt  time.Time
}

// material is what the files held when they were last read whole.
type material struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modified [3]time.Time
}

// Load reads the files for the first time.
func (i *Identity) Load() error {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.Now == nil {
		i.Now = time.Now
	}

	m, err := i.Files.read()
	if err != nil {
		return err
	}

	i.current = m
	i.nextAt = i.Now().Add(reloadEvery)

	return nil
}

func (f Files) read() (*material, error) {
	modified, err := f.modified()
	if err != nil {
		return nil, err
	}

	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s and %s", f.CertFile, f.KeyFile)
	}

	pem, err := os.ReadFile(f.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority")
	}

	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate in PEM", f.AuthorityFile)
	}

	return &material{cert: cert, roots: roots, modified: modified}, nil
}

func (f Files) modified() (times [3]time.Time, err error) {
	for n, path := range []string{f.CertFile, f.KeyFile, f.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return times, eris.Wrap(err, "look at key files")
		}

		times[n] = info.ModTime()
	}

	return times, nil
}

// material returns what is in force now. Files that are half written, or do not
// fit together, leave the former ones in force until they do.
func (i *Identity) material() *material {
	i.mu.Lock()
	defer i.mu.Unlock()

	now := i.Now()
	if now.Before(i.nextAt) {
		return i.current
	}

	i.nextAt = now.Add(reloadEvery)

	if modified, err := i.Files.modified(); err == nil && modified == i.current.modified {
		return i.current
	}

	m, err := i.Files.read()
	if err != nil {
		i.Logger.Warn("new keys not taken, the former stay in force", "error", err)

		return i.current
	}

	i.Logger.Info("keys read anew")
	i.current = m

	return m
}

// PeerListener returns a listener on which only processes with a certificate of the
// authority are heard.
func (i *Identity) PeerListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.material()

			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
			}, nil
		},
	})
}

// CallerListener returns a listener for callers, who need no certificate.
func (i *Identity) CallerListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.material().cert, nil
		},
	})
}

// MaybePeerListener is Accept with an identity; without one it returns l, whose
// plaintext Guard hears from loopback only.
func MaybePeerListener(i *Identity, l net.Listener) net.Listener {
	if i == nil {
		return l
	}

	return i.PeerListener(l)
}

// Dialer dials processes of the deployment.
type Dialer struct {
	// Identity is nil for plaintext, which settings allow on loopback only.
	Identity *Identity
	Timeout  time.Duration
}

// Dial connects and, with an identity, shakes hands. It fits http.Transport's
// DialContext: the connection that it returns is ready for plain HTTP on top.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()

	plain := &net.Dialer{KeepAlive: -1}

	conn, err := plain.DialContext(ctx, network, address)
	if err != nil || d.Identity == nil {
		return conn, err //nolint:wrapcheck // callers read net.OpError
	}

	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "read address")
	}

	m := d.Identity.material()
	secure := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: host,
		RootCAs: m.roots, Certificates: []tls.Certificate{m.cert},
	})

	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()

		// No byte of a request was sent, which is what Op "dial" tells callers.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}

	return secure, nil
}
