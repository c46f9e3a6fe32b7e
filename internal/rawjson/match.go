package rawjson

import (
	"bytes"
	"encoding/json"
)

// Match returns for each entry the index of an identical entry, byte for byte, of an earlier list; -1 if there is none. Of an entry that
// stands twice in a list it may miss the second one. It is fast if the lists differ in few entries that stand close to each other.
func Match(earlier, entries []json.RawMessage) []int {
	out := make([]int, len(entries))
	shorter := min(len(earlier), len(entries))
	begin := 0
	for begin < shorter && bytes.Equal(earlier[begin], entries[begin]) {
		out[begin] = begin
		begin++
	}
	same := 0 // entries at the end
	for same < shorter-begin && bytes.Equal(earlier[len(earlier)-1-same], entries[len(entries)-1-same]) {
		out[len(entries)-1-same] = len(earlier) - 1 - same
		same++
	}
	index := make(map[string]int)
	for i, entry := range earlier[begin : len(earlier)-same] {
		index[string(entry)] = begin + i
	}
	for i := begin; i < len(entries)-same; i++ {
		origin, ok := index[string(entries[i])]
		if !ok {
			origin = -1
		}
		out[i] = origin
	}
	return out
}
