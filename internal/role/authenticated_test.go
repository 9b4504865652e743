package role

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// contextWithCertificate returns the context of a request with a client certificate for
// name.
func contextWithCertificate(t *testing.T, name string) context.Context {
	t.Helper()

	var ctx context.Context

	guarded := identity.Authorize(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ctx = r.Context() }),
		identity.Rule{Prefix: "/", Roles: []identity.Role{identity.RoleEntry}})
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{
		Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{"entry"}},
	}}}
	guarded.ServeHTTP(httptest.NewRecorder(), r)

	return ctx
}

// A process with a valid certificate reports another one as leaving. If that were
// accepted, one process could take all targets out of service.
func TestPollNodeMustMatchCertificate(t *testing.T) {
	t.Parallel()

	log := &control.MemoryLog{}
	server := &control.Server{Cluster: "trust", Propose: log.Propose, ReadIndex: log.ReadIndex}
	server.Init()
	log.Apply = server.Apply
	named := &authenticatedControl{Server: server}

	_, err := named.Poll(contextWithCertificate(t, "entry-1"), &wire.PollRequest{Cluster: "trust", Node: &wire.Node{ID: "agent-1"}})
	require.ErrorContains(t, err, "the certificate is of entry-1, the report of agent-1")
	require.Equal(t, "ann", operatorName(contextWithCertificate(t, "ann"), "mallory"))
	require.Equal(t, "ann", operatorName(t.Context(), "ann"), "no certificate: plaintext on loopback")
}
