// Package answers checks the answers that a process gets over HTTP/1. The HTTP library parses heads leniently, so
// that what it returns is checked against the grammar before it is used (RFC 9112, RFC 9110).
package answers

import (
	"fmt"
	"net/http"

	"github.com/parsleygate/parsleygate/internal/fields"
)

// Part is a part of the head of an answer.
type Part string

// The parts that are checked.
const (
	PartVersion       Part = "version"
	PartStatus        Part = "status"
	PartReason        Part = "reason"
	PartContentLength Part = "length of an informational answer"
	PartFieldName     Part = "name of a field"
	PartFieldValue    Part = "value of a field"
)

// HeadError means that a part of a head does not conform to the grammar, or must not be in an answer. The target may
// have run the request.
type HeadError struct {
	Part  Part
	Value string
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("answers: broken head: %s %.80q", e.Part, e.Value)
}

// maxStatus is the highest status of an answer.
const maxStatus = 599

// Check returns an error of type *HeadError unless the head of an answer conforms to the grammar. An informational
// answer does, except for 101: no request of these processes asks for another protocol.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &HeadError{Part: PartVersion, Value: resp.Proto}
	}

	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return &HeadError{Part: PartStatus, Value: resp.Status}
	}

	if !fields.IsValue(resp.Status) {
		return &HeadError{Part: PartReason, Value: resp.Status}
	}

	if IsInformational(resp.StatusCode) {
		if err := checkBodyless(resp.Header); err != nil {
			return err
		}
	}

	return checkFields(resp.Header)
}

// checkFields checks the fields of a head or of a trailer. A name that the library did not understand may be that of the
// length, or hide it.
func checkFields(h http.Header) error {
	for name, values := range h {
		for _, v := range values {
			if err := CheckField(name, v); err != nil {
				return err
			}
		}
	}

	return nil
}

// CheckField returns an error of type *HeadError unless a name is a token and its value has no control characters but tabs.
func CheckField(name, value string) error {
	if !fields.IsToken(name) {
		return &HeadError{Part: PartFieldName, Value: name}
	}

	if !fields.IsValue(value) {
		return &HeadError{Part: PartFieldValue, Value: value}
	}

	return nil
}

// CheckFinalStatus returns an error of type *HeadError unless the status is that of a final answer.
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &HeadError{Part: PartStatus, Value: fmt.Sprint(status)}
	}

	return nil
}

// IsInformational reports whether another answer to the same request follows one with this status.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// checkBodyless returns an error if an informational answer states a body. It has none, so that its bytes would be read as
// the next answer.
func checkBodyless(h http.Header) error {
	for _, v := range h["Content-Length"] {
		if v != "0" {
			return &HeadError{Part: PartContentLength, Value: v}
		}
	}

	return nil
}
