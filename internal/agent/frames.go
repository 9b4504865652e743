package agent

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// FramesContentType is the content type of a response stream: a sequence of wire.Frame
// messages, each preceded by its length as a varint.
const FramesContentType = "application/x-parsleygate-frames"

// frameWriter writes frames to an entry. It is not safe for concurrent use.
type frameWriter struct {
	w             http.ResponseWriter
	rc            *http.ResponseController
	writeTimeout  time.Duration
	headerWritten bool
}

func newFrameWriter(w http.ResponseWriter, writeTimeout time.Duration) *frameWriter {
	return &frameWriter{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// write sends a frame and any buffered ones. It blocks while the entry reads slowly, which
// applies backpressure to the target, and fails once the entry has read nothing for
// writeTimeout.
func (f *frameWriter) write(frame *wire.Frame) error {
	if err := f.buffer(frame); err != nil {
		return err
	}

	return eris.Wrap(f.rc.Flush(), "flush a frame to the entry")
}

// buffer writes a frame without flushing it.
func (f *frameWriter) buffer(frame *wire.Frame) error {
	if !f.headerWritten {
		f.headerWritten = true
		f.w.Header().Set("Content-Type", FramesContentType)
		f.w.WriteHeader(http.StatusOK)
	}

	if err := f.rc.SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		return eris.Wrap(err, "set the write deadline")
	}

	_, err := protodelim.MarshalTo(f.w, frame)

	return eris.Wrap(err, "write a frame to the entry")
}
