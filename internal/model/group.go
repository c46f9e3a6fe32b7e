package model

import "fmt"

// StartGroup runs one stream on several engines together: each member prefills and holds its share, enlarged by the
// efficiency loss of groups, and the first member generates the answer as long as all shares are prefilled. Every part
// has the stream's name; canceling it on all members ends the group. With the name of a reservation, every part runs
// on the memory that its engine holds for it. StartGroup reports false, with nothing started, when a member is dead, a
// share exceeds a member's memory, or a reservation is not held.
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
		g.cancelOthers(spec.Name)
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
		if reservation == "" || !e.startReserved(g.parts[i], reservation) {
			e.add(g.parts[i])
		}
	}
	return true
}

// groupShare returns the part of a stream that one member prefills and holds.
func groupShare(p Params, spec Spec, members int) Spec {
	spec.Stride = float64(members) * p.GroupEfficiency
	spec.PromptTokens = int64(float64(spec.PromptTokens) / spec.Stride)
	spec.PrefixTokens = int64(float64(spec.PrefixTokens) / spec.Stride)
	return spec
}

// group joins the parts of one stream; the first part generates the answer.
type group struct {
	members []*Engine
	parts   []*stream
}

// ready reports whether all parts are prefilled and hold their memory.
func (g *group) ready() bool {
	for _, part := range g.parts {
		if !part.prefilled() {
			return false
		}
	}
	return true
}

func (g *group) cancelOthers(name string) {
	for _, e := range g.members[1:] {
		e.Cancel(name)
	}
}

// prefilled reports whether the stream's whole prompt is in memory.
func (s *stream) prefilled() bool { return s.resident && s.position == s.spec.PromptTokens }

// waitsForGroup reports whether a part is idle: its share is prefilled, and another part generates the answer or is
// not prefilled yet.
func (s *stream) waitsForGroup() bool {
	return s.group != nil && s.prefilled() && (s != s.group.parts[0] || !s.group.ready())
}
