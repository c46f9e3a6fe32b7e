// Package trace reads, writes and generates traffic traces: JSON lines with a header first, then requests by time of
// arrival, then faults. A trace may state expected outcomes of its requests and of the whole run. Generated and recorded
// traces have the same format; the header tells them apart.
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

// Line is one line of a trace file; exactly one field is set.
type Line struct {
	Header  *Header  `json:"header,omitempty"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Header is the first line of a trace file.
type Header struct {
	// Format is the version of the format: 1.
	Format int `json:"format"`
	// Deployment names the deployment whose hosts and document the trace runs on.
	Deployment string `json:"deployment"`
	// Generated is set on generated traces, for which Generator names the scenario and Seed is the generator's seed; it is
	// unset on recorded ones.
	Generated bool   `json:"generated"`
	Generator string `json:"generator,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	// Title describes the trace in one line.
	Title string `json:"title"`
	// LengthMs is the span in which requests arrive, in milliseconds.
	LengthMs int64 `json:"length_ms"`
	// MeasureFromMs is the end of the warm-up, in milliseconds; requests that arrive earlier are not measured.
	MeasureFromMs int64 `json:"measure_from_ms,omitempty"`
	// Expect lists the bounds that the results of the whole run must keep.
	Expect []Bound `json:"expect,omitempty"`
}

// Request is one request of a caller.
type Request struct {
	// AtMs is the time of arrival, in milliseconds from the start of the trace.
	AtMs         int64  `json:"at_ms"`
	ID           string `json:"id"`
	Team         string `json:"team"`
	Model        string `json:"model"`
	PromptTokens int64  `json:"prompt_tokens"`
	AnswerTokens int64  `json:"answer_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int64  `json:"prefix_tokens,omitempty"`
	Idempotent   bool   `json:"idempotent"`
	// BudgetMs is the time within which the request must be answered, in milliseconds.
	BudgetMs int64 `json:"budget_ms"`
	// Duplicates is how many more times the caller submits the request under the same identifier, each to another host.
	Duplicates int `json:"duplicates,omitempty"`
	// Expect lists the acceptable outcomes; empty means any.
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
	// LostConnection makes the caller submit the request that Subject names again, as after the loss of its connection.
	LostConnection FaultKind = "lost_connection"
)

// Fault is a failure, a recovery, or an operator's change of preset at a time of the trace.
type Fault struct {
	// AtMs is in milliseconds from the start of the trace.
	AtMs int64     `json:"at_ms"`
	Kind FaultKind `json:"kind"`
	// Subject is an address, an availability zone, a preset or a request identifier.
	Subject string `json:"subject"`
}

// Bound limits a measure of a run, or of one group of requests in it.
type Bound struct {
	// Measure names a measure of the report.
	Measure string `json:"measure"`
	// Group names a band, class, team or "team/band" of the report; empty for the whole run.
	Group   string   `json:"group,omitempty"`
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

const formatVersion = 1

// At returns the time of arrival, from the start of the trace.
func (r *Request) At() time.Duration { return time.Duration(r.AtMs) * time.Millisecond }

// Length returns the span in which requests arrive.
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

// Read reads a whole trace. An invalid line fails the whole trace with a *strictjson.Faults error.
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
		return nil, lineError(number+1, err.Error())
	}
	if t.Header.Format != formatVersion {
		return nil, lineError(1, "the first line must be a header of format 1")
	}
	return t, nil
}

// lineError returns the error for an invalid line.
func lineError(line int, reason string) error {
	return strictjson.NewFaults(strictjson.Fault{Path: fmt.Sprintf("/lines/%d", line), Reason: reason})
}

func (t *Trace) addLine(raw []byte, number int) error {
	var line Line
	if err := decodeStrictly(raw, &line); err != nil {
		return lineError(number, err.Error())
	}
	switch {
	case line.Header != nil && number == 1:
		t.Header = *line.Header
	case line.Request != nil && number > 1:
		return t.addRequest(*line.Request, number)
	case line.Fault != nil && number > 1:
		t.Faults = append(t.Faults, *line.Fault)
	default:
		return lineError(number, "must be one header on the first line, then requests and faults")
	}
	return nil
}

func (t *Trace) addRequest(r Request, number int) error {
	bad := r.ID == "" || r.Team == "" || r.Model == "" || r.PromptTokens < 1 || r.AnswerTokens < 1 || r.BudgetMs < 1 || r.AtMs < 0
	if bad || r.PrefixTokens > r.PromptTokens {
		return lineError(number, "a request needs id, team, model, lengths and a budget above zero, and a prefix within its prompt")
	}
	t.Requests = append(t.Requests, r)
	return nil
}
