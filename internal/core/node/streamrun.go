package node

import "carobshunt/internal/core"

// Framing is how a target marked the end of an answer's body.
type Framing string

// The framings.
const (
	// FramingLength: the head states the length of the body, or that there is none.
	FramingLength Framing = "length"
	// FramingChunked: the body is in chunked transfer encoding.
	FramingChunked Framing = "chunked"
	// FramingConnection: the body ends with its connection.
	FramingConnection Framing = "connection"
)

// StreamRun tells what one dispatch brought of a stream, or of what it got in place of one.
type StreamRun struct {
	// Status is the status of the target's answer.
	Status  int
	Framing Framing
	// Resumed is set if the dispatch had to continue a stream after the event with the number After.
	Resumed bool
	After   int64
	// Events is the number of events that were passed on, Numbered that of those with a number. First and Last are the first
	// and the last number; not valid without one.
	Events, Numbered int
	First, Last      int64
}

// StreamRunEnded reports, for the log and the metrics, the end of a dispatch that got an answer to a stream.
type StreamRunEnded struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Ending   Ending
	Message  string
	Run      StreamRun
}

func (StreamRunEnded) action() {}

// reportStreamRun reports what an ended dispatch brought of a stream.
func (n *Node) reportStreamRun(in DispatchEnded) {
	if in.Run == nil {
		return
	}
	n.do(StreamRunEnded{
		Key: in.Key, Dispatch: in.Dispatch, Target: in.Target, Ending: in.Ending, Message: in.Message, Run: *in.Run,
	})
}
