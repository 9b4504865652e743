package eventstream

import "strings"

// ContentType is the media type of a stream of events.
const ContentType = "text/event-stream"

// IsStream reports whether contentType, the value of a Content-Type header, is that of a
// stream of events.
func IsStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")

	return strings.EqualFold(strings.TrimSpace(mediaType), ContentType)
}

// IsReadable reports whether an answer with these header values is a stream whose events
// can be read. Those of a compressed stream can't.
func IsReadable(contentType, contentEncoding string) bool {
	return IsStream(contentType) && (contentEncoding == "" || strings.EqualFold(contentEncoding, "identity"))
}
