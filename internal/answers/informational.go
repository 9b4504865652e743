package answers

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
)

// minHeadBytes is the size of the smallest informational answer.
const minHeadBytes = len("HTTP/1.1 100 \r\n\r\n")

// CheckInformational returns a context for one request by an http.Transport. The request fails at an informational
// answer that Check refuses, and once all informational answers exceed maxBytes: the transport does not bound them together
// if they are checked.
func CheckInformational(ctx context.Context, maxBytes int64) context.Context {
	size := int64(0)

	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		if size += headBytes(h); size > maxBytes {
			return ErrTooLong
		}

		return Check(&http.Response{ProtoMajor: 1, StatusCode: status, Status: strconv.Itoa(status), Header: http.Header(h)})
	}})
}

func headBytes(h textproto.MIMEHeader) int64 {
	n := minHeadBytes

	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}

	return int64(n)
}
