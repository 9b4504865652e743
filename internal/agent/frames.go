package agent

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// FramesContentType is the content type of an answer stream: wire.Frame messages, each
// behind its length as a varint.
const FramesContentType = "application/x-parsleygate-frames"

// frameWriter writes frames to an entry. It is used by one goroutine at a time.
type frameWriter struct {
	w             http.ResponseWriter
	rc            *http.ResponseController
	writeTimeout  time.Duration
	headerWritten bool
}

func newFrameWriter(w http.ResponseWriter, writeTimeout time.Duration) *frameWriter {
	return &frameWriter{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// write sends one frame, and what add kept back. It blocks while the entry reads
// slowly, which is what slows the target down; an entry that takes nothing for
// stall is given up.
func (f *frameWriter) write(frame *wire.Frame) error {
	if err := f.buffer(frame); err != nil {
		return err
	}

	return eris.Wrap(f.rc.Flush(), "flush a frame")
}

// buffer writes one frame that may wait for the next one.
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

	return eris.Wrap(err, "write a frame")
}
