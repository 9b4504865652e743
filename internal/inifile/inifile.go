// Package inifile parses INI files strictly. Input that the INI library would silently
// merge or drop is an error with its position and the allowed values.
package inifile

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Error is a fault in a file, with its position and what is allowed instead.
type Error struct {
	Source string
	// Line is the line number from 1, or 0 if the fault is not in one line.
	Line    int
	Section string
	Key     string
	Problem string
	// Allowed describes valid input. It may be empty.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder

	b.WriteString(e.Source)

	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}

	b.WriteString(":")

	if e.Section != "" {
		fmt.Fprintf(&b, " [%s]", e.Section)
	}

	if e.Key != "" {
		fmt.Fprintf(&b, " %s:", e.Key)
	}

	fmt.Fprintf(&b, " %s", e.Problem)

	if e.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", e.Allowed)
	}

	return b.String()
}

// Setting is a key with its value.
type Setting struct {
	Key   string
	Value string
	Line  int
}

// Section is a section of a file.
type Section struct {
	// Name is the entire text between the brackets, such as `Zone "ayutthaya"`.
	Name string
	Line int
	// Settings are in the order of the file.
	Settings []Setting
}

// File is a parsed file.
type File struct {
	Source   string
	Sections []Section
}

// location identifies a section or, if key is set, a key of the section.
type location struct {
	section, key string
}

// Read parses data. Errors are of type *Error and name source.
func Read(source string, data []byte, maxBytes int) (*File, error) {
	if len(data) > maxBytes {
		return nil, &Error{Source: source, Problem: "the file is too long", Allowed: fmt.Sprintf("%d bytes", maxBytes)}
	}

	lines, err := scan(source, data)
	if err != nil {
		return nil, err
	}

	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "=",
	}, data)
	if err != nil {
		return nil, &Error{Source: source, Problem: err.Error(), Allowed: "INI"}
	}

	f := &File{Source: source}

	for _, s := range parsed.Sections() {
		line := lines[location{section: s.Name()}]
		if line == 0 {
			continue
		}

		section := Section{Name: s.Name(), Line: line}
		for _, k := range s.Keys() {
			section.Settings = append(section.Settings, Setting{
				Key: k.Name(), Value: k.Value(), Line: lines[location{section: s.Name(), key: k.Name()}],
			})
		}

		f.Sections = append(f.Sections, section)
	}

	return f, f.complete(len(lines))
}

// complete returns an error unless each scanned line became a section or a setting. This
// detects lines that the INI library dropped or renamed.
func (f *File) complete(scanned int) error {
	read := len(f.Sections)
	for _, s := range f.Sections {
		read += len(s.Settings)
	}

	if read != scanned {
		return &Error{Source: f.Source, Problem: fmt.Sprintf("%d of %d lines were understood", read, scanned), Allowed: "plain INI"}
	}

	return nil
}

// scan returns the line number of each section and key. It rejects duplicate sections and
// keys, keys before the first section, and lines that are neither.
func scan(source string, data []byte) (map[location]int, error) {
	lines := make(map[location]int)
	section := ""

	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}

		loc, err := scanLine(line, section)
		if err == nil && lines[loc] != 0 {
			err = &Error{Problem: fmt.Sprintf("already given in line %d", lines[loc]), Allowed: "one of each"}
		}

		if err != nil {
			err.Source, err.Line, err.Section, err.Key = source, i+1, loc.section, loc.key

			return nil, err
		}

		section = loc.section
		lines[loc] = i + 1
	}

	return lines, nil
}

func scanLine(line, section string) (location, *Error) {
	if line[0] == '[' {
		if line[len(line)-1] != ']' {
			return location{}, &Error{Problem: "the section's head is not closed", Allowed: `[Section] or [Kind "name"]`}
		}

		return location{section: strings.TrimSpace(line[1 : len(line)-1])}, nil
	}

	key, value, ok := strings.Cut(line, "=")
	loc := location{section: section, key: strings.TrimSpace(key)}

	switch {
	case section == "":
		return loc, &Error{Problem: "stands before the first section", Allowed: "a section first"}
	case !ok || loc.key == "":
		return loc, &Error{Problem: "is no setting", Allowed: "Key = value"}
	case strings.ContainsAny(value, "\"`") || strings.ContainsAny(loc.key, "\"`:"):
		return loc, &Error{Problem: "holds a quote", Allowed: "plain text without quotes, on one line"}
	}

	return loc, nil
}
