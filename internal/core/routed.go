package core

import "time"

// Routed is what a request brings that names what it asks for by host name and path, and what the route in force says
// of it. Such a request lives and dies with the connection that it came on: nobody asks for its outcome later, and a
// caller's next attempt is another request.
type Routed struct {
	// Authority, Path and KeyDigest are the caller's: the digest is the SHA-256 of its key in hexadecimal, empty
	// without a key.
	Authority string
	Path      string
	KeyDigest string

	// Route is the name of the route; it and what follows are filled in when the request is resolved.
	Route string
	// Streams is set when the answer is a stream of events.
	Streams bool
	// MaxExecutions is how many targets may execute the request.
	MaxExecutions int
	// Target is the aim for the first answer, GapTarget for the longest pause in a stream.
	Target    time.Duration
	GapTarget time.Duration
	// Returned is set for a caller that has waited before, at this host or another.
	Returned bool
	// Rank is the route's urgency; 0 goes first.
	Rank int
}
