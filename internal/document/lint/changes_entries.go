package lint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"carobshunt/internal/document"
)

// teamIndexes returns the index of each team by name.
func teamIndexes(doc *document.Document) map[string]int {
	out := make(map[string]int, len(doc.Teams))
	for i := range doc.Teams {
		first(out, doc.Teams[i].Name, i)
	}
	return out
}

// keysPath returns the path of a team's keys; that of the teams for one that is gone.
func (c *comparison) keysPath(team string) string {
	if i, ok := c.newTeams[team]; ok {
		return at("/teams", i) + "/keys_sha256"
	}
	return "/teams"
}

func (c *comparison) teams() {
	for i := range c.to.Teams {
		t := &c.to.Teams[i]
		j, ok := c.oldTeams[t.Name]
		switch {
		case c.newTeams[t.Name] != i:
		case ok:
			c.team(at("/teams", i), &c.from.Teams[j], t)
		default:
			c.add(CodeTeamAdded, at("/teams", i), "Team %q is new.", t.Name)
		}
	}
	for _, t := range c.from.Teams {
		if _, ok := c.newTeams[t.Name]; !ok {
			c.add(CodeTeamRemoved, "/teams", "Team %q is gone, and its requests are refused.", t.Name)
		}
	}
}

func (c *comparison) team(path string, old, t *document.Team) {
	switch {
	case old.KeySHA256 == t.KeySHA256:
	case old.KeySHA256 == "":
		c.add(CodeKeyRequired, path+"/key_sha256", "Requests of team %q need a bearer key from now on.", t.Name)
	case t.KeySHA256 == "":
		c.add(CodeKeyNotRequired, path, "Requests of team %q need no bearer key any more.", t.Name)
	default:
		c.add(CodeKeyRemoved, path+"/key_sha256", "Requests of team %q with its bearer key are refused, as it has a new one.", t.Name)
	}
	metered := old.Unmetered && !t.Unmetered
	if metered {
		c.add(CodeLimitLowered, path+"/unmetered", "Team %q has a limit on routes from now on, of %d tokens a second.", t.Name, t.TokensPerSecond)
	}
	lowered := t.TokensPerSecond < old.TokensPerSecond
	if lowered {
		c.add(CodeLimitLowered, path+"/tokens_per_second", "Team %q may submit %d tokens a second instead of %d.",
			t.Name, t.TokensPerSecond, old.TokensPerSecond)
	}
	c.values(path, fmt.Sprintf("team %q", t.Name), old, t, func(field string) bool {
		return field == "key_sha256" || field == "keys_sha256" || field == "unmetered" && metered ||
			field == "tokens_per_second" && lowered
	})
}

func (c *comparison) services() {
	before := make(map[string]*document.Service, len(c.from.Services))
	for i := range c.from.Services {
		first(before, c.from.Services[i].Name, &c.from.Services[i])
	}
	now := make(map[string]bool, len(c.to.Services))
	for i := range c.to.Services {
		s := &c.to.Services[i]
		old, ok := before[s.Name]
		switch {
		case now[s.Name]:
		case ok:
			c.values(at("/services", i), fmt.Sprintf("service %q", s.Name), old, s, skipNone)
		default:
			c.add(CodeServiceAdded, at("/services", i), "Service %q is new.", s.Name)
		}
		now[s.Name] = true
	}
	for _, s := range c.from.Services {
		if !now[s.Name] {
			c.add(CodeServiceRemoved, "/services", "Service %q is gone.", s.Name)
		}
	}
}

// models compares the placements. A model is served as long as one version of it is placed.
func (c *comparison) models() {
	type version struct{ model, version string }
	engines := func(doc *document.Document) (map[version][]string, map[string]bool) {
		placed, models := make(map[version][]string), make(map[string]bool)
		for _, p := range doc.Placements {
			key := version{p.Model, p.Version}
			placed[key] = append(placed[key], p.Engines...)
			models[p.Model] = true
		}
		return placed, models
	}
	before, oldModels := engines(c.from)
	now, newModels := engines(c.to)
	for _, model := range slices.Sorted(maps.Keys(oldModels)) {
		if !newModels[model] {
			c.add(CodeModelRemoved, "/placements", "Model %q is placed on no engine any more, and requests for it are refused.", model)
		}
	}
	done := make(map[version]bool)
	for i, p := range c.to.Placements {
		key := version{p.Model, p.Version}
		old, ok := before[key]
		path := at("/placements", i)
		switch {
		case done[key]:
		case !oldModels[p.Model]:
			c.add(CodeModelAdded, path, "Model %q is new.", p.Model)
		case !ok:
			c.add(CodeValueChanged, path, "Version %q of model %q is placed on %d engines; it was on none.", p.Version, p.Model, len(now[key]))
		case !slices.Equal(old, now[key]):
			c.add(CodeValueChanged, path+"/engines", "Version %q of model %q is placed on %d engines, some of them other than the %d before.",
				p.Version, p.Model, len(now[key]), len(old))
		}
		done[key] = true
	}
	for _, p := range c.from.Placements {
		key := version{p.Model, p.Version}
		if newModels[p.Model] && !done[key] {
			c.add(CodeValueChanged, "/placements", "Version %q of model %q is placed on no engine any more.", p.Version, p.Model)
			done[key] = true
		}
	}
}

