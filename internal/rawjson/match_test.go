package rawjson

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMatchFindsEachIdenticalEntry guards against an entry that takes the decoded value of another one, or is decoded again in vain.
func TestMatchFindsEachIdenticalEntry(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 4))
		list := func() []json.RawMessage {
			var out []json.RawMessage
			for _, n := range rng.Perm(10)[:rng.IntN(9)] {
				out = append(out, json.RawMessage(strconv.Itoa(n)))
			}
			return out
		}
		earlier, entries := list(), list()
		known := make(map[string]bool)
		for _, entry := range earlier {
			known[string(entry)] = true
		}
		for i, origin := range Match(earlier, entries) {
			if origin >= 0 {
				assert.Equal(t, string(earlier[origin]), string(entries[i]), "seed %d", seed)
				continue
			}
			stands := known[string(entries[i])]
			assert.Assert(t, !stands, "seed %d: %q in %q", seed, entries[i], earlier)
		}
	}
}
