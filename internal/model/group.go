package model

import "fmt"

// StartGroup runs one stream on several engines together: each member prefills and holds its share, enlarged by what
// a group loses, and the first member writes the answer while all shares are prefilled. Every part carries the
// stream's name; cancelling it on all members ends the group. With a reservation's name, every part runs on the memory
// that its engine holds under it. It reports false, with nothing started, when a share can never fit or is not held.
func StartGroup(members []*Engine, spec Spec, reservation string, listener Listener) bool {
	share := groupShare(members[0].params, spec, len(members))
	for _, e := range members {
		if e.dead || share.PromptTokens+share.AnswerTokens > e.params.MemoryTokens {
			return false
		}
		if reservation != "" && !e.holds(reservation) {
			return false
		}
	}
	g := &group{members: members}
	ended := listener.Ended
	listener.Ended = func() {
		g.cancelRest(spec.Name)
		if ended != nil {
			ended()
		}
	}
	for i := range members {
		part := &stream{spec: share, group: g}
		if i == 0 {
			part.listener = listener
		}
		if part.spec.Prefix != "" {
			part.spec.Prefix = fmt.Sprintf("%s/%d-of-%d", spec.Prefix, i+1, len(members))
		}
		g.parts = append(g.parts, part)
	}
	for i, e := range members {
		if reservation == "" || !e.adopt(g.parts[i], reservation) {
			e.add(g.parts[i])
		}
	}
	return true
}

// groupShare is the part of a stream that one member holds.
func groupShare(p Params, spec Spec, members int) Spec {
	spec.Scale = float64(members) * p.GroupEfficiency
	spec.PromptTokens = int64(float64(spec.PromptTokens) / spec.Scale)
	spec.PrefixTokens = int64(float64(spec.PrefixTokens) / spec.Scale)
	return spec
}

// group joins the parts of one stream; the first part writes the answer.
type group struct {
	members []*Engine
	parts   []*stream
}

// ready tells whether all parts are prefilled and hold their memory.
func (g *group) ready() bool {
	for _, part := range g.parts {
		if !part.prefilled() {
			return false
		}
	}
	return true
}

func (g *group) cancelRest(name string) {
	for _, e := range g.members[1:] {
		e.Cancel(name)
	}
}

// prefilled tells whether the stream's whole prompt is in memory.
func (s *stream) prefilled() bool { return s.resident && s.position == s.spec.PromptTokens }

// waitsForGroup tells whether a part has nothing to do: its share is prefilled and the answer is not its to write,
// or not yet.
func (s *stream) waitsForGroup() bool {
	return s.group != nil && s.prefilled() && (s != s.group.parts[0] || !s.group.ready())
}