// presets compares which preset is in force and its values, and then the other presets.
func (c *comparison) presets() {
	before, now := c.from.Preset(), c.to.Preset()
	if c.from.Active != c.to.Active {
		c.add(CodePresetSwitched, "/active", "Preset %q is in force instead of %q.", c.to.Active, c.from.Active)
	}
	active, what := "/presets/"+escape(c.to.Active), fmt.Sprintf("the preset in force, %q", c.to.Active)
	lowered := make(map[string]bool)
	for _, b := range []struct {
		field, class string
		old, now     int64
	}{
		{"short_ms", "Short", before.Budgets.ShortMs, now.Budgets.ShortMs},
		{"middle_ms", "Middle", before.Budgets.MiddleMs, now.Budgets.MiddleMs},
		{"long_ms", "Long", before.Budgets.LongMs, now.Budgets.LongMs},
	} {
		if lowered[b.field] = b.now < b.old; lowered[b.field] {
			c.add(CodeLimitLowered, active+"/budgets/"+b.field, "%s prompts have a default time budget of %d ms instead of %d ms.",
				b.class, b.now, b.old)
		}
	}
	c.values(active+"/budgets", what, &before.Budgets, &now.Budgets, func(field string) bool { return lowered[field] })
	c.values(active, what, &before, &now, func(field string) bool { return field == "budgets" })
	c.otherPresets()
}

// otherPresets compares the presets that would not be in force.
func (c *comparison) otherPresets() {
	for _, name := range slices.Sorted(maps.Keys(c.to.Presets)) {
		preset := c.to.Presets[name]
		old, ok := c.from.Presets[name]
		path := "/presets/" + escape(name)
		switch {
		case name == c.to.Active:
		case ok:
			c.values(path, fmt.Sprintf("preset %q", name), &old, &preset, skipNone)
		default:
			c.add(CodeValueChanged, path, "Preset %q is new.", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.from.Presets)) {
		if _, ok := c.to.Presets[name]; !ok {
			c.add(CodeValueChanged, "/presets", "Preset %q is gone.", name)
		}
	}
}

func (c *comparison) callers() {
	var before, now document.CallerLimits
	if c.from.Callers != nil {
		before = *c.from.Callers
	}
	if c.to.Callers != nil {
		now = *c.to.Callers
	}
	// A document without limits leaves the body to the daemon's own limit.
	lowered := now.BodyBytes != 0 && (now.BodyBytes < before.BodyBytes || before.BodyBytes == 0)
	if lowered {
		c.add(CodeLimitLowered, "/callers/body_bytes", "The body of a request on a route may have %d bytes; %s before.",
			now.BodyBytes, bytesOrUnset(before.BodyBytes))
	}
	c.values("/callers", "the limits of callers", &before, &now, func(field string) bool {
		return field == "body_bytes" && lowered
	})
}

func bytesOrUnset(n int64) string {
	if n == 0 {
		return "the document did not say"
	}
	return fmt.Sprintf("it was %d", n)
}

// skipNone skips no field.
func skipNone(string) bool { return false }

// values adds a difference for each field of an entry that differs, except those that skip reports. Fields of a field that is
// an object are compared one by one.
func (c *comparison) values(path, what string, old, now any, skip func(field string) bool) {
	if !reflect.DeepEqual(old, now) {
		c.fields(path, what, fieldsOf(old), fieldsOf(now), skip)
	}
}

func (c *comparison) fields(path, what string, old, now map[string]json.RawMessage, skip func(field string) bool) {
	names := maps.Clone(old)
	maps.Copy(names, now)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		if skip(field) || bytes.Equal(old[field], now[field]) {
			continue
		}
		var before, after map[string]json.RawMessage
		if json.Unmarshal(old[field], &before) == nil && json.Unmarshal(now[field], &after) == nil {
			c.fields(path+"/"+field, what, before, after, skipNone)
			continue
		}
		c.add(CodeValueChanged, path+"/"+field, "This value of %s is %s instead of %s.", what, shown(now[field]), shown(old[field]))
	}
}

// fieldsOf returns the JSON of each field of an entry. It panics on a value that can't be marshaled, which no type of a
// document is.
func fieldsOf(entry any) map[string]json.RawMessage {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		panic(err)
	}
	return fields
}

// maxShown is the number of bytes up to which a value is shown whole.
const maxShown = 200

func shown(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return strings.ToValidUTF8(string(value[:min(len(value), maxShown)]), "") + map[bool]string{true: "..."}[len(value) > maxShown]
}
