package lint

import (
	"fmt"
	"strings"

	"carobshunt/internal/document"
)

// The codes of the rules.
const (
	CodeBudgetBelowObjective  Code = "budget-below-objective"
	CodeBudgetsFall           Code = "budgets-fall"
	CodeRouteShadowed         Code = "route-shadowed"
	CodeRouteUnmatchable      Code = "route-unmatchable"
	CodeRouteNameTwice        Code = "route-name-twice"
	CodeWeightsZero           Code = "weights-zero"
	CodeTimeoutBelowObjective Code = "timeout-below-objective"
	CodeGapOverTimeout        Code = "gap-over-timeout"
	CodeStreamOnly            Code = "stream-only"
	CodeServiceTwice          Code = "service-twice"
	CodeServiceUnreachable    Code = "service-unreachable"
	CodeServiceWithoutShare   Code = "service-without-share"
	CodeSlotsOverMemory       Code = "slots-over-memory"
	CodeColdLimit             Code = "cold-limit"
	CodeRegionsEmpty          Code = "regions-empty"
	CodeTeamRegionsEmpty      Code = "team-regions-empty"
	CodeBodyBelowPrompt       Code = "body-below-prompt"
	CodeTeamLimitZero         Code = "team-limit-zero"
	CodeTeamUnreachable       Code = "team-unreachable"
	CodeKeysUnused            Code = "keys-unused"
	CodeBearerShared          Code = "bearer-shared"
	CodeKeyForm               Code = "key-form"
	CodeKeyShared             Code = "key-shared"
	CodeKeyRepeated           Code = "key-repeated"
	CodeEngineTwice           Code = "engine-twice"
)

// rules is the table of rules. The order within a scope is the order of an entry's findings.
var rules = []rule{
	{CodeBudgetBelowObjective, SeverityError, scopePreset, budgetBelowObjective, "Raise the time budget or lower the objective."},
	{CodeBudgetsFall, SeverityWarning, scopePreset, budgetsFall, "Give longer prompts at least the time of shorter ones."},
	{CodeRouteShadowed, SeverityError, scopeRoute, routeShadowed, "Remove one of the two, or change its prefix."},
	{CodeRouteUnmatchable, SeverityWarning, scopeRoute, routeUnmatchable, "Write only what requests carry there."},
	{CodeRouteNameTwice, SeverityWarning, scopeRoute, routeNameTwice, "Give each route a name of its own."},
	{CodeWeightsZero, SeverityError, scopeRoute, weightsZero, "Give at least one service a weight above 0."},
	{CodeTimeoutBelowObjective, SeverityError, scopeRoute, timeoutBelowObjective, "Raise the timeout or lower the objective."},
	{CodeGapOverTimeout, SeverityWarning, scopeRoute, gapOverTimeout, "Lower the objective for gaps or raise the timeout."},
	{CodeStreamOnly, SeverityNote, scopeRoute, streamOnly, "Remove the field, or make the route a stream."},
	{CodeRegionsEmpty, SeverityError, scopeRoute, regionsEmpty, "Name a region, or remove the field."},
	{CodeServiceTwice, SeverityError, scopeService, serviceTwice, "Remove one of the two, or rename it."},
	{CodeServiceUnreachable, SeverityWarning, scopeService, serviceUnreachable, "Name it on a route, or remove it."},
	{CodeServiceWithoutShare, SeverityNote, scopeService, serviceWithoutShare, "Raise its weight when it is to take requests."},
	{CodeSlotsOverMemory, SeverityWarning, scopeService, slotsOverMemory, "Correct the slots or the memory to what one engine has."},
	{CodeColdLimit, SeverityWarning, scopeService, coldLimit, "Set both the requests a second and the time, or neither."},
	{CodeBodyBelowPrompt, SeverityWarning, scopeService, bodyBelowPrompt, "Raise the limit of a request's body."},
	{CodeTeamLimitZero, SeverityError, scopeTeam, teamLimitZero, "Set a limit above 0, or remove the team."},
	{CodeTeamRegionsEmpty, SeverityError, scopeTeam, teamRegionsEmpty, "Name a region, or remove the field."},
	{CodeTeamUnreachable, SeverityWarning, scopeTeam, teamUnreachable, "Give the team a key, or remove it."},
	{CodeKeysUnused, SeverityWarning, scopeTeam, keysUnused, "Make the routes that need a key not public, or remove the keys."},
	{CodeBearerShared, SeverityWarning, scopeTeam, bearerShared, "Give each team a key of its own."},
	{CodeKeyForm, SeverityError, scopeKey, keyForm, "Write the SHA-256 of the key in 64 lower-case hexadecimal digits."},
	{CodeKeyShared, SeverityError, scopeKey, keyShared, "Remove the key from one of the teams."},
	{CodeKeyRepeated, SeverityNote, scopeKey, keyRepeated, "Remove one of the two."},
	{CodeEngineTwice, SeverityWarning, scopeEngine, engineTwice, "Remove one of the two."},
}

