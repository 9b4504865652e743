// Package fields holds the grammar of the fields of HTTP heads (RFC 9110, 5).
package fields

import "strings"

// headerNamePunctuation lists the characters of a header name other than letters and digits.
const headerNamePunctuation = "!#$%&'*+-.^_`|~"

// IsToken reports whether s is valid as a header name or a method.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !isAlphanumeric(c) && strings.IndexByte(headerNamePunctuation, c) < 0 {
			return false
		}
	}

	return s != ""
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// IsValue reports whether s is valid as a header value: it contains no control characters
// other than tabs.
func IsValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}

	return true
}
