package ctl

import (
	"encoding/json"
	"fmt"
	"regexp"

	"carobshunt/internal/document"
	"carobshunt/internal/document/lint"
	"carobshunt/internal/strictjson"
	"carobshunt/platform"

	"github.com/juju/errors"
)

// Formats of configurations.
const (
	formatDocument = "document"
	formatStore    = "store"
)

// configFile is a configuration that was read to be checked. The document has what could be decoded.
type configFile struct {
	format string
	doc    *document.Document
	// incomplete is the error of a value that has another type than the document's, so that the document lacks it.
	incomplete error
	// text is the document as JSON: the file, or what it was translated to.
	text []byte
	// store is set for a configuration in the format of the users' platform.
	store *platform.CheckedConfig
}

// decodeConfigFile decodes a configuration of either format. The error is a *StatusError for a text that is none.
func decodeConfigFile(name string, raw []byte) (*configFile, error) {
	invalid := func(err error) error {
		return &StatusError{Status: ExitInvalid, Reason: fmt.Sprintf("%s: %s", name, err)}
	}
	if err := lint.CheckShape(raw); err != nil {
		return nil, invalid(err)
	}
	if !platform.IsConfig(raw) {
		f := &configFile{format: formatDocument, doc: &document.Document{}, text: raw}
		f.incomplete = json.Unmarshal(raw, f.doc)
		return f, nil
	}
	store, err := platform.CheckConfig(raw, placeholderPreset)
	if err != nil {
		return nil, invalid(err)
	}
	text, err := json.Marshal(store.Document)
	if err != nil {
		return nil, invalid(err)
	}
	return &configFile{format: formatStore, doc: store.Document, store: store, text: text}, nil
}

// placeholderPreset stands for the preset of the daemon's settings, which a configuration of the store does not have. The
// findings on it are left out.
var placeholderPreset = document.Preset{
	Budgets:            document.Budgets{ShortMs: 1, MiddleMs: 1, LongMs: 1},
	FirstTokenTargetMs: 1, ShortPromptTokens: 1, MiddlePromptTokens: 2,
}

func formFaults(raw []byte) []strictjson.Fault {
	var faults *strictjson.Faults
	if _, err := document.Parse(raw); errors.As(err, &faults) {
		return faults.List
	}
	return nil
}

// findings returns the findings on the file alone. Rules run only on a document that is complete.
func (f *configFile) findings() []lint.Finding {
	doc := f.doc
	if f.incomplete != nil {
		doc = &document.Document{}
	}
	out := lint.Check(lint.Input{Document: doc, Faults: formFaults(f.text)})
	if f.store == nil {
		return out
	}
	out = append(storeFindings(f.store), f.renamed(out)...)
	lint.Sort(out)
	return out
}

// changesFrom returns the differences from the version in force.
func (f *configFile) changesFrom(base *configFile) []lint.Finding {
	from, to := *base.doc, *f.doc
	if f.store != nil || base.store != nil {
		// Presets are in the settings there, so sending the configuration does not change them.
		from.Presets, from.Active = to.Presets, to.Active
	}
	return f.renamed(lint.Changes(&from, &to))
}

// renamed returns findings with the paths of the file's format, without those that are on no value of the file.
func (f *configFile) renamed(list []lint.Finding) []lint.Finding {
	if f.store == nil {
		return list
	}
	out := []lint.Finding{}
	for _, finding := range list {
		path, ok := f.store.ConfigPath(finding.Path)
		if finding.Path = path; ok {
			out = append(out, finding)
		}
	}
	return out
}

// Codes of findings on configurations of the users' platform.
const (
	CodeValueRefused lint.Code = "value-refused"
	CodeValueAltered lint.Code = "value-altered"
)

// storeFindings returns the findings on values that the hosts refuse, ignore or replace.
func storeFindings(c *platform.CheckedConfig) []lint.Finding {
	out := []lint.Finding{}
	for _, fault := range c.Refused {
		out = append(out, lint.Finding{
			Severity: lint.SeverityError, Code: CodeValueRefused, Path: fault.Path,
			Sentence: "The value can't be used: " + fault.Reason + ".", Action: "Correct it; hosts use the rest of the configuration.",
		})
	}
	for _, g := range grouped(c.Altered()) {
		sentence := "The value " + g.Reason + "."
		if g.count > 1 {
			sentence = fmt.Sprintf("The value %s, in %d entries.", g.Reason, g.count)
		}
		out = append(out, lint.Finding{
			Severity: lint.SeverityNote, Code: CodeValueAltered, Path: g.Path,
			Sentence: sentence, Action: "Nothing, unless the value is to have an effect.",
		})
	}
	return out
}

// faultGroup is the faults with one reason at paths that differ only in indexes.
type faultGroup struct {
	strictjson.Fault
	count int
}

var indexes = regexp.MustCompile(`/[0-9]+(/|$)`)

// grouped returns the groups of faults in the order of their first one. The path of a group has "*" for indexes; one fault
// alone keeps its path.
func grouped(list []strictjson.Fault) []faultGroup {
	var out []faultGroup
	at := make(map[strictjson.Fault]int)
	for _, fault := range list {
		key := strictjson.Fault{Path: indexes.ReplaceAllString(fault.Path, "/*$1"), Reason: fault.Reason}
		i, ok := at[key]
		if !ok {
			at[key] = len(out)
			out = append(out, faultGroup{Fault: fault, count: 1})
			continue
		}
		out[i].count++
		out[i].Path = key.Path
	}
	return out
}
