package membudget

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const limit = 16 << 20

func ignore() {}

// text is a reader of a body of that many bytes.
func text(n int) io.Reader { return strings.NewReader(strings.Repeat("x", n)) }

// grown opens an account that holds some memory.
func grown(t *testing.T, b *Budget, declared, held int64) *Account {
	t.Helper()
	a := b.Open(declared, ignore)
	assert.NilError(t, a.Take(held))
	return a
}

// TestMemoryIsNeverOverTheBudget guards against answers that together take more than the host has, in whatever order they grow, become
// whole, are delivered and end, and against memory that is not given back.
func TestMemoryIsNeverOverTheBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(1 << 20)
	accounts := make([]*Account, 40)
	for i := range accounts {
		accounts[i] = b.Open(UnknownLength, ignore)
	}
	for range 20_000 {
		i := rng.IntN(len(accounts))
		a := accounts[i]
		switch rng.IntN(12) {
		case 0:
			a.Close()
			accounts[i] = b.Open([]int64{UnknownLength, 1 << 20}[rng.IntN(2)], ignore)
		case 1:
			a.Return(rng.Int64N(1 << 17))
		case 2:
			assert.Equal(t, a.Complete() != nil, a.WasGivenUp())
		default:
			assert.Equal(t, a.Take(rng.Int64N(1<<17)) != nil, a.WasGivenUp())
		}
		sum := int64(0)
		for _, one := range accounts {
			sum += one.held
		}
		assert.Equal(t, b.Held(), sum)
		assert.Assert(t, sum <= 1<<20, "%d bytes", sum)
	}
	for _, a := range accounts {
		a.Close()
		a.Close()
	}
	assert.Equal(t, b.Held(), int64(0))
	assert.Assert(t, b.GivenUp() > 0)
}

// TestAnswerLeastLikelyToBecomeWholeIsGivenUp guards against a flood that displaces other answers, and against an answer that is nearly
// whole and is given up for one that has just begun.
func TestAnswerLeastLikelyToBecomeWholeIsGivenUp(t *testing.T) {
	type answer struct{ declared, held int64 }
	flood, small := answer{UnknownLength, 6 << 20}, answer{UnknownLength, 4 << 10}
	late, begun, third := answer{8 << 20, 7 << 20}, answer{8 << 20, 2 << 20}, answer{8 << 20, 3 << 20}
	for name, c := range map[string]struct {
		goes  answer
		stays []answer
	}{
		"the flood":            {flood, []answer{late, begun, small}},
		"the larger flood":     {answer{UnknownLength, 9 << 20}, []answer{flood, small}},
		"the one that begins":  {begun, []answer{{8 << 20, 6 << 20}, late, small}},
		"the younger of equal": {third, []answer{third, third, third, third}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(limit)
			var stay []*Account
			for _, one := range c.stays {
				stay = append(stay, grown(t, b, one.declared, one.held))
			}
			gone := grown(t, b, c.goes.declared, c.goes.held)
			assert.NilError(t, stay[0].Take(1<<20))
			assert.Assert(t, gone.WasGivenUp())
			for i, one := range stay {
				assert.Assert(t, !one.WasGivenUp(), "answer %d", i)
			}
		})
	}
}

// TestSmallAnswersGoOnWhileCallersDoNotTakeLargeOnes guards against complete answers, which are not given up, that leave no room for
// others.
func TestSmallAnswersGoOnWhileCallersDoNotTakeLargeOnes(t *testing.T) {
	b := New(limit)
	for range 15 {
		assert.NilError(t, grown(t, b, 1<<20, 1<<20).Complete())
	}
	large := b.Open(UnknownLength, ignore)
	assert.ErrorIs(t, large.Take(1<<20), ErrGivenUp)
	small := b.NewBuffer(UnknownLength, ignore)
	assert.NilError(t, small.ReadAll(text(3<<10), limit))
}

