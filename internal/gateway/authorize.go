package gateway

import (
	"net/http"

	"carobshunt/api"
	"carobshunt/internal/secure"

	"github.com/labstack/echo/v4"
)

// refusalKey is the context key under which writeError stores the error code for countRefusals.
const refusalKey = "refusal"

// countRefusals counts the requests that this process answers with an error. Those that match no route are counted by
// handleRouteError.
func (g *Gateway) countRefusals(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if code, ok := c.Get(refusalKey).(api.Code); ok {
			g.observer.Refused(code)
		}
		return err
	}
}

// authorize refuses a request of a team that has a published key unless the request carries that key. It runs before the
// request is parsed or decided on, so a refused submit did not run. Teams without a published key are authenticated by
// certificate or not at all; so are lookups, which disclose only addresses.
func (g *Gateway) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Request().Header
		if name := header.Get(api.HeaderTeam); name == "" || g.keyMatches(name, secure.BearerKey(header)) {
			return next(c)
		}
		e := &api.Error{
			Request: header.Get(api.HeaderRequest),
			Outcome: api.OutcomeNotRun,
			Code:    api.CodeUnauthorized,
			Message: "the key is not the team's",
		}
		if c.Request().Method != http.MethodPost {
			e = withUnknownOutcome(e)
		}
		return writeError(c, e)
	}
}

// keyMatches reports whether key is the key of the named team, or the team has no published key.
func (g *Gateway) keyMatches(name, key string) bool {
	doc := g.control.Snapshot().Document
	if doc == nil {
		return true // without a configuration nothing is admitted
	}
	team, ok := doc.Team(name)
	if !ok || team.KeySHA256 == "" {
		return true
	}
	digest, ok := secure.ParseDigest(team.KeySHA256)
	return ok && digest.Matches(key)
}
