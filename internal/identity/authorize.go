package identity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
)

// Role determines what the holder of a certificate may do. It is an organisational unit
// of the certificate's subject.
type Role string

// Roles of processes and operators.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Rule allows roles to use the paths that begin with Prefix.
type Rule struct {
	Prefix string
	Roles  []Role
}

// Authorize returns a handler that passes a request to next if the first rule that
// matches its path allows a role of the client. Paths without a rule are refused. This
// keeps clients that can reach a port from sending decisions, claims or orders for which
// they have no permission. Plaintext requests are allowed from loopback only, whatever
// their path.
func Authorize(next http.Handler, rules ...Rule) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reason := denialReason(r, rules); reason != "" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusForbidden)
			_ = json.NewEncoder(w).Encode(denial{Code: "permission_denied", Msg: reason})

			return
		}

		next.ServeHTTP(w, r.WithContext(withPeerName(r)))
	})
}

// peerNameKey is the context key of the peer's name.
type peerNameKey struct{}

func withPeerName(r *http.Request) context.Context {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return r.Context()
	}

	return context.WithValue(r.Context(), peerNameKey{}, r.TLS.PeerCertificates[0].Subject.CommonName)
}

// PeerName returns the common name of the client certificate of a request that passed
// Authorize, or "" if the request was plaintext.
func PeerName(ctx context.Context) string {
	name, _ := ctx.Value(peerNameKey{}).(string)

	return name
}

// denial is the JSON body of a twirp error.
type denial struct {
	Code string `json:"code"`
	Msg  string `json:"msg"`
}

// denialReason returns why r is refused, or "" if it is allowed.
func denialReason(r *http.Request, rules []Rule) string {
	if r.TLS == nil {
		return plaintextDenialReason(r)
	}

	for _, rule := range rules {
		if !strings.HasPrefix(r.URL.Path, rule.Prefix) {
			continue
		}

		for _, role := range peerRoles(r) {
			if slices.Contains(rule.Roles, role) {
				return ""
			}
		}

		return fmt.Sprintf("%s is for %v; the certificate's organisational unit names %v", r.URL.Path, rule.Roles, peerRoles(r))
	}

	return "nobody may use " + r.URL.Path
}

// plaintextDenialReason refuses plaintext requests that do not come from loopback.
func plaintextDenialReason(r *http.Request) string {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !remote.Addr().Unmap().IsLoopback() {
		return "plaintext is heard on loopback only"
	}

	return ""
}

func peerRoles(r *http.Request) []Role {
	if len(r.TLS.PeerCertificates) == 0 {
		return nil
	}

	var out []Role
	for _, unit := range r.TLS.PeerCertificates[0].Subject.OrganizationalUnit {
		out = append(out, Role(unit))
	}

	return out
}
