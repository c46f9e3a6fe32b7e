package document

import (
	"fmt"
	"sync"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

var schema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustReflect(&Document{}) })

// Parse decodes a document. If it does not match the schema or contradicts itself, its error wraps a
// *strictjson.Faults that lists every fault with its path.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	if err := schema().Decode(data, doc, func() []strictjson.Fault { return semanticFaults(doc) }); err != nil {
		return nil, errors.Trace(err)
	}
	return doc, nil
}

// semanticFaults returns the faults of a decoded document that the schema does not cover.
func semanticFaults(doc *Document) []strictjson.Fault {
	var faults []strictjson.Fault
	add := func(path, format string, args ...any) {
		faults = append(faults, strictjson.Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	if _, ok := doc.Presets[doc.Active]; !ok {
		add("/active", "no preset is named %q", doc.Active)
	}
	for name, p := range doc.Presets {
		faults = append(faults, p.Faults("/presets/"+name)...)
	}
	seen := make(map[string]int)
	for i, t := range doc.Teams {
		if first, dup := seen[t.Name]; dup {
			add(fmt.Sprintf("/teams/%d/name", i), "team %q stands already at /teams/%d", t.Name, first)
		}
		seen[t.Name] = i
	}
	faults = append(faults, regionFaults(doc)...)
	faults = append(faults, routeFaults(doc)...)
	for i, p := range doc.Placements {
		for j, engine := range p.Engines {
			faults = append(faults, strictjson.AddressFaults(fmt.Sprintf("/placements/%d/engines/%d", i, j), engine)...)
		}
	}
	return faults
}

// Faults returns the faults of a preset at path that the schema does not cover.
func (p *Preset) Faults(path string) []strictjson.Fault {
	if p.MiddlePromptTokens > p.ShortPromptTokens {
		return nil
	}
	return []strictjson.Fault{{Path: path + "/middle_prompt_tokens", Reason: "must be above short_prompt_tokens"}}
}

// regionFaults returns a fault for each empty name in a list of regions.
func regionFaults(doc *Document) []strictjson.Fault {
	var faults []strictjson.Fault
	check := func(kind string, index int, regions []string) {
		for i, region := range regions {
			if region == "" {
				path := fmt.Sprintf("/%s/%d/regions/%d", kind, index, i)
				faults = append(faults, strictjson.Fault{Path: path, Reason: "must name a region"})
			}
		}
	}
	for i := range doc.Teams {
		check("teams", i, doc.Teams[i].Regions)
	}
	for i := range doc.Routes {
		check("routes", i, doc.Routes[i].Regions)
	}
	return faults
}

// routeFaults returns a fault for each route that repeats an authority and prefix, and for each service of a
// route that is not defined.
func routeFaults(doc *Document) []strictjson.Fault {
	var faults []strictjson.Fault
	services := make(map[string]bool, len(doc.Services))
	for _, s := range doc.Services {
		services[s.Name] = true
	}
	type routeKey struct{ authority, prefix string }
	seen := make(map[routeKey]bool, len(doc.Routes))
	for i := range doc.Routes {
		r := &doc.Routes[i]
		key := routeKey{authority: r.Authority, prefix: r.Prefix}
		if seen[key] {
			path := fmt.Sprintf("/routes/%d/prefix", i)
			faults = append(faults, strictjson.Fault{Path: path, Reason: "stands twice for this authority"})
		}
		seen[key] = true
		for j, s := range r.Services {
			if !services[s.Name] && !r.Unusable {
				reason := fmt.Sprintf("no service is named %q", s.Name)
				faults = append(faults, strictjson.Fault{Path: fmt.Sprintf("/routes/%d/services/%d/name", i, j), Reason: reason})
			}
		}
	}
	return faults
}

// Reference returns the JSON schema of a document.
func Reference() []byte { return schema().Text() }
