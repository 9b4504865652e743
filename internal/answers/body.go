package answers

import (
	"errors"
	"io"
	"net/http"
)

// Body is the body of an answer. It ends with an error of type *HeadError if its trailer is broken.
type Body struct {
	r    io.Reader
	resp *http.Response
}

// NewBody returns the body of resp.
func NewBody(resp *http.Response) Body { return Body{r: resp.Body, resp: resp} }

// Read implements io.Reader.
func (b Body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)

	if errors.Is(err, io.EOF) {
		if broken := checkFields(b.resp.Trailer); broken != nil {
			return n, broken
		}
	}

	return n, err //nolint:wrapcheck // readers compare it
}
