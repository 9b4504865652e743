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

// Role is what a certificate lets its holder do. It is the certificate's
// organisational unit.
type Role string

// The roles.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Rule says which roles may use the paths with a prefix.
type Rule struct {
	Prefix string
	Roles  []Role
}

// Authorize lets requests through to next by the first rule that fits their path.
// What no rule fits is refused. It guards against decisions, claims and orders
// of somebody who can reach a port and is not who may give them.
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

// peerNameKey is the context key of the other side's name.
type peerNameKey struct{}

func withPeerName(r *http.Request) context.Context {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return r.Context()
	}

	return context.WithValue(r.Context(), peerNameKey{}, r.TLS.PeerCertificates[0].Subject.CommonName)
}

// PeerName returns the common name of the certificate behind a request that came
// through Guard; "" for plaintext.
func PeerName(ctx context.Context) string {
	name, _ := ctx.Value(peerNameKey{}).(string)

	return name
}

// denial is a refusal as twirp clients read it.
type denial struct {
	Code string `json:"code"`
	Msg  string `json:"msg"`
}

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

// plaintextDenialReason lets plaintext through from the VM itself alone.
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
