package gateway

import (
	"net/http"

	"carobshunt/api"
	"carobshunt/internal/secure"

	"github.com/labstack/echo/v4"
)

// refusalKey is where writeError leaves the code for countRefusals.
const refusalKey = "refusal"

// countRefusals counts every request that was answered with an error.
func (g *Gateway) countRefusals(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if code, ok := c.Get(refusalKey).(api.Code); ok {
			g.observer.Refused(code)
		}
		return err
	}
}

// authorize lets a request of a team that has a published key pass only with that key. It comes before the request
// is parsed or decided on, so what it refuses did not run. Teams without a published key are told apart by
// certificate, or not at all; so is a look-up, which names no more than addresses.
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
			e = untold(e)
		}
		return writeError(c, e)
	}
}

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
