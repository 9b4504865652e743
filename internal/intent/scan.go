package intent

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the largest declaration that is read.
const MaxBytes = 4 << 20

// Error says what is wrong in a declaration, where, and what is allowed.
type Error struct {
	Source string
	// Line is the line number from 1, or 0 where no line is to blame.
	Line    int
	Section string
	Key     string
	Problem string
	// Allowed says what would be right.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder

	fmt.Fprintf(&b, "%s:%d", e.Source, e.Line)

	if e.Section != "" {
		fmt.Fprintf(&b, ": [%s]", e.Section)
	}

	if e.Key != "" {
		fmt.Fprintf(&b, " %s", e.Key)
	}

	fmt.Fprintf(&b, ": %s", e.Problem)

	if e.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", e.Allowed)
	}

	return b.String()
}

// place names a section, or a key of one.
type place struct {
	section, key string
}

// scan finds the line of each section and key, and refuses what the INI library
// would merge or drop without a word: doubled sections and keys, lines before
// the first section, and lines that are neither.
func scan(source string, data []byte) (map[place]int, error) {
	lines := map[place]int{}
	section := ""

	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}

		at, err := scanLine(line, section)
		if err == nil && lines[at] != 0 {
			err = &Error{Problem: fmt.Sprintf("already given in line %d", lines[at]), Allowed: "one of each"}
		}

		if err != nil {
			err.Source, err.Line, err.Section, err.Key = source, i+1, at.section, at.key
			return nil, err
		}

		section = at.section
		lines[at] = i + 1
	}

	return lines, nil
}

func scanLine(line, section string) (place, *Error) {
	if line[0] == '[' {
		if line[len(line)-1] != ']' {
			return place{}, &Error{Problem: "the section's head is not closed", Allowed: `[Kind "name"]`}
		}

		return place{section: strings.TrimSpace(line[1 : len(line)-1])}, nil
	}

	key, value, ok := strings.Cut(line, "=")
	at := place{section: section, key: strings.TrimSpace(key)}

	switch {
	case section == "":
		return at, &Error{Problem: "stands before the first section", Allowed: `a section such as [Zone "name"] first`}
	case !ok || at.key == "":
		return at, &Error{Problem: "is no setting", Allowed: "Key = value"}
	case strings.ContainsAny(value, "\"`") || strings.ContainsAny(at.key, "\"`:"):
		return at, &Error{Problem: "holds a quote", Allowed: "plain text without quotes, on one line"}
	}

	return at, nil
}

func load(source string, data []byte) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true,
		IgnoreContinuation:  true,
		KeyValueDelimiters:  "=",
	}, data)
	if err != nil {
		return nil, &Error{Source: source, Problem: err.Error(), Allowed: "INI"}
	}

	return file, nil
}
