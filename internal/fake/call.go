package fake

import "carobshunt/internal/core"

// callOf is the team and identifier in a stream's name.
func callOf(name string) string {
	s, err := core.ParseStream(name)
	if err != nil {
		return name
	}
	return s.Key.Team + "/" + s.Key.ID
}
