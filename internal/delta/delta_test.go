package delta

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

type entry struct {
	Name  string   `json:"name"`
	Value int      `json:"value"`
	Tags  []string `json:"tags"`
}

type published struct {
	Revision int              `json:"revision"`
	Entries  []entry          `json:"entries"`
	ByName   map[string]entry `json:"by_name"`
}

func sample(n int) published {
	p := published{Revision: 1, ByName: map[string]entry{}}
	for i := range n {
		e := entry{Name: fmt.Sprintf("e\"{[,%d", i), Value: i, Tags: []string{"a,b", "c"}}
		p.Entries = append(p.Entries, e)
		p.ByName[e.Name] = e
	}
	return p
}

func mutate(rng *rand.Rand, p *published) {
	p.Revision++
	for range rng.IntN(4) {
		i := rng.IntN(len(p.Entries))
		switch rng.IntN(4) {
		case 0:
			p.Entries[i].Value = rng.IntN(1000)
		case 1:
			p.Entries = append(p.Entries[:i:i], p.Entries[i+1:]...)
		case 2:
			p.Entries = append(p.Entries, entry{Name: fmt.Sprint(rng.IntN(10))})
		case 3:
			j := rng.IntN(len(p.Entries))
			p.Entries[i], p.Entries[j] = p.Entries[j], p.Entries[i]
		}
		if len(p.Entries) == 0 {
			p.Entries = append(p.Entries, entry{Name: "last"})
		}
	}
}

func TestAnyChainOfDeltasGivesTheNewestText(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := sample(1 + rng.IntN(30))
		history := &History{}
		var texts []Text
		for range 20 {
			text, err := Encode(p)
			assert.NilError(t, err)
			texts = append(texts, text)
			history = history.Add(text)
			mutate(rng, &p)
		}
		for i, text := range texts {
			deltas, ok := history.Since(text.Digest)
			if !ok {
				continue
			}
			got, err := ApplyAll(text, deltas)
			assert.NilError(t, err, "seed %d from %d", seed, i)
			assert.Equal(t, string(got.Raw), string(history.Newest().Raw))
		}
	}
}

func TestOneChangedEntryCostsBytesOfOneEntry(t *testing.T) {
	p := sample(2200)
	from, err := Encode(p)
	assert.NilError(t, err)
	p.Revision++
	p.Entries[1100].Value = -1
	to, err := Encode(p)
	assert.NilError(t, err)
	raw, err := json.Marshal(Make(from, to))
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 500, "%d bytes for a text of %d", len(raw), len(to.Raw))
}

func TestWrongDeltasAreRefused(t *testing.T) {
	from := NewText([]byte(`{"a":1,"b":2}`))
	to := NewText([]byte(`{"a":1,"b":3}`))
	for _, one := range []struct {
		name  string
		delta Delta
		want  error
	}{
		{"made for another base", Delta{Old: to.Digest, New: to.Digest}, ErrOtherBase},
		{"copies past the end", Delta{Old: from.Digest, New: to.Digest, Edits: []Edit{{From: 2, Count: 9}}}, ErrRange},
		{"copies before the start", Delta{Old: from.Digest, New: to.Digest, Edits: []Edit{{From: -1, Count: 1}}}, ErrRange},
		{"has a negative count", Delta{Old: from.Digest, New: to.Digest, Edits: []Edit{{From: 1, Count: -1}}}, ErrRange},
		{"results in another text", Delta{Old: from.Digest, New: to.Digest, Edits: []Edit{{Insert: "{}"}}}, ErrDigest},
	} {
		_, err := one.delta.Apply(from)
		assert.ErrorIs(t, err, one.want, one.name)
	}
}
