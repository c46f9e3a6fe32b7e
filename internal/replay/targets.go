package replay

import (
	"slices"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/model"
	"carobshunt/internal/virtual"
)

// engineTarget adapts a simulated engine to virtual.Target.
type engineTarget struct {
	run     *run
	address string
	zone    string
	engine  *model.Engine
	streams []*engineStream
}

// engineStream is a dispatch that has arrived at the engine and has not ended.
type engineStream struct {
	name string
	// from is the host that dispatched, post delivers inputs to the process that did.
	from *virtual.Host
	post func(node.Input)
	// end is the input to post at the end of the dispatch.
	end node.DispatchEnded
	// members holds the engines of a group, this one first; empty for a stream on one engine.
	members []*model.Engine
}

// Start implements virtual.Target.
func (t *engineTarget) Start(w *virtual.World, from *virtual.Host, dispatch node.StartDispatch) {
	end := node.DispatchEnded{Key: dispatch.Key, Dispatch: dispatch.Dispatch, Target: t.address}
	post := from.Poster()
	t.run.countDispatch(dispatch)
	if t.run.isCut(t.run.zoneOf(from), t.zone) {
		end.Ending = node.EndedNotWritten
		w.After(dialTimeout, func() { post(end) })
		return
	}
	w.After(hopTime, func() {
		t.receive(w, &engineStream{name: dispatch.Stream.Name(), from: from, post: post, end: end}, dispatch)
	})
}

// receive starts a dispatch that has arrived at the engine.
func (t *engineTarget) receive(w *virtual.World, s *engineStream, dispatch node.StartDispatch) {
	if t.engine.Dead() {
		s.end.Ending = node.EndedNotWritten
		w.After(hopTime, func() { s.post(s.end) })
		return
	}
	t.streams = append(t.streams, s)
	req := dispatch.Request
	band := t.run.callOf(dispatch.Key).band
	listener := model.Listener{
		FirstToken: func() {
			t.run.recordFirstToken(dispatch)
			t.deliver(w, s, node.DispatchFirstToken{Key: dispatch.Key, Dispatch: dispatch.Dispatch})
		},
		Gap: func(d time.Duration) { t.run.recordGap(band, d) },
		Ended: func() {
			t.remove(s)
			t.deliver(w, s, s.end)
		},
	}
	spec := model.Spec{
		Name:         s.name,
		Priority:     dispatch.Priority,
		PromptTokens: req.PromptTokens,
		AnswerTokens: req.AnswerTokens,
		Prefix:       req.Prefix,
		PrefixTokens: req.PrefixTokens,
	}
	if !t.startStream(s, spec, dispatch, listener) {
		t.remove(s)
		s.end.Ending = node.EndedFailed
		t.deliver(w, s, s.end)
	}
}

// startStream starts the stream on this engine, or on the dispatch's group with this engine as the one that answers. It
// reports whether the stream was accepted.
func (t *engineTarget) startStream(s *engineStream, spec model.Spec, dispatch node.StartDispatch, listener model.Listener) bool {
	if len(dispatch.Group) == 0 {
		return t.engine.Start(spec, listener)
	}
	s.members = append(s.members, t.engine)
	for _, address := range dispatch.Group {
		if address != t.address {
			s.members = append(s.members, t.run.engines[address].engine)
		}
	}
	return model.StartGroup(s.members, spec, dispatch.Reservation.Name(), listener)
}

// cancel cancels a stream on every engine that it runs on.
func (t *engineTarget) cancel(s *engineStream) {
	t.remove(s)
	t.engine.Cancel(s.name)
	for _, e := range s.members {
		e.Cancel(s.name)
	}
}

// deliver posts an input to the host that dispatched. While its zone is cut off the input waits, as data on an open
// connection does.
func (t *engineTarget) deliver(w *virtual.World, s *engineStream, in node.Input) {
	if t.run.isCut(t.run.zoneOf(s.from), t.zone) {
		w.After(cutRetryInterval, func() { t.deliver(w, s, in) })
		return
	}
	w.After(hopTime, func() { s.post(in) })
}

