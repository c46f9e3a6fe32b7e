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
	ErrTruncated = errors.ConstError("the answer is not whole")
	// ErrWrongRequest reports a frame of another request.
	ErrWrongRequest = errors.ConstError("a frame of another request")
)

// assembly puts an answer together from frames.
type assembly struct {
	// host is the process that sends the answer; dispatch numbers are its own.
	host     string
	dispatch uint32
	text     []byte
	// target and stream are what makes the answer.
	target string
	stream string
}

// setHost names the process whose frames follow. What another process sent is of another run.
func (a *assembly) setHost(host string) {
	if host != a.host {
		*a = assembly{host: host}
	}
}

// read takes frames until the last one. What is held stays held after an error, so that a resumed answer goes on
// from there.
func (a *assembly) read(body io.Reader, id string, first func()) (*api.Last, error) {
	decoder := json.NewDecoder(body)
	for {
		var frame api.Frame
		if err := decoder.Decode(&frame); err != nil {
			return nil, errors.Trace(errors.WithType(err, ErrTruncated))
		}
		if frame.Request != id {
			return nil, ErrWrongRequest
		}
		if len(a.text) == 0 && frame.Text != "" {
			first()
		}
		if frame.Stream != "" {
			a.target, a.stream = frame.Target, frame.Stream
		}
		a.add(frame)
		if frame.Last != nil {
			return frame.Last, a.verify(frame.Last)
		}
	}
}

// add takes a frame's text; a frame of a later dispatch starts the answer over, and text that is held already or
// does not follow is left out.
func (a *assembly) add(frame api.Frame) {
	if frame.Dispatch > a.dispatch {
		a.dispatch = frame.Dispatch
		a.text = nil
	}
	if frame.Dispatch < a.dispatch || frame.Offset > int64(len(a.text)) {
		return
	}
	skip := int64(len(a.text)) - frame.Offset
	if skip < int64(len(frame.Text)) {
		a.text = append(a.text, frame.Text[skip:]...)
	}
}

func (a *assembly) verify(last *api.Last) error {
	if last.Length == int64(len(a.text)) && last.Checksum == stream.Checksum(a.text) {
		return nil
	}
	a.text = nil
	return ErrTruncated
}
