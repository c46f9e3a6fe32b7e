package fake

import "carobshunt/internal/core"

// callID returns "team/identifier" of the request that a stream's name refers to. A name of another form is returned as it
// is.
func callID(name string) string {
	s, err := core.ParseStream(name)
	if err != nil {
		return name
	}
	return s.Key.Team + "/" + s.Key.ID
}
