package identity_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
)

// authority signs certificates in tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)

	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)

	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)

	return &authority{cert: cert, key: key}
}

// write writes an identity of a role, signed by a, that trusts the authorities.
func (a *authority) write(t *testing.T, dir string, role identity.Role, trusted ...*authority) identity.Files {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)

	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "process", OrganizationalUnit: []string{string(role)}},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)

	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)

	var roots []byte
	for _, r := range trusted {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: r.cert.Raw})...)
	}

	f := identity.Files{CertFile: filepath.Join(dir, "crt"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "ca")}
	require.NoError(t, os.WriteFile(f.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(f.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	require.NoError(t, os.WriteFile(f.AuthorityFile, roots, 0o600))

	return f
}

func load(t *testing.T, f identity.Files) *identity.Identity {
	t.Helper()

	i := &identity.Identity{Files: f, Logger: logs.Discard()}
	require.NoError(t, i.Load())

	return i
}

// serve answers claims of entries, and decisions of operators.
func serve(t *testing.T, i *identity.Identity) string {
	t.Helper()

	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, identity.PeerName(r.Context())) })
	server := &http.Server{Handler: identity.Authorize(ok,
		identity.Rule{Prefix: "/claim", Roles: []identity.Role{identity.RoleEntry}},
		identity.Rule{Prefix: "/decide", Roles: []identity.Role{identity.RoleOperator}})}

	go func() { _ = server.Serve(i.PeerListener(l)) }()

	t.Cleanup(func() { _ = server.Close() })

	return l.Addr().String()
}

// get returns the status of a request, or 0 where there was no connection.
func get(t *testing.T, i *identity.Identity, address, path string) int {
	t.Helper()

	d := &identity.Dialer{Identity: i, Timeout: 5 * time.Second}
	client := &http.Client{Transport: &http.Transport{DialContext: d.Dial, DisableKeepAlives: true}}

	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)

	resp, err := client.Do(r)
	if err != nil {
		return 0
	}

	said, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	if resp.StatusCode == http.StatusOK {
		require.Equal(t, "process", string(said), "the name in the certificate")
	}

	return resp.StatusCode
}

// Somebody inside the network tries to decide, claim or order without the right
// certificate. Each try is refused, and the right one goes through.
func TestWhoMayDoWhat(t *testing.T) {
	t.Parallel()

	ours, theirs := newAuthority(t), newAuthority(t)
	address := serve(t, load(t, ours.write(t, t.TempDir(), identity.RoleControl, ours)))

	cases := []struct {
		name   string
		signer *authority
		role   identity.Role
		path   string
		status int
	}{
		{name: "an entry claims", signer: ours, role: identity.RoleEntry, path: "/claim", status: 200},
		{name: "an operator decides", signer: ours, role: identity.RoleOperator, path: "/decide", status: 200},
		{name: "an entry decides", signer: ours, role: identity.RoleEntry, path: "/decide", status: 403},
		{name: "an agent claims", signer: ours, role: identity.RoleAgent, path: "/claim", status: 403},
		{name: "a path of nobody", signer: ours, role: identity.RoleControl, path: "/other", status: 403},
		{name: "an operator of another authority", signer: theirs, role: identity.RoleOperator, path: "/decide", status: 0},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			i := load(t, c.signer.write(t, t.TempDir(), c.role, ours))
			require.Equal(t, c.status, get(t, i, address, c.path))
		})
	}

	t.Run("plaintext to a TLS port", func(t *testing.T) {
		t.Parallel()
		require.Equal(t, 400, get(t, nil, address, "/claim"))
	})
}

// The operators rotate the authority: first all trust the old and the new one,
// then certificates are exchanged, at last the old one goes. No process restarts,
// and at no point is one that has done its step refused.
func TestRotation(t *testing.T) {
	t.Parallel()

	former, next := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	later := time.Now()
	server := load(t, former.write(t, serverDir, identity.RoleControl, former))
	client := load(t, former.write(t, clientDir, identity.RoleEntry, former))
	server.Now = func() time.Time { return later }
	client.Now = server.Now
	address := serve(t, server)

	require.Equal(t, 200, get(t, client, address, "/claim"))

	steps := []func(){
		func() { former.write(t, serverDir, identity.RoleControl, former, next) },
		func() { former.write(t, clientDir, identity.RoleEntry, former, next) },
		func() { next.write(t, serverDir, identity.RoleControl, former, next) },
		func() { next.write(t, clientDir, identity.RoleEntry, former, next) },
		func() { next.write(t, serverDir, identity.RoleControl, next) },
		func() { next.write(t, clientDir, identity.RoleEntry, next) },
	}
	for n, step := range steps {
		step()

		later = later.Add(time.Hour / 100)
		require.Equal(t, 200, get(t, client, address, "/claim"), "after step %d", n)
	}

	// A file that is half written leaves the keys in force.
	require.NoError(t, os.WriteFile(filepath.Join(serverDir, "crt"), []byte("-----BEGIN"), 0o600))

	later = later.Add(time.Minute)
	require.Equal(t, 200, get(t, client, address, "/claim"))
}

func TestLoadSaysWhatIsWrong(t *testing.T) {
	t.Parallel()

	i := &identity.Identity{Files: identity.Files{CertFile: "none", KeyFile: "none", AuthorityFile: "none"}, Logger: logs.Discard()}
	require.ErrorContains(t, i.Load(), "none")
}
