package peer

import (
	"encoding/json"
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/netdial"
	"carobshunt/internal/testdoc"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// manyRoutes returns the texts of a document with few routes and of its next version with many.
func manyRoutes(t *testing.T) []string {
	t.Helper()
	var texts []string
	for i, routes := range []int{5, 1000} {
		raw, err := json.Marshal(testdoc.WithRoutes(uint64(i+1), routes))
		assert.NilError(t, err)
		texts = append(texts, string(raw))
	}
	return texts
}

// TestLargeResultIsEncodedOnceAndCompressed guards against a host whose link and processor are taken for seconds by a version that adds
// many routes, since it sends it to each host of its zone.
func TestLargeResultIsEncodedOnceAndCompressed(t *testing.T) {
	const hosts = 30
	texts := manyRoutes(t)
	holder := newRecorder(texts...)
	cache := &resultCache{}
	for range hosts {
		base := newRecorder(texts[0])
		raw, err := cache.get(FetchParams{Digest: base.documents.Newest().Digest, Deflate: true}, holder.documents)
		assert.NilError(t, err)
		assert.Assert(t, 5*len(raw) < len(texts[1]), "%d bytes for a text of %d", len(raw), len(texts[1]))
	}
	assert.Equal(t, cache.encoded, 1)
}

// TestLargeResultReachesHostsOfAnyVersion guards against a host that can't read the results of a newer version of the daemon.
func TestLargeResultReachesHostsOfAnyVersion(t *testing.T) {
	texts := manyRoutes(t)
	holder := newRecorder(texts...)
	for _, base := range []*recorder{newRecorder(), newRecorder(texts[0])} {
		NewPool(base, netdial.From("127.0.0.1:1")).FetchDocument(t.Context(), serve(t, holder))
		assert.Equal(t, string((<-base.inputs).(node.DocumentFetched).Raw), texts[1])

		raw, err := (&resultCache{}).get(FetchParams{Digest: base.documents.Newest().Digest}, holder.documents)
		assert.NilError(t, err)
		var plain struct {
			Deltas []delta.Delta   `json:"deltas"`
			Raw    json.RawMessage `json:"raw"`
		}
		assert.NilError(t, json.Unmarshal(raw, &plain))
		assert.Assert(t, len(plain.Deltas) > 0 || string(plain.Raw) == texts[1])
	}
}

// TestCacheOfResultsIsBounded guards against results of large documents that take the memory of a host.
func TestCacheOfResultsIsBounded(t *testing.T) {
	cache := &resultCache{}
	for i, size := range []int{1, 2, 3, 4, 5, maxCachedBytes / 2, maxCachedBytes, maxCachedBytes + 1} {
		cache.add(cachedResult{base: uint64(i), raw: make([]byte, size)})
		held := 0
		for _, r := range cache.results {
			held += len(r.raw)
		}
		assert.Assert(t, held <= maxCachedBytes && len(cache.results) <= maxCachedResults, "%d bytes of %d", held, size)
	}
}

// TestInflatedResultIsBounded guards against a small message that takes all the memory of a host.
func TestInflatedResultIsBounded(t *testing.T) {
	deflated, err := deflate(make([]byte, maxInflated+1))
	assert.NilError(t, err)
	_, err = (&FetchResult{Deflated: deflated}).inflate()
	assert.Assert(t, errors.Is(err, ErrResultTooLarge))
	_, err = (&FetchResult{Deflated: []byte("no DEFLATE")}).inflate()
	assert.Assert(t, err != nil)
}
