package httpwire

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is how many requests one connection carries before it is closed. It bounds the record of their attempts to
// 4 KiB, the size of the connection's read buffer.
const maxCarried = 512

// attemptRecord holds the attempts that one connection has carried, as hashes. An answer names an attempt, so it belongs to
// one sending of it only if the connection carries no attempt twice: otherwise a late copy of the answer to the first
// sending is taken for the answer to the second. Two attempts with the same hash only cost another connection.
type attemptRecord struct{ hashes []uint64 }

// has reports whether the attempt may have been carried. One without an identifier can't be told from any other.
func (r *attemptRecord) has(attempt string) bool {
	return attempt == "" && len(r.hashes) > 0 || slices.Contains(r.hashes, xxhash.Sum64String(attempt))
}

func (r *attemptRecord) add(attempt string) {
	r.hashes = append(r.hashes, xxhash.Sum64String(attempt))
}

// full reports whether the connection may carry no further request.
func (r *attemptRecord) full() bool { return len(r.hashes) >= maxCarried }
