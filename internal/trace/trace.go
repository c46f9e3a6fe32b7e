// Package trace is the form of traffic traces: JSON lines, first a header, then requests and faults in order of time,
// with the outcomes that they are to have. Generated traces say so in their header; recorded ones have the same form.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"carobshunt/api"
	"carobshunt/internal/strictjson"
)

// Trace is a whole trace.
type Trace struct {
	Header   Header
	Requests []Request
	Faults   []Fault
}

// Line is one line; exactly one field is set.
type Line struct {
	Header  *Header  `json:"header,omitempty"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Header is the first line.
type Header struct {
	// Format is the version of the form: 1.
	Format int `json:"format"`
	// Deployment names the user whose hosts and document the trace runs on.
	Deployment string `json:"deployment"`
	// Generated is set on traces that were made, not recorded; Generator and Seed make them again.
	Generated bool   `json:"generated"`
	Generator string `json:"generator,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	// Title says in one line what the trace shows.
	Title string `json:"title"`
	// LengthMs is the span in which requests arrive, in milliseconds.
	LengthMs int64 `json:"length_ms"`
	// MeasureFromMs leaves requests that arrive earlier out of the figures.
	MeasureFromMs int64 `json:"measure_from_ms,omitempty"`
	// Expect are the stated outcomes of the whole run.
	Expect []Bound `json:"expect,omitempty"`
}

// Request is one request of a caller.
type Request struct {
	AtMs         int64  `json:"at_ms"`
	ID           string `json:"id"`
	Team         string `json:"team"`
	Model        string `json:"model"`
	PromptTokens int64  `json:"prompt_tokens"`
	AnswerTokens int64  `json:"answer_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int64  `json:"prefix_tokens,omitempty"`
	Idempotent   bool   `json:"idempotent"`
	BudgetMs     int64  `json:"budget_ms"`
	// Duplicates is how many more times the caller sends the same identifier, each to another host.
	Duplicates int `json:"duplicates,omitempty"`
	// Expect lists the outcomes that are right; empty means any.
	Expect []api.Outcome `json:"expect,omitempty"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	KillEngine FaultKind = "kill_engine"
	KillHost   FaultKind = "kill_host"
	StartHost  FaultKind = "start_host"
	CutZone    FaultKind = "cut_zone"
	HealZone   FaultKind = "heal_zone"
	SetPreset  FaultKind = "set_preset"
	// LostConnection makes a caller lose its first connection of the request named in Subject.
	LostConnection FaultKind = "lost_connection"
)

// Fault is something that happens to the fleet, or that its operators do.
type Fault struct {
	AtMs int64     `json:"at_ms"`
	Kind FaultKind `json:"kind"`
	// Subject is an address, an availability zone, a preset or a request identifier.
	Subject string `json:"subject"`
}

// Bound is a stated outcome of a run: a measure of one band or class, and its limits.
type Bound struct {
	// Measure names a figure of the report.
	Measure string `json:"measure"`
	// Group names a band, class or team of the report; empty for the whole run.
	Group   string   `json:"group,omitempty"`
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

const formatVersion = 1

// At returns the arrival time.
func (r *Request) At() time.Duration { return time.Duration(r.AtMs) * time.Millisecond }

// Length returns the span of the trace.
func (h *Header) Length() time.Duration { return time.Duration(h.LengthMs) * time.Millisecond }

// Write writes the trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	out := json.NewEncoder(w)
	if err := out.Encode(Line{Header: &t.Header}); err != nil {
		return err
	}
	for i := range t.Requests {
		if err := out.Encode(Line{Request: &t.Requests[i]}); err != nil {
			return err
		}
	}
	for i := range t.Faults {
		if err := out.Encode(Line{Fault: &t.Faults[i]}); err != nil {
			return err
		}
	}
	return nil
}

const maxLineBytes = 1 << 20

// Read reads a whole trace; a fault in any line refuses it whole with a *strictjson.Faults error.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		if err := t.addLine(lines.Bytes(), number); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault(number+1, err.Error())
	}
	if t.Header.Format != formatVersion {
		return nil, fault(1, "the first line must be a header of format 1")
	}
	return t, nil
}

func fault(line int, reason string) error {
	return strictjson.NewFaults(strictjson.Fault{Path: fmt.Sprintf("/lines/%d", line), Reason: reason})
}

func (t *Trace) addLine(raw []byte, number int) error {
	var line Line
	if err := decodeStrictly(raw, &line); err != nil {
		return fault(number, err.Error())
	}
	switch {
	case line.Header != nil && number == 1:
		t.Header = *line.Header
	case line.Request != nil && number > 1:
		return t.addRequest(*line.Request, number)
	case line.Fault != nil && number > 1:
		t.Faults = append(t.Faults, *line.Fault)
	default:
		return fault(number, "must be one header on the first line, then requests and faults")
	}
	return nil
}

func (t *Trace) addRequest(r Request, number int) error {
	bad := r.ID == "" || r.Team == "" || r.Model == "" || r.PromptTokens < 1 || r.AnswerTokens < 1 || r.BudgetMs < 1 || r.AtMs < 0
	if bad || r.PrefixTokens > r.PromptTokens {
		return fault(number, "a request needs id, team, model, lengths and a budget above zero, and a prefix within its prompt")
	}
	t.Requests = append(t.Requests, r)
	return nil
}
