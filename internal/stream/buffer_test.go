package stream_test

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"unicode/utf8"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/stream"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// reader reads a buffer and keeps the text, as a caller does.
type reader struct {
	at   stream.Position
	text string
	last *api.Last
}

// bufferModel is a rapid state machine that drives a buffer and tracks the text it must hold.
type bufferModel struct {
	buffer   *stream.Buffer
	dispatch uint32
	text     string
	final    bool
	readers  []*reader
}

// Start begins the next dispatch, or belatedly an earlier one, which must be rejected.
func (m *bufferModel) Start(t *rapid.T) {
	dispatch := uint32(rapid.IntRange(1, int(m.dispatch)+1).Draw(t, "dispatch"))
	accepted := m.buffer.Start(dispatch, stream.Source{})
	if want := !m.final && dispatch > m.dispatch; accepted != want {
		t.Fatalf("dispatch %d accepted: %v, want %v", dispatch, accepted, want)
	}
	if accepted {
		m.dispatch, m.text = dispatch, ""
	}
}

// Append adds a frame: the next one, a repeated one, one that leaves a gap, or one of another dispatch.
func (m *bufferModel) Append(t *rapid.T) {
	dispatch := uint32(rapid.IntRange(0, int(m.dispatch)+1).Draw(t, "dispatch"))
	if rapid.Bool().Draw(t, "present dispatch") {
		dispatch = m.dispatch
	}
	offset := int64(len(m.text))
	if rapid.Bool().Draw(t, "out of order") {
		offset = int64(rapid.IntRange(0, len(m.text)+2).Draw(t, "offset"))
	}
	text := rapid.StringMatching("[a-z]{1,3}").Draw(t, "text")
	accepted := m.buffer.Append(dispatch, offset, text)
	if want := !m.final && dispatch == m.dispatch && offset == int64(len(m.text)); accepted != want {
		t.Fatalf("frame at %d of dispatch %d accepted: %v, want %v", offset, dispatch, accepted, want)
	}
	if accepted {
		m.text += text
	}
}

// Finish ends the answer; a second call must have no effect.
func (m *bufferModel) Finish(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "finish") > 0 {
		return
	}
	outcome := api.OutcomeDone
	if m.final {
		outcome = api.OutcomeFailed
	}
	m.buffer.Finish(api.Last{Outcome: outcome})
	m.final = true
}

// Join adds a reader.
func (m *bufferModel) Join(*rapid.T) { m.readers = append(m.readers, &reader{}) }

// Read lets one reader read on from its position.
func (m *bufferModel) Read(t *rapid.T) {
	if len(m.readers) == 0 {
		return
	}
	m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")].read(m.buffer)
}

func (r *reader) read(b *stream.Buffer) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Next returns what is there and does not wait
	chunk, err := b.Next(ctx, r.at)
	if err != nil || r.last != nil {
		return
	}
	if chunk.At.Dispatch != r.at.Dispatch {
		r.text = ""
	}
	r.text = r.text[:chunk.At.Offset] + chunk.Text
	r.at = stream.Position{Dispatch: chunk.At.Dispatch, Offset: int64(len(r.text))}
	r.last = chunk.Last
}

// Check lets every reader of a final answer read on, and verifies the text of each.
func (m *bufferModel) Check(t *rapid.T) {
	for _, r := range m.readers {
		if m.final {
			r.read(m.buffer)
		}
		if r.at.Dispatch == m.dispatch && m.text[:len(r.text)] != r.text {
			t.Fatalf("a reader holds %q of %q", r.text, m.text)
		}
		if !m.final {
			continue
		}
		complete := r.text == m.text && r.last != nil && r.last.Outcome == api.OutcomeDone &&
			r.last.Length == int64(len(m.text)) && r.last.Checksum == stream.Checksum([]byte(m.text))
		if !complete {
			t.Fatalf("a reader ended with %q, %+v; the answer is %q", r.text, r.last, m.text)
		}
	}
}

func TestEveryReaderGetsTheWholeTextOfTheLastDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&bufferModel{buffer: stream.NewBuffer()}))
	})
}

func TestBodyThatComesAfterTheEndIsNotKept(t *testing.T) {
	ex := stream.NewStore().Open(core.Key{Team: "desk", ID: "request-1"})
	ex.SetBody([]byte("body"))
	assert.Equal(t, string(ex.Body()), "body")
	ex.Release()
	ex.SetBody([]byte("late"))
	assert.Assert(t, ex.Body() == nil)
}

func TestAbortBeforeADispatchStartsEndsItAtItsStart(t *testing.T) {
	ex := stream.NewStore().Open(core.Key{Team: "desk", ID: "request-1"})
	ex.Abort(1)
	aborted := 0
	ex.OnAbort(1, func() { aborted++ })
	assert.Equal(t, aborted, 1)
	ex.OnAbort(2, func() { aborted++ })
	assert.Equal(t, aborted, 1, "a later dispatch must not be aborted")
}

// TestLongAnswerIsReadInBoundedChunks guards against readers that each get a copy of a whole long answer at one time, and against a
// chunk that ends within a character, which no frame can hold.
func TestLongAnswerIsReadInBoundedChunks(t *testing.T) {
	b := stream.NewBuffer()
	b.Start(1, stream.Source{})
	want := strings.Repeat("a\u20ac", 1<<20) // four bytes, of which three are one character
	assert.Assert(t, b.Append(1, 0, want))
	b.Finish(api.Last{Outcome: api.OutcomeDone})
	var got strings.Builder
	at := stream.Position{Dispatch: 1, Offset: 1}
	for ended := false; !ended; {
		chunk, err := b.Next(t.Context(), at)
		assert.NilError(t, err)
		assert.Assert(t, chunk.Text != "" && len(chunk.Text) <= 1<<20, "%d bytes", len(chunk.Text))
		assert.Assert(t, utf8.ValidString(chunk.Text))
		got.WriteString(chunk.Text)
		at.Offset += int64(len(chunk.Text))
		ended = chunk.Last != nil
	}
	assert.Assert(t, got.String() == want[1:])
}
