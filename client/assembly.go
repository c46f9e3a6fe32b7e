package client

import (
	"encoding/json"
	"io"

	"carobshunt/api"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
)

// Errors of a streamed answer.
const (
	// ErrTruncated reports an answer that ended before its last frame, or whose length or checksum is wrong.
	ErrTruncated = errors.ConstError("incomplete answer")
	// ErrFrameTooLong and ErrAnswerTooLong report a frame, or a text, that is longer than any host sends.
	ErrFrameTooLong  = errors.ConstError("the frame is too long")
	ErrAnswerTooLong = errors.ConstError("the answer is too long")
	// ErrWrongRequest reports a frame of another request.
	ErrWrongRequest = errors.ConstError("frame belongs to another request")
)

// Bounds of an answer, in bytes. Hosts send frames with 1 MB of text at most, each byte of which takes up to six in JSON.
const (
	maxFrameBytes  = 8 << 20
	maxAnswerBytes = 32 << 20
)

// frameLimit reads frames and fails once more than maxFrameBytes were read since the last one began.
type frameLimit struct {
	inner io.Reader
	left  int
}

// Read implements io.Reader.
func (l *frameLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, ErrFrameTooLong
	}
	n, err := l.inner.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// assembly reassembles an answer from its frames.
type assembly struct {
	// host is the host process that sends the answer, as "address/incarnation"; dispatch numbers are valid only for it.
	host     string
	dispatch uint32
	// text is the answer received so far under that dispatch.
	text []byte
	// target and stream name the target that generates the answer and its stream there.
	target string
	stream string
}

// setHost names the process whose frames follow. If it is another one, what was received is discarded: it belongs to
// another execution.
func (a *assembly) setHost(host string) {
	if host != a.host {
		*a = assembly{host: host}
	}
}

// read reads frames until the last one. It calls onFirstText for a frame with text if the answer is empty until then,
// so again after the answer was discarded. An error leaves the text received so far, so that the answer can be resumed
// from there, unless the complete answer fails the last frame's checks.
func (a *assembly) read(body io.Reader, id string, onFirstText func()) (*api.Last, error) {
	frames := &frameLimit{inner: body}
	decoder := json.NewDecoder(frames)
	for {
		frames.left = maxFrameBytes
		var frame api.Frame
		if err := decoder.Decode(&frame); err != nil {
			return nil, errors.Trace(errors.WithType(err, ErrTruncated))
		}
		if frame.Request != id {
			return nil, ErrWrongRequest
		}
		if len(a.text) == 0 && frame.Text != "" {
			onFirstText()
		}
		if frame.Stream != "" {
			a.target, a.stream = frame.Target, frame.Stream
		}
		a.add(frame)
		if len(a.text) > maxAnswerBytes {
			return nil, ErrAnswerTooLong
		}
		if frame.Last != nil && frame.Dispatch == a.dispatch {
			return frame.Last, a.verify(frame.Last)
		}
	}
}

// add appends the text of a frame. A frame of a later dispatch starts the answer over. Text of an earlier dispatch,
// text received before, text after a gap and text before the start is ignored.
func (a *assembly) add(frame api.Frame) {
	if frame.Dispatch > a.dispatch {
		a.dispatch = frame.Dispatch
		a.text = nil
	}
	if frame.Dispatch < a.dispatch || frame.Offset < 0 || frame.Offset > int64(len(a.text)) {
		return
	}
	skip := int64(len(a.text)) - frame.Offset
	if skip < int64(len(frame.Text)) {
		a.text = append(a.text, frame.Text[skip:]...)
	}
}

// verify checks length and checksum of the complete answer, and discards it if they don't match.
func (a *assembly) verify(last *api.Last) error {
	if last.Length == int64(len(a.text)) && last.Checksum == stream.Checksum(a.text) {
		return nil
	}
	a.text = nil
	return ErrTruncated
}
