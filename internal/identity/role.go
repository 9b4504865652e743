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
		if why := refusal(r, rules); why != "" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusForbidden)
			_ = json.NewEncoder(w).Encode(denial{Code: "permission_denied", Msg: why})

			return
		}

		next.ServeHTTP(w, r.WithContext(withName(r)))
	})
}

// nameKey is the context key of the other side's name.
type nameKey struct{}

func withName(r *http.Request) context.Context {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return r.Context()
	}

	return context.WithValue(r.Context(), nameKey{}, r.TLS.PeerCertificates[0].Subject.CommonName)
}

// PeerName returns the common name of the certificate behind a request that came
// through Guard; "" for plaintext.
func PeerName(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)

	return name
}

// denial is a refusal as twirp clients read it.
type denial struct {
	Code string `json:"code"`
	Msg  string `json:"msg"`
}

func refusal(r *http.Request, rules []Rule) string {
	if r.TLS == nil {
		return refusePlaintext(r)
	}

	for _, rule := range rules {
		if !strings.HasPrefix(r.URL.Path, rule.Prefix) {
			continue
		}

		for _, role := range rolesOf(r) {
			if slices.Contains(rule.Roles, role) {
				return ""
			}
		}

		return fmt.Sprintf("%s is for %v; the certificate's organisational unit names %v", r.URL.Path, rule.Roles, rolesOf(r))
	}

	return "nobody may use " + r.URL.Path
}

// refusePlaintext lets plaintext through from the VM itself alone.
func refusePlaintext(r *http.Request) string {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !from.Addr().Unmap().IsLoopback() {
		return "plaintext is heard on loopback only"
	}

	return ""
}

func rolesOf(r *http.Request) []Role {
	if len(r.TLS.PeerCertificates) == 0 {
		return nil
	}

	var out []Role
	for _, unit := range r.TLS.PeerCertificates[0].Subject.OrganizationalUnit {
		out = append(out, Role(unit))
	}

	return out
}