func budgetBelowObjective(_ *index, e entry) (string, string) {
	if e.preset.Budgets.ShortMs >= e.preset.FirstTokenTargetMs {
		return "", ""
	}
	return "/budgets/short_ms", fmt.Sprintf("Short prompts have %d ms in all, less than the %d ms in which their first token is wanted.",
		e.preset.Budgets.ShortMs, e.preset.FirstTokenTargetMs)
}

func budgetsFall(_ *index, e entry) (string, string) {
	b := e.preset.Budgets
	switch {
	case b.MiddleMs < b.ShortMs:
		return "/budgets/middle_ms", "Middle prompts have less time than short ones."
	case b.LongMs < b.MiddleMs:
		return "/budgets/long_ms", "Long prompts have less time than middle ones."
	}
	return "", ""
}

func routeShadowed(x *index, e entry) (string, string) {
	first := x.routes[keyOf(e.route)]
	if first == e.i {
		return "", ""
	}
	return "/prefix", fmt.Sprintf("Route %q can never match: route %q, entry %d, has the same authority and prefix.",
		e.route.Name, x.doc.Routes[first].Name, first)
}

// routeUnmatchable finds authorities and prefixes with characters that the ones of a request never have.
func routeUnmatchable(_ *index, e entry) (string, string) {
	switch {
	case strings.ContainsAny(e.route.Authority, " \t\r\n/?#@"):
		return "/authority", fmt.Sprintf("Route %q can never match: no request carries the authority %q.", e.route.Name, e.route.Authority)
	case strings.ContainsAny(e.route.Prefix, " \t\r\n?#"):
		return "/prefix", fmt.Sprintf("Route %q can never match: no path begins with %q.", e.route.Name, e.route.Prefix)
	}
	return "", ""
}

func routeNameTwice(x *index, e entry) (string, string) {
	first := x.routeNames[e.route.Name]
	if first == e.i {
		return "", ""
	}
	return "/name", fmt.Sprintf("Entry %d is named %q too, so logs can't tell the two routes apart.", first, e.route.Name)
}

// weightsZero leaves out routes with one service, which gets all requests with any weight.
func weightsZero(x *index, e entry) (string, string) {
	if len(e.route.Services) < 2 || x.weights[e.i] > 0 {
		return "", ""
	}
	return "/services", fmt.Sprintf("The weights of route %q sum to 0, so its first service %q gets all requests.",
		e.route.Name, e.route.Services[0].Name)
}

func timeoutBelowObjective(_ *index, e entry) (string, string) {
	if e.route.TimeoutMs >= e.route.FirstTokenTargetMs {
		return "", ""
	}
	return "/timeout_ms", fmt.Sprintf("The timeout of route %q, %d ms, is below its latency objective, %d ms.",
		e.route.Name, e.route.TimeoutMs, e.route.FirstTokenTargetMs)
}

func gapOverTimeout(_ *index, e entry) (string, string) {
	if e.route.Kind != document.KindStream || e.route.GapTargetMs <= e.route.TimeoutMs {
		return "", ""
	}
	return "/pause_target_ms", fmt.Sprintf("The objective of route %q for gaps between events, %d ms, is above its timeout, %d ms.",
		e.route.Name, e.route.GapTargetMs, e.route.TimeoutMs)
}

func streamOnly(_ *index, e entry) (string, string) {
	switch {
	case e.route.Kind == document.KindStream:
	case e.route.Resumable:
		return "/resumable", fmt.Sprintf("Route %q is no stream, so that it is resumable has no effect.", e.route.Name)
	case e.route.GapTargetMs > 0:
		return "/pause_target_ms", fmt.Sprintf("Route %q is no stream, so an objective for gaps between events has no effect.", e.route.Name)
	}
	return "", ""
}

func serviceTwice(x *index, e entry) (string, string) {
	first := x.services[e.service.Name]
	if first == e.i {
		return "", ""
	}
	return "/name", fmt.Sprintf("Service %q is defined by entry %d already, which alone counts.", e.service.Name, first)
}

func serviceUnreachable(x *index, e entry) (string, string) {
	if x.named[e.service.Name] {
		return "", ""
	}
	return "", fmt.Sprintf("No route names service %q, so it gets no requests.", e.service.Name)
}

func serviceWithoutShare(x *index, e entry) (string, string) {
	if !x.named[e.service.Name] || x.weighted[e.service.Name] {
		return "", ""
	}
	return "", fmt.Sprintf("Service %q has weight 0 on every route that names it.", e.service.Name)
}

// slotsOverMemory assumes that each slot takes a prompt that one step can prefill.
func slotsOverMemory(_ *index, e entry) (string, string) {
	engine := e.service.Engine
	if engine == nil || engine.Slots <= 0 || engine.MemoryTokens/engine.Slots >= engine.ChunkTokens {
		return "", ""
	}
	return "/engine/slots", fmt.Sprintf("The %d slots of an engine of service %q share memory for %d tokens, less than %d tokens each.",
		engine.Slots, e.service.Name, engine.MemoryTokens, engine.ChunkTokens)
}

