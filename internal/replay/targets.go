package replay

import (
	"slices"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/model"
	"carobshunt/internal/virtual"
)

// engineTarget puts a model engine behind the interface of a target.
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
	from *virtual.Host
	post func(node.Input)
	end  node.DispatchEnded
	// members are the engines of a group, this one first.
	members []*model.Engine
}

// Start implements virtual.Target.
func (t *engineTarget) Start(w *virtual.World, from *virtual.Host, order node.StartDispatch) {
	end := node.DispatchEnded{Key: order.Key, Dispatch: order.Dispatch, Target: t.address}
	post := from.Poster()
	t.run.dispatched(order)
	if t.run.cut(t.run.zoneOf(from), t.zone) {
		end.Ending = node.EndedNotWritten
		w.After(dialTime, func() { post(end) })
		return
	}
	w.After(hopTime, func() { t.arrive(w, &engineStream{name: order.Stream.Name(), from: from, post: post, end: end}, order) })
}

func (t *engineTarget) arrive(w *virtual.World, s *engineStream, order node.StartDispatch) {
	if t.engine.Dead() {
		s.end.Ending = node.EndedNotWritten
		w.After(hopTime, func() { s.post(s.end) })
		return
	}
	t.streams = append(t.streams, s)
	req := order.Request
	band := t.run.callOf(order.Key).band
	listener := model.Listener{
		First: func() {
			t.run.firstToken(order)
			t.deliver(w, s, node.DispatchFirstToken{Key: order.Key, Dispatch: order.Dispatch})
		},
		Gap: func(d time.Duration) { t.run.gap(band, d) },
		Ended: func() {
			t.forget(s)
			t.deliver(w, s, s.end)
		},
	}
	spec := model.Spec{
		Name:         s.name,
		Priority:     order.Priority,
		PromptTokens: req.PromptTokens,
		AnswerTokens: req.AnswerTokens,
		Prefix:       req.Prefix,
		PrefixTokens: req.PrefixTokens,
	}
	if !t.startStream(s, spec, order, listener) {
		t.forget(s)
		s.end.Ending = node.EndedFailed
		t.deliver(w, s, s.end)
	}
}

// startStream starts the stream here, or on the order's group with this engine as the one that answers.
func (t *engineTarget) startStream(s *engineStream, spec model.Spec, order node.StartDispatch, listener model.Listener) bool {
	if len(order.Group) == 0 {
		return t.engine.Start(spec, listener)
	}
	s.members = append(s.members, t.engine)
	for _, address := range order.Group {
		if address != t.address {
			s.members = append(s.members, t.run.engines[address].engine)
		}
	}
	return model.StartGroup(s.members, spec, order.Reservation.Name(), listener)
}

// cancel ends a stream on every engine that it runs on.
func (t *engineTarget) cancel(s *engineStream) {
	t.forget(s)
	t.engine.Cancel(s.name)
	for _, e := range s.members {
		e.Cancel(s.name)
	}
}

// deliver hands an input to the host that dispatched; during a cut it waits, as bytes on a connection do.
func (t *engineTarget) deliver(w *virtual.World, s *engineStream, in node.Input) {
	if t.run.cut(t.run.zoneOf(s.from), t.zone) {
		w.After(recheck, func() { t.deliver(w, s, in) })
		return
	}
	w.After(hopTime, func() { s.post(in) })
}

func (t *engineTarget) forget(s *engineStream) {
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
	if t.run.cut(t.run.zoneOf(from), t.zone) {
		w.After(recheck, func() { t.Abort(w, from, abort) })
		return
	}
	t.cancel(s)
	s.end.Ending = node.EndedLost
	w.After(hopTime, func() { s.post(s.end) })
}

// hostDied ends the streams whose connection broke.
func (t *engineTarget) hostDied(h *virtual.Host) {
	for _, s := range slices.Clone(t.streams) {
		if s.from == h {
			t.cancel(s)
		}
	}
}

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

// report publishes the load at every interval; it arrives late.
func (t *engineTarget) report(w *virtual.World) {
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
		t.report(w)
	})
}

func (t *engineTarget) broadcast(w *virtual.World, lag time.Duration, in node.Input) {
	for _, h := range w.Hosts() {
		if !t.run.cut(t.run.zoneOf(h), t.zone) {
			w.After(lag, func() { h.Post(in) })
		}
	}
}

// serviceTarget is a plain service that takes a fixed time.
type serviceTarget struct {
	run     *run
	address string
	zone    string
}

// Start implements virtual.Target.
func (t *serviceTarget) Start(w *virtual.World, from *virtual.Host, order node.StartDispatch) {
	t.run.dispatched(order)
	end := node.DispatchEnded{Key: order.Key, Dispatch: order.Dispatch, Target: t.address}
	post := from.Poster()
	if t.run.cut(t.run.zoneOf(from), t.zone) {
		end.Ending = node.EndedNotWritten
		w.After(dialTime, func() { post(end) })
		return
	}
	t.run.arrived(order.Key)
	w.After(serverTime, func() {
		t.run.firstToken(order)
		post(node.DispatchFirstToken{Key: order.Key, Dispatch: order.Dispatch})
		post(end)
	})
}

// Abort implements virtual.Target; a call that has arrived runs to its end.
func (t *serviceTarget) Abort(*virtual.World, *virtual.Host, node.AbortDispatch) {}
