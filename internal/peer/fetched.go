package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"carobshunt/internal/delta"

	"github.com/juju/errors"
)

// FetchParams are the parameters of the "document" and "hosts" methods.
type FetchParams struct {
	// Digest is that of the text that the requesting host has, 0 for none.
	Digest uint64 `json:"digest"`
	// Deflate is set by a host that reads FetchResult.Deflated. Hosts of older versions neither set nor know it.
	Deflate bool `json:"deflate,omitempty"`
}

// FetchResult is the result of these methods: the deltas from the requesting host's text to the newest one, or the
// whole newest text.
type FetchResult struct {
	Digest uint64          `json:"digest"`
	Deltas []delta.Delta   `json:"deltas,omitempty"`
	Raw    json.RawMessage `json:"raw,omitempty"`
	// Deflated is the JSON of a FetchResult, compressed by DEFLATE, in place of the fields above.
	Deflated []byte `json:"deflated,omitempty"`
}

const (
	// minDeflated is the size of a result from which on it is compressed, in bytes.
	minDeflated = 4 << 10
	// maxInflated is the maximum size of a result that was compressed, in bytes. One that is not compressed has the same limit.
	maxInflated = maxMessageBytes
)

// ErrResultTooLarge is the error for a compressed result of more than maxInflated bytes.
const ErrResultTooLarge = errors.ConstError("result of a fetch too large")

// deflate compresses a result.
func deflate(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// inflate returns the result that Deflated holds, or the result itself if it holds none.
func (r *FetchResult) inflate() (*FetchResult, error) {
	if len(r.Deflated) == 0 {
		return r, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), maxInflated+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(raw) > maxInflated {
		return nil, ErrResultTooLarge
	}
	out := &FetchResult{}
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, errors.Trace(err)
	}
	return out, nil
}

// resultCache holds the last encoded results of fetches: when a version comes, most hosts ask for it from the same base. It is safe
// for concurrent use.
type resultCache struct {
	mu      sync.Mutex
	results []cachedResult
	// encoded counts the results that were encoded.
	encoded int
}

// cachedResult is the encoded result for those that have the base and read results of that form.
type cachedResult struct {
	base, newest uint64
	deflate      bool
	raw          json.RawMessage
}

// maxCachedResults and maxCachedBytes bound what a cache holds.
const (
	maxCachedResults = 4
	maxCachedBytes   = 2 << 20
)

// get returns the encoded result of a fetch. While one is encoded, others wait, as they mostly ask for the same.
func (c *resultCache) get(params FetchParams, history *delta.History) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := history.Newest().Digest
	for _, r := range c.results {
		if r.base == params.Digest && r.newest == newest && r.deflate == params.Deflate {
			return r.raw, nil
		}
	}
	raw, err := encodeResult(params, history)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.encoded++
	c.add(cachedResult{base: params.Digest, newest: newest, deflate: params.Deflate, raw: raw})
	return raw, nil
}

// add adds a result, and drops the oldest ones while there are too many, or too many bytes.
func (c *resultCache) add(result cachedResult) {
	c.results = append(c.results, result)
	size := 0
	for i := len(c.results) - 1; i >= 0; i-- {
		size += len(c.results[i].raw)
		if size > maxCachedBytes || len(c.results)-i > maxCachedResults {
			c.results = slices.Clone(c.results[i+1:])
			return
		}
	}
}

// encodeResult encodes the result of a fetch: the deltas from the requesting host's text if the history has all of them, otherwise the
// whole newest text.
func encodeResult(params FetchParams, history *delta.History) (json.RawMessage, error) {
	newest := history.Newest()
	result := FetchResult{Digest: newest.Digest}
	deltas, ok := history.Since(params.Digest)
	if ok {
		result.Deltas = deltas
	} else {
		result.Raw = newest.Raw
	}
	raw, err := json.Marshal(result)
	if err != nil || !params.Deflate || len(raw) < minDeflated {
		return raw, errors.Trace(err)
	}
	deflated, err := deflate(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err = json.Marshal(FetchResult{Deflated: deflated})
	return raw, errors.Trace(err)
}
