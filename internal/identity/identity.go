// Package identity authenticates the processes of a deployment to each other by mutual
// TLS. It loads a process's key and certificate and the certificate authorities that the
// deployment trusts, dials and accepts TLS connections with them, and derives a peer's
// role from its certificate. It reloads the files when they change, so that keys can be
// rotated without a restart.
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

// Files are the paths of the key and certificate files, all in PEM.
type Files struct {
	CertFile string
	KeyFile  string
	// AuthorityFile may contain several certificates, such as the old and the new
	// authority during a rotation.
	AuthorityFile string
}

// minReloadInterval is the minimum time between two checks of the files for changes.
const minReloadInterval = time.Second

// Identity is the TLS identity of one process. The exported fields must be set before
// Load.
type Identity struct {
	Files  Files
	Logger *slog.Logger
	// Now replaces time.Now in tests.
	Now func() time.Time

	mu         sync.Mutex
	current    *credentials
	nextReload time.Time
}

// credentials are the contents of the files when they were last read without an error.
type credentials struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modTimes [3]time.Time
}

// Load reads the files. It must succeed before any other method is called.
func (i *Identity) Load() error {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.Now == nil {
		i.Now = time.Now
	}

	creds, err := i.Files.read()
	if err != nil {
		return err
	}

	i.current = creds
	i.nextReload = i.Now().Add(minReloadInterval)

	return nil
}

func (f Files) read() (*credentials, error) {
	modTimes, err := f.modTimes()
	if err != nil {
		return nil, err
	}

	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s and %s", f.CertFile, f.KeyFile)
	}

	pem, err := os.ReadFile(f.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate authority")
	}

	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s contains no valid PEM certificate", f.AuthorityFile)
	}

	return &credentials{cert: cert, roots: roots, modTimes: modTimes}, nil
}

func (f Files) modTimes() (times [3]time.Time, err error) {
	for n, path := range []string{f.CertFile, f.KeyFile, f.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return times, eris.Wrap(err, "stat key file")
		}

		times[n] = info.ModTime()
	}

	return times, nil
}

// credentials returns the current credentials, and reloads the files if they changed. If
// the files are incomplete or do not match each other, the previous credentials stay in
// use.
func (i *Identity) credentials() *credentials {
	i.mu.Lock()
	defer i.mu.Unlock()

	now := i.Now()
	if now.Before(i.nextReload) {
		return i.current
	}

	i.nextReload = now.Add(minReloadInterval)

	if modTimes, err := i.Files.modTimes(); err == nil && modTimes == i.current.modTimes {
		return i.current
	}

	creds, err := i.Files.read()
	if err != nil {
		i.Logger.Warn("Failed to reload keys; the previous keys stay in use.", "error", err)

		return i.current
	}

	i.Logger.Info("Keys reloaded.")
	i.current = creds

	return creds
}

// PeerListener wraps l in TLS that requires a client certificate signed by a trusted
// authority.
func (i *Identity) PeerListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := i.credentials()

			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{creds.cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: creds.roots,
			}, nil
		},
	})
}

// CallerListener wraps l in TLS for callers, who need no client certificate.
func (i *Identity) CallerListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.credentials().cert, nil
		},
	})
}

// MaybePeerListener returns i.PeerListener(l), or l itself if i is nil. Authorize then
// accepts the plaintext requests from loopback only.
func MaybePeerListener(i *Identity, l net.Listener) net.Listener {
	if i == nil {
		return l
	}

	return i.PeerListener(l)
}

// Dialer connects to processes of the deployment.
type Dialer struct {
	// Identity is nil for plaintext. Package settings decides where plaintext is allowed.
	Identity *Identity
	Timeout  time.Duration
}

// Dial connects to address and, if Identity is set, completes the TLS handshake. It can be
// used as the DialContext of an http.Transport for http:// URLs, because the returned
// connection is already encrypted.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()

	dialer := &net.Dialer{KeepAlive: -1}

	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil || d.Identity == nil {
		return conn, err //nolint:wrapcheck // callers inspect the net.OpError
	}

	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "read address")
	}

	creds := d.Identity.credentials()
	tlsConn := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: host,
		RootCAs: creds.roots, Certificates: []tls.Certificate{creds.cert},
	})

	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()

		// Op "dial" indicates to callers that no byte of a request was sent.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}

	return tlsConn, nil
}
