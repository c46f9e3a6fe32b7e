// Package lint finds what is probably wrong in a document that hosts would accept, and describes what publishing it would
// change for callers. It names keys by their position only: no finding contains a key or its digest.
package lint

import (
	"sort"
	"strings"

	"carobshunt/internal/document"
	"carobshunt/internal/strictjson"
)

// Severity says what a finding calls for.
type Severity string

// The severities.
const (
	// SeverityError means that hosts refuse the document, or that requests fail or go elsewhere than it says.
	SeverityError Severity = "error"
	// SeverityWarning means that something is probably not intended, or that callers lose something.
	SeverityWarning Severity = "warning"
	// SeverityNote is for information only.
	SeverityNote Severity = "note"
)

// Code names a kind of finding. Scripts rely on it; it stays the same between versions.
type Code string

// Codes returns the severity of each code of Check and Changes.
func Codes() map[Code]Severity {
	out := map[Code]Severity{CodeForm: SeverityError}
	for _, rule := range rules {
		out[rule.code] = rule.severity
	}
	for _, e := range effects {
		out[e.code] = e.severity
	}
	return out
}

// Finding is one line of the report.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Path is the JSON pointer of the value in the file; empty for the whole file.
	Path string `json:"path"`
	// Sentence says what is wrong or different, and Action what to do.
	Sentence string `json:"sentence"`
	Action   string `json:"action"`
}

// Input is what is checked. Rules that need more than the document, such as the zones of targets, get it from here by way of
// the index.
type Input struct {
	Document *document.Document
	// Faults are those that the parser of the document reported.
	Faults []strictjson.Fault
}

// Check returns the findings of all rules, and one for each fault of the parser; errors come first. A fault at the path of
// another error is left out.
func Check(in Input) []Finding {
	out := newRunner(in).run(rules)
	known := make(map[string]bool)
	for _, f := range out {
		known[f.Path] = known[f.Path] || f.Severity == SeverityError
	}
	for _, fault := range in.Faults {
		if f := formFinding(fault); !known[f.Path] {
			out = append(out, f)
		}
	}
	Sort(out)
	return out
}

// Sort puts findings of higher severity first and keeps their order otherwise.
func Sort(list []Finding) {
	rank := map[Severity]int{SeverityError: 0, SeverityWarning: 1, SeverityNote: 2}
	sort.SliceStable(list, func(i, j int) bool { return rank[list[i].Severity] < rank[list[j].Severity] })
}

// CodeForm is the code of faults that the parser of a document reports.
const CodeForm Code = "form"

// formFinding returns the finding for a parser's fault. The parser's reasons quote values, so those of keys are replaced,
// and the path of a key ends with the field.
func formFinding(fault strictjson.Fault) Finding {
	f := Finding{
		Severity: SeverityError, Code: CodeForm, Path: fault.Path, Sentence: "The value is invalid: " + fault.Reason + ".",
		Action: "Correct it; hosts refuse the whole document.",
	}
	parts := strings.SplitN(fault.Path, "/", 5)
	if len(parts) > 3 && parts[1] == "teams" && (parts[3] == "key_sha256" || parts[3] == "keys_sha256") {
		f.Path = strings.Join(parts[:4], "/")
		f.Sentence = "A key of the team is not a SHA-256 digest of 64 hexadecimal digits."
	}
	return f
}