// coldLimit finds a limit for targets that have just started without the time for which it holds, and the other way round.
func coldLimit(_ *index, e entry) (string, string) {
	switch {
	case e.service.ColdPerSecond > 0 && e.service.ColdMs == 0:
		return "/cold_ms", fmt.Sprintf("Cold targets of service %q take %g requests a second, but no target is ever cold by its time of 0 ms.",
			e.service.Name, e.service.ColdPerSecond)
	case e.service.ColdPerSecond == 0 && e.service.ColdMs > 0:
		return "/cold_per_s", fmt.Sprintf("Targets of service %q are cold for %d ms, but without a limit get as many requests as others.",
			e.service.Name, e.service.ColdMs)
	}
	return "", ""
}

func regionsEmpty(_ *index, e entry) (string, string) {
	if e.route.Regions == nil || len(e.route.Regions) > 0 {
		return "", ""
	}
	return "/regions", fmt.Sprintf("Route %q allows no region, so its requests are refused.", e.route.Name)
}

func teamRegionsEmpty(_ *index, e entry) (string, string) {
	if e.team.Regions == nil || len(e.team.Regions) > 0 {
		return "", ""
	}
	return "/regions", fmt.Sprintf("Team %q allows no region, so its requests are refused.", e.team.Name)
}

// bytesPerToken is the least that a token takes in a body.
const bytesPerToken = 1

func bodyBelowPrompt(x *index, e entry) (string, string) {
	engine, callers := e.service.Engine, x.doc.Callers
	if engine == nil || callers == nil || !x.named[e.service.Name] || callers.BodyBytes/bytesPerToken >= engine.MemoryTokens {
		return "", ""
	}
	return "#/callers/body_bytes", fmt.Sprintf(
		"A body may have %d bytes, fewer than a prompt of %d tokens needs, which an engine of service %q has memory for.",
		callers.BodyBytes, engine.MemoryTokens, e.service.Name)
}

func teamLimitZero(_ *index, e entry) (string, string) {
	if e.team.Unmetered || e.team.TokensPerSecond > 0 {
		return "", ""
	}
	return "/tokens_per_second", fmt.Sprintf("Team %q may submit nothing: its limit is %d tokens a second.",
		e.team.Name, e.team.TokensPerSecond)
}

// teamUnreachable looks at documents that serve only routes and need keys: a request is of a team there by its key alone.
func teamUnreachable(x *index, e entry) (string, string) {
	if len(x.doc.Routes) == 0 || len(x.doc.Placements) > 0 || !x.doc.NeedsKeys() ||
		len(e.team.KeysSHA256) > 0 || e.team.KeySHA256 != "" {
		return "", ""
	}
	return "", fmt.Sprintf("No request is of team %q, as it has no key.", e.team.Name)
}

func keysUnused(x *index, e entry) (string, string) {
	if x.protected || len(e.team.KeysSHA256) == 0 {
		return "", ""
	}
	return "/keys_sha256", fmt.Sprintf("No route asks for the keys of team %q: there is no route that is not public.", e.team.Name)
}

func bearerShared(x *index, e entry) (string, string) {
	first := x.bearers[e.team.KeySHA256]
	if e.team.KeySHA256 == "" || first == e.i {
		return "", ""
	}
	return "/key_sha256", fmt.Sprintf("Teams %q and %q have the same bearer key.", x.doc.Teams[first].Name, e.team.Name)
}

func keyForm(_ *index, e entry) (string, string) {
	if isDigest(e.team.KeysSHA256[e.j]) {
		return "", ""
	}
	return "", fmt.Sprintf("Key %d of team %q can never match: it is not a SHA-256 digest.", e.j, e.team.Name)
}

// isDigest reports whether a text has the form in which keys are compared.
func isDigest(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

func keyShared(x *index, e entry) (string, string) {
	first := x.keys[e.team.KeysSHA256[e.j]]
	if first.entry == e.i {
		return "", ""
	}
	return "", fmt.Sprintf("Key %d of team %q is key %d of team %q too; its requests count on only one of the two.",
		e.j, e.team.Name, first.item, x.doc.Teams[first.entry].Name)
}

func keyRepeated(x *index, e entry) (string, string) {
	first := x.keys[e.team.KeysSHA256[e.j]]
	if first.entry != e.i || first.item == e.j {
		return "", ""
	}
	return "", fmt.Sprintf("Key %d of team %q is its key %d too.", e.j, e.team.Name, first.item)
}

func engineTwice(x *index, e entry) (string, string) {
	engine := e.placement.Engines[e.j]
	first := x.engines[placed{model: e.placement.Model, engine: engine}]
	if first == (position{entry: e.i, item: e.j}) {
		return "", ""
	}
	return "", fmt.Sprintf("Engine %q stands already in placement %d for model %q.", engine, first.entry, e.placement.Model)
}
