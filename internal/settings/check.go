package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

// maxControls is how many control VMs a deployment may set aside.
const maxControls = 7

// take reads one section. Given collects "Section.Key" of what the file says.
func (s *Settings) take(section *inifile.Section, given map[string]bool) *inifile.Error {
	if section.Name == sectionControls {
		return s.takeControls(section)
	}

	if section.Name == sectionZones {
		return s.takeZones(section)
	}

	fields := fieldsOf(section.Name)
	if len(fields) == 0 {
		return &inifile.Error{
			Line: section.Line, Section: section.Name, Problem: "unknown section",
			Allowed: strings.Join([]string{sectionProcess, sectionControls, sectionEntry, sectionAgent, sectionControl, sectionTLS, sectionSeeds, sectionRouting, sectionOperating, sectionRank, sectionZones}, ", "),
		}
	}

	given[section.Name] = true

	for _, set := range section.Settings {
		f, ok := fields[set.Key]
		if !ok {
			return problem(section, set, "unknown key", keysOf(section.Name))
		}

		if !f.set(s, set.Value) {
			return problem(section, set, fmt.Sprintf("bad value %q", set.Value), f.Allowed)
		}

		given[section.Name+"."+set.Key] = true
	}

	return nil
}

func problem(section *inifile.Section, set inifile.Setting, what, allowed string) *inifile.Error {
	return &inifile.Error{Line: set.Line, Section: section.Name, Key: set.Key, Problem: what, Allowed: allowed}
}

func fieldsOf(section string) map[string]Field {
	out := make(map[string]Field)

	for _, f := range Fields() {
		if f.Section == section {
			out[f.Key] = f
		}
	}

	return out
}

func keysOf(section string) string {
	var keys []string

	for _, f := range Fields() {
		if f.Section == section {
			keys = append(keys, f.Key)
		}
	}

	return strings.Join(keys, ", ")
}

func (s *Settings) takeControls(section *inifile.Section) *inifile.Error {
	for _, set := range section.Settings {
		if !nameRule.MatchString(set.Key) {
			return problem(section, set, "bad ID of a control VM", allowedName)
		}

		a, err := netip.ParseAddrPort(set.Value)
		if err != nil || a.Port() == 0 {
			return problem(section, set, fmt.Sprintf("bad value %q", set.Value), allowedAddress)
		}

		if slices.ContainsFunc(s.Controls, func(c ControlVM) bool { return c.Address == a }) {
			return problem(section, set, "the address is another control VM's", "one address each")
		}

		s.Controls = append(s.Controls, ControlVM{ID: set.Key, Address: a})
	}

	return nil
}

// check holds the whole against itself.
func (s *Settings) check(given map[string]bool) *inifile.Error {
	for _, f := range Fields() {
		if f.Required && s.applies(f.Section, given) && !given[f.Section+"."+f.Key] {
			return &inifile.Error{Section: f.Section, Key: f.Key, Problem: "is missing", Allowed: f.Allowed}
		}
	}

	switch n := len(s.Controls); {
	case s.UsesSeeds() && n > 0:
		return &inifile.Error{Section: sectionControls, Problem: "stands beside [Seeds]", Allowed: "one of the two"}
	case s.UsesSeeds():
	case n == 0 || n > maxControls:
		return &inifile.Error{Section: sectionControls, Problem: fmt.Sprintf("names %d control VMs", n), Allowed: "1 to 7"}
	case s.Entry.DefaultTimeout > s.Entry.MaxTimeout:
		return &inifile.Error{Section: sectionEntry, Key: "DefaultTimeout", Problem: "is above MaxTimeout", Allowed: "at most " + s.Entry.MaxTimeout.String()}
	case s.Process.Role == RoleControl && !slices.Contains(s.Controls, ControlVM{ID: s.Process.ID, Address: s.Process.Address}):
		return &inifile.Error{Section: sectionControls, Key: s.Process.ID, Problem: "this control VM is not in the list with its Address", Allowed: s.Process.Address.String()}
	}

	if s.Process.Role == RoleAgent && given[sectionTLS] && !s.Agent.AnnounceAddress.IsValid() {
		return &inifile.Error{Section: sectionAgent, Key: "AnnounceAddress", Problem: "is missing, and the target speaks no TLS", Allowed: "IP:port on loopback"}
	}

	return s.checkPlaintext(given)
}

func (s *Settings) applies(section string, given map[string]bool) bool {
	switch section {
	case sectionProcess:
		return true
	case sectionControl:
		return s.Process.Role == RoleControl
	default:
		return given[section]
	}
}

// checkPlaintext guards against orders, claims and decisions of anybody who can
// reach a port: without TLS a process listens on and talks to loopback only.
func (s *Settings) checkPlaintext(given map[string]bool) *inifile.Error {
	if given[sectionTLS] || s.Process.TrustedNetwork {
		return nil
	}

	addresses := append(s.ControlAddresses(), s.Process.Address)
	if s.Process.AdminAddress.IsValid() {
		addresses = append(addresses, s.Process.AdminAddress)
	}

	for _, a := range addresses {
		if !a.Addr().IsLoopback() {
			return &inifile.Error{Section: sectionTLS, Problem: "is missing, and " + a.String() + " is no loopback address", Allowed: "plaintext on loopback only"}
		}
	}

	return nil
}
