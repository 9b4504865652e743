// Package intent reads operators' declarations and computes plans: what a declaration
// would change in the state, and the cost of that change.
//
// What a declaration does not mention stays unchanged: without a section its record
// stays, and without a key its value stays. A record is removed only by Removed = true
// in its section. A truncated file therefore removes nothing, and an urgent change
// needs only the section that it changes.
package intent

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/inifile"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Declaration is a parsed and validated declaration.
type Declaration struct {
	Source   string
	sections []section
}

// section is one section of a known kind.
type section struct {
	kind     *sectionKind
	name     string
	line     int
	removed  bool
	settings []setting
}

type setting struct {
	field field
	value string
	line  int
}

func (s *section) heading() string { return fmt.Sprintf("%s %q", s.kind.keyword, s.name) }

func (s *section) key() string { return s.kind.prefix + s.name }

// namePattern matches the names of zones, services, processes and other objects.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const allowedNames = "1 to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit"

// MaxBytes is the maximum size of a declaration in bytes.
const MaxBytes = 4 << 20

// Error describes what is wrong in a declaration, where, and what is allowed.
type Error = inifile.Error

// Parse parses a declaration in INI format. Errors are of type *Error and name source.
func Parse(source string, data []byte) (*Declaration, error) {
	file, err := inifile.Read(source, data, MaxBytes)
	if err != nil {
		return nil, err
	}

	d := &Declaration{Source: source}

	for i := range file.Sections {
		s, err := readSection(&file.Sections[i])
		if err != nil {
			return nil, d.withSource(err)
		}

		d.sections = append(d.sections, *s)
	}

	return d, nil
}

func readSection(f *inifile.Section) (*section, *Error) {
	s, err := parseHeading(f.Name, f.Line)
	if err != nil {
		return nil, err
	}

	for _, set := range f.Settings {
		if err := s.addSetting(set.Key, set.Value, set.Line); err != nil {
			return nil, err
		}
	}

	if s.removed && len(s.settings) > 0 {
		return nil, &Error{Line: s.line, Section: f.Name, Key: removedKey, Problem: "stands beside other keys", Allowed: "alone"}
	}

	return s, nil
}

func (d *Declaration) withSource(err *Error) error {
	err.Source = d.Source
	return err
}

func parseHeading(heading string, line int) (*section, *Error) {
	word, quoted, _ := strings.Cut(heading, " ")
	quoted = strings.TrimSpace(quoted)

	for _, k := range sectionKinds {
		if k.keyword != word {
			continue
		}

		name := strings.Trim(quoted, `"`)
		if quoted != `"`+name+`"` || !namePattern.MatchString(name) {
			return nil, &Error{Line: line, Section: heading, Problem: "has no proper name", Allowed: allowedNames + ", in double quotes"}
		}

		return &section{kind: k, name: name, line: line}, nil
	}

	return nil, &Error{Line: line, Section: heading, Problem: "is no known section", Allowed: sectionNames()}
}

func sectionNames() string {
	names := make([]string, 0, len(sectionKinds))
	for _, k := range sectionKinds {
		names = append(names, fmt.Sprintf(`[%s "name"]`, k.keyword))
	}

	return strings.Join(names, ", ")
}

func (s *section) addSetting(key, value string, line int) *Error {
	fault := &Error{Line: line, Section: s.heading(), Key: key}

	if key == removedKey && s.kind.newRecord != nil {
		if value != "true" {
			fault.Problem, fault.Allowed = "has a bad value", "true, or leave the key out"
			return fault
		}

		s.removed = true

		return nil
	}

	f, ok := s.kind.field(key)
	if !ok {
		fault.Problem, fault.Allowed = "is no known key", s.kind.keyNames()
		return fault
	}

	s.settings = append(s.settings, setting{field: f, value: value, line: line})

	if s.kind.newRecord == nil {
		return s.checkValue(&wire.Record{Value: &wire.Record_Service{Service: &wire.Service{}}}, fault, f, value)
	}

	return s.checkValue(s.kind.newRecord(s.name), fault, f, value)
}

func (s *section) checkValue(r *wire.Record, fault *Error, f field, value string) *Error {
	if err := f.set(r, value); err != nil {
		fault.Problem, fault.Allowed = fmt.Sprintf("has the bad value %q", value), f.allowed
		return fault
	}

	return nil
}

// Digest returns the SHA-256 of the declared content and of override. The order of
// sections and keys, comments, blank lines and the source's name do not affect it.
func (d *Declaration) Digest(override bool) []byte {
	lines := []string{fmt.Sprintf("override %t", override)}

	for _, s := range d.sections {
		lines = append(lines, fmt.Sprintf("%s removed %t", s.heading(), s.removed))

		for _, set := range s.settings {
			lines = append(lines, fmt.Sprintf("%s %s %q", s.heading(), set.field.name, set.value))
		}
	}

	slices.Sort(lines)

	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))

	return sum[:]
}

// applyTo returns current with the section's settings applied, or nil if the section
// removes the record.
func (s *section) applyTo(current *wire.Record) (*wire.Record, *Error) {
	if s.removed {
		return nil, nil
	}

	next := proto.CloneOf(current)
	if current == nil {
		if s.kind.newRecord == nil {
			return nil, &Error{Line: s.line, Section: s.heading(), Problem: "names an unknown service", Allowed: "a declared service"}
		}

		next = s.kind.newRecord(s.name)
	}

	for _, set := range s.settings {
		if err := set.field.set(next, set.value); err != nil {
			return nil, &Error{Line: set.line, Section: s.heading(), Key: set.field.name, Problem: err.Error(), Allowed: set.field.allowed}
		}
	}

	next.Key = s.key()

	return next, nil
}
