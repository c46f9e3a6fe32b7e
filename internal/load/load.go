package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/httpstrict"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Shape describes the requests of a run, which are all alike.
type Shape struct {
	Model string
	// PromptTokens and AnswerTokens are lengths in tokens.
	PromptTokens int64
	AnswerTokens int64
}

// body returns a prompt with one four-byte word per token.
func (s Shape) body() []byte { return bytes.Repeat([]byte("word"), int(s.PromptTokens)) }

// Quantiles summarizes a distribution of durations.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	histogramLow    = 1
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Overhead compares the time to first token through an entry host with that of the same requests sent straight to the
// engine.
type Overhead struct {
	// Requests is the number of pairs.
	Requests int       `json:"requests"`
	Direct   Quantiles `json:"direct"`
	Through  Quantiles `json:"through"`
	// AddedP99 is the 99th percentile through the host less the direct one.
	AddedP99 time.Duration `json:"added_p99_ns"`
}

// OutcomeError reports a request of a run that was not done.
type OutcomeError struct {
	ID      string
	Outcome api.Outcome
	Code    api.Code
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("request %s ended %s %s", e.ID, e.Outcome, e.Code)
}

// MeasureOverhead sends pairs of requests, one to the engine and one through the host. They alternate so that both
// samples see the same load on the machine.
func MeasureOverhead(ctx context.Context, caller *client.Client, host, engine string, shape Shape, pairs int) (Overhead, error) {
	direct, through := newHistogram(), newHistogram()
	httpClient := &http.Client{Transport: httpstrict.NewTransport(&http.Transport{})}
	for i := range pairs {
		firstToken, err := firstTokenDirect(ctx, httpClient, engine, shape, i)
		if err != nil {
			return Overhead{}, errors.Trace(err)
		}
		_ = direct.RecordValue(firstToken.Microseconds())
		result, err := caller.Do(ctx, request(shape, host, fmt.Sprintf("overhead-%d", i)))
		if err != nil {
			return Overhead{}, errors.Trace(err)
		}
		if result.Outcome != api.OutcomeDone {
			return Overhead{}, &OutcomeError{ID: fmt.Sprintf("overhead-%d", i), Outcome: result.Outcome, Code: result.Code}
		}
		_ = through.RecordValue(result.FirstToken.Microseconds())
	}
	out := Overhead{Requests: pairs, Direct: quantiles(direct), Through: quantiles(through)}
	out.AddedP99 = out.Through.P99 - out.Direct.P99
	return out, nil
}

// budget is the time budget of each request.
const budget = 5 * time.Minute

func request(shape Shape, host, id string) client.Request {
	return client.Request{
		ID: id, Model: shape.Model, Prompt: shape.body(), PromptTokens: shape.PromptTokens,
		AnswerTokens: shape.AnswerTokens, Idempotent: true, Budget: budget, Via: host,
	}
}

// Burst is the result of a number of requests sent at the same time.
type Burst struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	// Refused counts the requests that did not run and that the host asked to retry after some time.
	Refused int `json:"refused"`
	// Other counts the rest, failed ones included.
	Other int           `json:"other"`
	Took  time.Duration `json:"took_ns"`
	// Refusals summarizes the times to the outcome of those that Refused counts.
	Refusals Quantiles `json:"refusals"`
}

// SendBurst sends all requests at the same time and waits for their outcomes.
func SendBurst(ctx context.Context, caller *client.Client, host string, shape Shape, requests int) Burst {
	start := time.Now()
	recorder := &burstRecorder{refusals: newHistogram()}
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			result, err := caller.Do(ctx, request(shape, host, fmt.Sprintf("flight-%d", i)))
			recorder.add(result, err)
		})
	}
	wg.Wait()
	recorder.Requests = requests
	recorder.Took = time.Since(start)
	recorder.Refusals = quantiles(recorder.refusals)
	return recorder.Burst
}

// burstRecorder collects the outcomes of concurrent requests.
type burstRecorder struct {
	mu sync.Mutex
	Burst
	refusals *hdrhistogram.Histogram
}

func (f *burstRecorder) add(result client.Result, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && result.Outcome == api.OutcomeDone:
		f.Done++
	case err == nil && result.Outcome == api.OutcomeNotRun && result.RetryAfter > 0:
		f.Refused++
		_ = f.refusals.RecordValue(result.Total.Microseconds())
	default:
		f.Other++
	}
}
