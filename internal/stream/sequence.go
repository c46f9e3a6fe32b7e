package stream

import (
	"bytes"
	"strconv"

	"carobshunt/internal/httpwire"

	"github.com/juju/errors"
)

// Reasons why an answer does not continue a stream.
const (
	// ErrNotContinued is returned for an answer to a resumed request that is no stream of events.
	ErrNotContinued = errors.ConstError("the answer does not continue the stream")
	// ErrOutOfOrder is returned for an event whose number is not above that of the event before it.
	ErrOutOfOrder = errors.ConstError("an event's number is not above that of the event before it")
	// ErrEventsMissing is returned for a resumed stream that leaves events out, or ends although another event had begun.
	ErrEventsMissing = errors.ConstError("the resumed stream leaves events out")
	// ErrUnnumbered is returned for a resumed stream whose first event has no number, so that nothing tells whether it is the
	// next one.
	ErrUnnumbered = errors.ConstError("the resumed stream begins with an event without a number")
	// ErrNotResumable is returned for a stream that broke off after an event without a number.
	ErrNotResumable = errors.ConstError("the stream can't be resumed after an event without a number")
)

// Sequence is what the caller has received of a stream of numbered events, over all dispatches of its request. It decides whether
// an event may follow. Only the end of a stream that follows without a gap sets ended. It is not safe for concurrent use.
type Sequence struct {
	// ordered is set on routes of streams, whose events have increasing numbers. Other events pass unchanged, and none can
	// continue them.
	ordered bool
	// resumedByCaller is set if the caller has received a part of the stream in the answer to an earlier request.
	resumedByCaller bool
	// begun is set once an event was passed on, other than a comment, ended once a dispatch has brought the end of the stream.
	begun, ended bool
	// last is the number of the last numbered event, if hasLast: at first that after which the caller resumes. lastData is its
	// data; nil if the caller has it from an earlier request.
	last     int64
	hasLast  bool
	lastData []byte
	// counted is the number of numbered events that were passed on. gaps is set if two of them, or the first one and that after
	// which the caller resumes, did not have consecutive numbers.
	counted int
	gaps    bool
	// unnumbered is set if an event without a number has followed last.
	unnumbered bool
	// torn is set if a dispatch broke off although another event was due, and none has come since: one had begun, or bytes were missing.
	torn bool
}

// NewSequence returns the sequence of a stream that a caller asks for from its begin. If ordered, its events have increasing
// numbers.
func NewSequence(ordered bool) *Sequence { return &Sequence{ordered: ordered} }

// ResumeSequence returns the sequence of a stream that may be resumed, and whose caller states the number of its last event; "" for
// none.
func ResumeSequence(lastEvent string) *Sequence {
	s := &Sequence{ordered: true, resumedByCaller: lastEvent != ""}
	if last, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		s.last, s.hasLast = last, true
	}
	return s
}

// Ended reports whether a dispatch has brought the end of the stream.
func (s *Sequence) Ended() bool { return s.ended }

// ResumedByCaller reports whether the caller has received a part of the stream in the answer to an earlier request.
func (s *Sequence) ResumedByCaller() bool { return s.resumedByCaller }

// Last returns the number of the last numbered event that the caller has, and whether there is one.
func (s *Sequence) Last() (number int64, known bool) { return s.last, s.hasLast }

// Resumable reports whether another dispatch may continue the stream.
func (s *Sequence) Resumable() bool { return !s.begun || s.hasLast && !s.unnumbered }

// consecutive reports whether the numbers so far show that the next event has the next number. A single one does so only if it
// is 1: other numbers may count something else than events.
func (s *Sequence) consecutive() bool {
	return !s.gaps && (s.counted > 1 || s.counted == 1 && s.last == 1)
}

// lastOnly reports whether an event at the start of a resumed run is the last one that the caller has, once more. One that the
// caller received in another answer can't be compared; number 1 is where a new run begins too.
func (s *Sequence) lastOnly(event *httpwire.Event) bool {
	if event.ID != s.last {
		return false
	}
	if s.counted == 0 {
		return s.last > 1
	}
	return bytes.Equal(event.Data, s.lastData)
}

// Part is the part of a stream that one dispatch brings.
type Part struct {
	sequence *Sequence
	// resumes is set as long as the part has to show that it continues the stream.
	resumes bool
}

// NewPart begins the part of another dispatch.
func (s *Sequence) NewPart() *Part { return &Part{sequence: s, resumes: s.hasLast} }

// Resumes reports whether the part still has to show that it continues the stream.
func (p *Part) Resumes() bool { return p.resumes }

// Check reports whether an event may be passed on; skip is set for one that the caller has, and that shows where the part
// goes on.
func (p *Part) Check(event *httpwire.Event) (skip bool, err error) {
	s := p.sequence
	switch {
	case !s.ordered || !event.IsEvent():
		return false, nil
	case !event.HasID && p.resumes:
		return false, ErrUnnumbered
	case !event.HasID, !s.hasLast:
		return false, nil
	case p.resumes && s.lastOnly(event):
		return true, nil
	case event.ID <= s.last:
		return false, errors.Annotatef(ErrOutOfOrder, "event %d after %d", event.ID, s.last)
	case p.resumes && s.consecutive() && event.ID != s.last+1:
		return false, errors.Annotatef(ErrEventsMissing, "event %d after %d", event.ID, s.last)
	}
	return false, nil
}

// PassedOn records an event that Check has let pass.
func (p *Part) PassedOn(event *httpwire.Event) {
	s := p.sequence
	if !event.IsEvent() {
		return
	}
	s.begun, s.torn = true, false
	if !event.HasID || !s.ordered {
		s.unnumbered = true
		return
	}
	if s.hasLast && event.ID != s.last+1 {
		s.gaps = true
	}
	s.last, s.hasLast, s.lastData = event.ID, true, event.Data
	s.counted++
	s.unnumbered, p.resumes = false, false
}

// BrokeOff records the error that ended the part. One that stated its length owes at least another event.
func (p *Part) BrokeOff(err error, statedLength bool) {
	if errors.Is(err, httpwire.ErrTruncatedEvent) || statedLength {
		p.sequence.torn = true
	}
}

// End records that the part ended in its framing. It fails if the caller lacks an event.
func (p *Part) End() error {
	if p.sequence.torn {
		return errors.Annotatef(ErrEventsMissing, "no event after %d, although one was due", p.sequence.last)
	}
	p.sequence.ended = true
	return nil
}
