package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

// maxControlVMs is the maximum number of control VMs in [Controls].
const maxControlVMs = 7

// parseSection parses one section. For sections with fixed keys it adds the section's name,
// and "Section.Key" for each key that is set, to present.
func (s *Settings) parseSection(section *inifile.Section, present map[string]bool) *inifile.Error {
	if section.Name == sectionControls {
		return s.parseControls(section)
	}

	if section.Name == sectionZones {
		return s.parseZones(section)
	}

	fields := fieldsOf(section.Name)
	if len(fields) == 0 {
		return &inifile.Error{
			Line: section.Line, Section: section.Name, Problem: "unknown section",
			Allowed: strings.Join([]string{sectionProcess, sectionClients, sectionControls, sectionEntry, sectionAgent, sectionControl, sectionTLS, sectionSeeds, sectionRouting, sectionOperating, sectionRank, sectionZones}, ", "),
		}
	}

	present[section.Name] = true

	for _, setting := range section.Settings {
		f, ok := fields[setting.Key]
		if !ok {
			return settingError(section, setting, "unknown key", keysOf(section.Name))
		}

		if !f.parse(s, setting.Value) {
			return settingError(section, setting, fmt.Sprintf("bad value %q", setting.Value), f.Allowed)
		}

		present[section.Name+"."+setting.Key] = true
	}

	return nil
}

func settingError(section *inifile.Section, setting inifile.Setting, problem, allowed string) *inifile.Error {
	return &inifile.Error{Line: setting.Line, Section: section.Name, Key: setting.Key, Problem: problem, Allowed: allowed}
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

func (s *Settings) parseControls(section *inifile.Section) *inifile.Error {
	for _, setting := range section.Settings {
		if !namePattern.MatchString(setting.Key) {
			return settingError(section, setting, "invalid control VM ID", allowedName)
		}

		a, err := netip.ParseAddrPort(setting.Value)
		if err != nil || a.Port() == 0 {
			return settingError(section, setting, fmt.Sprintf("bad value %q", setting.Value), allowedAddress)
		}

		if slices.ContainsFunc(s.Controls, func(c ControlVM) bool { return c.Address == a }) {
			return settingError(section, setting, "the address belongs to another control VM", "a different address for each")
		}

		s.Controls = append(s.Controls, ControlVM{ID: setting.Key, Address: a})
	}

	return nil
}

// validate checks that required settings are present and that settings agree with each
// other.
func (s *Settings) validate(present map[string]bool) *inifile.Error {
	for _, f := range Fields() {
		if f.Required && s.sectionApplies(f.Section, present) && !present[f.Section+"."+f.Key] {
			return &inifile.Error{Section: f.Section, Key: f.Key, Problem: "is missing", Allowed: f.Allowed}
		}
	}

	switch n := len(s.Controls); {
	case s.UsesSeeds() && n > 0:
		return &inifile.Error{Section: sectionControls, Problem: "is set together with [Seeds]", Allowed: "one of the two"}
	case s.UsesSeeds():
	case n == 0 || n > maxControlVMs:
		return &inifile.Error{Section: sectionControls, Problem: fmt.Sprintf("lists %d control VMs", n), Allowed: "1 to 7"}
	case s.Entry.DefaultTimeout > s.Entry.MaxTimeout:
		return &inifile.Error{Section: sectionEntry, Key: "DefaultTimeout", Problem: "is above MaxTimeout", Allowed: "at most " + s.Entry.MaxTimeout.String()}
	case s.Process.Role == RoleControl && !slices.Contains(s.Controls, ControlVM{ID: s.Process.ID, Address: s.Process.Address}):
		return &inifile.Error{Section: sectionControls, Key: s.Process.ID, Problem: "this control VM is not in the list with its Address", Allowed: s.Process.Address.String()}
	}

	if s.Process.Role == RoleAgent && present[sectionTLS] && !s.Agent.AnnounceAddress.IsValid() {
		return &inifile.Error{Section: sectionAgent, Key: "AnnounceAddress", Problem: "is missing, and the target does not use TLS", Allowed: "IP:port on loopback"}
	}

	return s.checkPlaintext(present)
}

func (s *Settings) sectionApplies(section string, present map[string]bool) bool {
	switch section {
	case sectionProcess:
		return true
	case sectionControl:
		return s.Process.Role == RoleControl
	default:
		return present[section]
	}
}

// checkPlaintext returns an error if a process without TLS would listen on or connect to
// an address that is not loopback. Otherwise anyone who can reach its ports could send
// orders, claims and decisions.
func (s *Settings) checkPlaintext(present map[string]bool) *inifile.Error {
	if present[sectionTLS] || s.Process.TrustedNetwork {
		return nil
	}

	addresses := append(s.ControlAddresses(), s.Process.Address)
	if s.Process.AdminAddress.IsValid() {
		addresses = append(addresses, s.Process.AdminAddress)
	}

	for _, a := range addresses {
		if !a.Addr().IsLoopback() {
			return &inifile.Error{Section: sectionTLS, Problem: "is missing, and " + a.String() + " is not a loopback address", Allowed: "plaintext on loopback only"}
		}
	}

	return nil
}
