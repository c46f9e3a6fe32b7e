package rawjson

import (
	"bytes"
	"encoding/json"
)

// Match returns for each entry the index of an identical entry, byte for byte, of an earlier list; -1 if there is none. Of an entry that
// stands twice in a list it may miss the second one. It is fast if the lists differ in few entries that stand close to each other.
func Match(earlier, entries []json.RawMessage) []int {
	out := make([]int, len(entries))
	begin, end := CommonEnds(earlier, entries)
	for i := range begin {
		out[i] = i
	}
	for i := range end {
		out[len(entries)-1-i] = len(earlier) - 1 - i
	}
	index := make(map[string]int)
	for i, entry := range earlier[begin : len(earlier)-end] {
		index[string(entry)] = begin + i
	}
	for i := begin; i < len(entries)-end; i++ {
		origin, ok := index[string(entries[i])]
		if !ok {
			origin = -1
		}
		out[i] = origin
	}
	return out
}

// CommonEnds returns the numbers of texts that two lists have in common at their begin and, beside these, at their end.
func CommonEnds[T ~[]byte](a, b []T) (begin, end int) {
	shorter := min(len(a), len(b))
	for begin < shorter && bytes.Equal(a[begin], b[begin]) {
		begin++
	}
	for end < shorter-begin && bytes.Equal(a[len(a)-1-end], b[len(b)-1-end]) {
		end++
	}
	return begin, end
}