// remove removes a stream that has ended, was canceled or failed to start.
func (t *engineTarget) remove(s *engineStream) {
	if at := slices.Index(t.streams, s); at >= 0 {
		t.streams = slices.Delete(t.streams, at, at+1)
	}
}

// Abort implements virtual.Target.
func (t *engineTarget) Abort(w *virtual.World, from *virtual.Host, abort node.AbortDispatch) {
	at := slices.IndexFunc(t.streams, func(s *engineStream) bool {
		return s.from == from && s.end.Key == abort.Key && s.end.Dispatch == abort.Dispatch
	})
	if at < 0 {
		return
	}
	s := t.streams[at]
	if t.run.isCut(t.run.zoneOf(from), t.zone) {
		w.After(cutRetryInterval, func() { t.Abort(w, from, abort) })
		return
	}
	t.cancel(s)
	s.end.Ending = node.EndedLost
	w.After(hopTime, func() { s.post(s.end) })
}

// handleHostDeath cancels the streams of a host that has died.
func (t *engineTarget) handleHostDeath(h *virtual.Host) {
	for _, s := range slices.Clone(t.streams) {
		if s.from == h {
			t.cancel(s)
		}
	}
}

// kill kills the engine; its streams are lost, also on the other members of the groups that it answers for. A group that
// another member answers for is not ended: it stalls.
func (t *engineTarget) kill(w *virtual.World) {
	t.engine.Kill()
	for _, s := range t.streams {
		for _, e := range s.members {
			e.Cancel(s.name)
		}
		s.end.Ending = node.EndedLost
		t.deliver(w, s, s.end)
	}
	t.streams = nil
}

// scheduleReport sends the engine's load to the hosts at every ReportInterval; it arrives after ReportLag.
func (t *engineTarget) scheduleReport(w *virtual.World) {
	params := t.run.params
	w.After(params.ReportInterval, func() {
		if t.engine.Dead() {
			return
		}
		load := t.engine.Load()
		in := node.LoadReceived{Target: t.address, Report: target.Report{
			QueuedTokens: load.QueuedTokens,
			Streams:      load.Streams,
			UsedTokens:   load.UsedTokens,
		}}
		t.broadcast(w, params.ReportLag, in)
		t.scheduleReport(w)
	})
}

// broadcast posts an input to all hosts that the engine can reach, after a lag.
func (t *engineTarget) broadcast(w *virtual.World, lag time.Duration, in node.Input) {
	for _, h := range w.Hosts() {
		if !t.run.isCut(t.run.zoneOf(h), t.zone) {
			w.After(lag, func() { h.Post(in) })
		}
	}
}

// serviceTarget simulates a plain service that takes serviceTime for each call.
type serviceTarget struct {
	run     *run
	address string
	zone    string
}

// Start implements virtual.Target.
func (t *serviceTarget) Start(w *virtual.World, from *virtual.Host, dispatch node.StartDispatch) {
	t.run.countDispatch(dispatch)
	end := node.DispatchEnded{Key: dispatch.Key, Dispatch: dispatch.Dispatch, Target: t.address}
	post := from.Poster()
	if t.run.isCut(t.run.zoneOf(from), t.zone) {
		end.Ending = node.EndedNotWritten
		w.After(dialTimeout, func() { post(end) })
		return
	}
	t.run.countArrival(dispatch.Key)
	w.After(serviceTime, func() {
		t.run.recordFirstToken(dispatch)
		post(node.DispatchFirstToken{Key: dispatch.Key, Dispatch: dispatch.Dispatch})
		post(end)
	})
}

// Abort implements virtual.Target. It does nothing: a call that has arrived runs to its end.
func (t *serviceTarget) Abort(*virtual.World, *virtual.Host, node.AbortDispatch) {}