// TestLargestAnswerFitsTheLeastBudget guards against a budget in which the overhead of segments leaves too little for one answer.
func TestLargestAnswerFitsTheLeastBudget(t *testing.T) {
	for _, declared := range []int64{UnknownLength, 16 << 20} {
		b := New(17 << 20)
		buf := b.NewBuffer(declared, ignore)
		assert.NilError(t, buf.ReadAll(text(16<<20), 16<<20))
		assert.Assert(t, b.Held() >= 16<<20)
		var out bytes.Buffer
		assert.NilError(t, buf.Deliver(func(segment []byte) error {
			_, err := out.Write(segment)
			return err
		}))
		assert.Equal(t, out.Len(), 16<<20)
		assert.Equal(t, b.Held(), int64(0), "what was delivered is still counted")
	}
}

// TestAnswerIsReadToItsEndOrNotAtAll guards against a part of an answer that counts as a whole one, and against its memory being kept.
func TestAnswerIsReadToItsEndOrNotAtAll(t *testing.T) {
	for name, c := range map[string]struct {
		declared int64
		body     io.Reader
		err      error
	}{
		"empty":                  {0, text(0), nil},
		"of unknown length":      {UnknownLength, text(9_000), nil},
		"empty, unknown length":  {UnknownLength, text(0), nil},
		"of the limit":           {UnknownLength, text(100_000), nil},
		"of a declared length":   {9_000, text(9_000), nil},
		"over the limit":         {UnknownLength, text(100_001), ErrTooLarge},
		"declared too long":      {100_001, text(0), ErrTooLarge},
		"cut":                    {9_000, text(8_999), io.ErrUnexpectedEOF},
		"cut by the connection":  {UnknownLength, io.MultiReader(text(5_000), failing{io.ErrUnexpectedEOF}), io.ErrUnexpectedEOF},
		"cut in the first bytes": {UnknownLength, failing{io.ErrClosedPipe}, io.ErrClosedPipe},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(limit)
			buf := b.NewBuffer(c.declared, ignore)
			err := buf.ReadAll(c.body, 100_000)
			assert.Assert(t, errors.Is(err, c.err) || err == nil && c.err == nil, "%v", err)
			buf.Close()
			assert.Equal(t, b.Held(), int64(0))
		})
	}
}

// failing is a reader that fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// TestAnswerGivenUpEndsItsSource guards against an answer that is given up and whose target goes on sending, or whose memory stays.
func TestAnswerGivenUpEndsItsSource(t *testing.T) {
	b := New(limit)
	r, w := io.Pipe()
	buf := b.NewBuffer(UnknownLength, func() { _ = r.CloseWithError(io.ErrClosedPipe) })
	read := make(chan error, 1)
	go func() { read <- buf.ReadAll(r, limit) }()
	_, err := w.Write(make([]byte, 1<<20))
	assert.NilError(t, err)
	assert.NilError(t, grown(t, b, 15<<20, 15<<20).Complete())
	assert.ErrorIs(t, <-read, ErrGivenUp)
	assert.Equal(t, len(buf.takeSegments()), 0)
	_, err = w.Write([]byte("x"))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
	assert.Equal(t, b.Held(), int64(15<<20))
}

// TestMeterCountsLargePiecesOnly guards against large events of many streams that together take more than the host has, and against
// small ones that take from the budget and are given up for it.
func TestMeterCountsLargePiecesOnly(t *testing.T) {
	b := New(limit)
	m := b.Open(UnknownLength, ignore).Meter(text(2 << 20))
	piece := make([]byte, 4<<10)
	for range 10 {
		m.NextPiece()
		_, err := m.Read(piece)
		assert.NilError(t, err)
		assert.Equal(t, b.Held(), int64(0))
	}
	_, err := io.CopyN(io.Discard, m, 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, b.Held() >= 3<<20-64<<10, "%d bytes", b.Held())
	m.NextPiece()
	assert.Equal(t, b.Held(), int64(0))
	full := grown(t, b, 15<<20, 15<<20)
	assert.NilError(t, full.Complete())
	_, err = io.Copy(io.Discard, m)
	assert.ErrorIs(t, err, ErrGivenUp)
}
