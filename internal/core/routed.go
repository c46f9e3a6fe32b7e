package core

import "time"

// Routed holds the routing fields of a request that is addressed by host name and path, and the settings of the route
// that it matched. Such a request ends with the connection that it arrived on: its outcome can't be queried later, and
// a retry by the caller is a new request.
type Routed struct {
	// Authority and Path are those of the HTTP request. KeyDigest is the SHA-256 of the caller's key in hexadecimal;
	// empty without a key.
	Authority string
	Path      string
	KeyDigest string

	// Route is the name of the matched route. It and the fields below are set when the request is resolved.
	Route string
	// Streams is set when the answer is an event stream.
	Streams bool
	// MaxExecutions is the maximum number of targets that may execute the request.
	MaxExecutions int
	// FirstTokenTarget is the objective for the time to the answer, or to the first event of a stream; GapTarget that for
	// the longest gap between two events, 0 for none.
	FirstTokenTarget time.Duration
	GapTarget        time.Duration
	// Resubmitted is set for a request that its caller probably resubmitted after a refusal by this host or another: its
	// time budget is shorter than the longest recent one of the route.
	Resubmitted bool
	// Rank is the urgency of the team or, if it has none, of the route; 0 is the most urgent. ByRank is set if the document
	// gives any team a rank: only then does Rank affect the order of service.
	Rank   int64
	ByRank bool
}
