package stream_test

import (
	"testing"

	"carobshunt/internal/httpwire"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// event returns an event with a number.
func event(id int64) httpwire.Event {
	return httpwire.Event{ID: id, HasID: true, Data: []byte{byte(id)}}
}

// pass passes on what a part lets pass, and returns the first error and the numbers that were passed on.
func pass(p *stream.Part, events ...httpwire.Event) ([]int64, error) {
	var numbers []int64
	for _, e := range events {
		skip, err := p.Check(&e)
		if err != nil {
			return numbers, err
		}
		if !skip {
			p.PassedOn(&e)
			numbers = append(numbers, e.ID)
		}
	}
	return numbers, nil
}

// TestResumedPartFollowsTheOneBefore guards against a stream in which an event is missing, comes twice or is of another run, since
// the next dispatch does not go on where the one before broke off.
func TestResumedPartFollowsTheOneBefore(t *testing.T) {
	for name, c := range map[string]struct {
		first, next []httpwire.Event
		numbers     []int64
		err         error
	}{
		"the next event":                 {[]httpwire.Event{event(1), event(2)}, []httpwire.Event{event(3)}, []int64{3}, nil},
		"the last event once more":       {[]httpwire.Event{event(1), event(2)}, []httpwire.Event{event(2), event(3)}, []int64{3}, nil},
		"numbers that need not be next":  {[]httpwire.Event{event(1), event(5)}, []httpwire.Event{event(9)}, []int64{9}, nil},
		"an event is missing":            {[]httpwire.Event{event(1), event(2)}, []httpwire.Event{event(4)}, nil, stream.ErrEventsMissing},
		"from the start":                 {[]httpwire.Event{event(1), event(2)}, []httpwire.Event{event(1)}, nil, stream.ErrOutOfOrder},
		"the number of the last, not it": {[]httpwire.Event{event(2)}, []httpwire.Event{{ID: 2, HasID: true}}, nil, stream.ErrOutOfOrder},
		"without a number":               {[]httpwire.Event{event(1)}, []httpwire.Event{{Data: []byte("x")}}, nil, stream.ErrUnnumbered},
	} {
		t.Run(name, func(t *testing.T) {
			s := stream.NewSequence(true)
			_, err := pass(s.NewPart(), c.first...)
			assert.NilError(t, err)
			numbers, err := pass(s.NewPart(), c.next...)
			assert.Assert(t, errors.Is(err, c.err) || err == nil && c.err == nil, "%v", err)
			assert.DeepEqual(t, numbers, c.numbers)
		})
	}
}

// TestEndIsOneOnlyIfNothingIsDue guards against a stream that ends as complete although an event had begun.
func TestEndIsOneOnlyIfNothingIsDue(t *testing.T) {
	s := stream.NewSequence(true)
	first := s.NewPart()
	_, err := pass(first, event(1))
	assert.NilError(t, err)
	first.BrokeOff(httpwire.ErrTruncatedEvent, false)
	assert.Assert(t, errors.Is(s.NewPart().End(), stream.ErrEventsMissing))
	assert.Assert(t, !s.Ended() && s.Resumable())
	rest := s.NewPart()
	_, err = pass(rest, event(2))
	assert.NilError(t, err)
	assert.NilError(t, rest.End())
	assert.Assert(t, s.Ended())
}
