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

// testCA is a certificate authority that signs test certificates.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
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

	return &testCA{cert: cert, key: key}
}

// issue writes to dir a key and a certificate for role, signed by a, and the trusted
// authorities.
func (a *testCA) issue(t *testing.T, dir string, role identity.Role, trusted ...*testCA) identity.Files {
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
	for _, ca := range trusted {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw})...)
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

// serve starts a server that allows entries to use /claim and operators to use /decide.
// Its response is the peer's name.
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

// get returns the status code of a request, or 0 if the connection failed.
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

	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	if resp.StatusCode == http.StatusOK {
		require.Equal(t, "process", string(body), "the name in the certificate")
	}

	return resp.StatusCode
}

// A client inside the network sends requests without the required certificate. Each one
// must be refused, and requests with the required certificate must succeed.
func TestAuthorize(t *testing.T) {
	t.Parallel()

	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	address := serve(t, load(t, trustedCA.issue(t, t.TempDir(), identity.RoleControl, trustedCA)))

	cases := []struct {
		name   string
		signer *testCA
		role   identity.Role
		path   string
		status int
	}{
		{name: "an entry claims", signer: trustedCA, role: identity.RoleEntry, path: "/claim", status: 200},
		{name: "an operator decides", signer: trustedCA, role: identity.RoleOperator, path: "/decide", status: 200},
		{name: "an entry decides", signer: trustedCA, role: identity.RoleEntry, path: "/decide", status: 403},
		{name: "an agent claims", signer: trustedCA, role: identity.RoleAgent, path: "/claim", status: 403},
		{name: "a path without a rule", signer: trustedCA, role: identity.RoleControl, path: "/other", status: 403},
		{name: "an operator of another authority", signer: otherCA, role: identity.RoleOperator, path: "/decide", status: 0},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			i := load(t, c.signer.issue(t, t.TempDir(), c.role, trustedCA))
			require.Equal(t, c.status, get(t, i, address, c.path))
		})
	}

	t.Run("plaintext to a TLS port", func(t *testing.T) {
		t.Parallel()
		require.Equal(t, 400, get(t, nil, address, "/claim"))
	})
}

// Operators rotate the certificate authority. First all processes trust the old and the
// new authority, then they get new certificates, and finally the old authority is removed.
// Connections must succeed after every step, without a restart.
func TestAuthorityRotationWithoutRestart(t *testing.T) {
	t.Parallel()

	oldCA, newCA := newTestCA(t), newTestCA(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	now := time.Now()
	server := load(t, oldCA.issue(t, serverDir, identity.RoleControl, oldCA))
	client := load(t, oldCA.issue(t, clientDir, identity.RoleEntry, oldCA))
	server.Now = func() time.Time { return now }
	client.Now = server.Now
	address := serve(t, server)

	require.Equal(t, 200, get(t, client, address, "/claim"))

	steps := []func(){
		func() { oldCA.issue(t, serverDir, identity.RoleControl, oldCA, newCA) },
		func() { oldCA.issue(t, clientDir, identity.RoleEntry, oldCA, newCA) },
		func() { newCA.issue(t, serverDir, identity.RoleControl, oldCA, newCA) },
		func() { newCA.issue(t, clientDir, identity.RoleEntry, oldCA, newCA) },
		func() { newCA.issue(t, serverDir, identity.RoleControl, newCA) },
		func() { newCA.issue(t, clientDir, identity.RoleEntry, newCA) },
	}
	for n, step := range steps {
		step()

		now = now.Add(time.Hour / 100)
		require.Equal(t, 200, get(t, client, address, "/claim"), "after step %d", n)
	}

	// An incomplete file must leave the previous keys in use.
	require.NoError(t, os.WriteFile(filepath.Join(serverDir, "crt"), []byte("-----BEGIN"), 0o600))

	now = now.Add(time.Minute)
	require.Equal(t, 200, get(t, client, address, "/claim"))
}

func TestLoadErrorNamesFile(t *testing.T) {
	t.Parallel()

	i := &identity.Identity{Files: identity.Files{CertFile: "none", KeyFile: "none", AuthorityFile: "none"}, Logger: logs.Discard()}
	require.ErrorContains(t, i.Load(), "none")
}
