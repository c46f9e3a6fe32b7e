package membudget

import "io"

// Constants of meters.
const (
	// unmeteredBytes is how much may be read of one piece without taking memory. Nearly all pieces are smaller.
	unmeteredBytes = 8 << 10
	// copiesOfPiece is how many times a piece is in memory while it is assembled: as a line, as a part of an event and as its data.
	copiesOfPiece = 3
)

// Meter reads an answer that is passed on in pieces, such as the events of a stream. It takes memory for a piece that grows large. It
// is not safe for concurrent use.
type Meter struct {
	account *Account
	reader  io.Reader
	read    int64
	taken   int64
}

// Meter returns a reader that takes memory from the account.
func (a *Account) Meter(r io.Reader) *Meter { return &Meter{account: a, reader: r} }

// Read implements io.Reader. The error is ErrGivenUp if the answer was given up.
func (m *Meter) Read(p []byte) (int, error) {
	n, err := m.reader.Read(p)
	m.read += int64(n)
	if over := (m.read-unmeteredBytes)*copiesOfPiece - m.taken; over > 0 {
		if err := m.account.Take(over); err != nil {
			return 0, err
		}
		m.taken += over
	}
	return n, err
}

// NextPiece gives back the memory of the pieces so far.
func (m *Meter) NextPiece() {
	if m.taken > 0 {
		m.account.Return(m.taken)
	}
	m.read, m.taken = 0, 0
}
