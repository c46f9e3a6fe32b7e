package strictjson

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnreadFindsWhatTheDecoderIgnores guards against a report that passes a misspelled field as read.
func TestUnreadFindsWhatTheDecoderIgnores(t *testing.T) {
	type item struct {
		Name  string         `json:"name"`
		Inner *struct{}      `json:"inner,omitempty"`
		Other map[string]int `json:"other"`
	}
	type whole struct {
		Items []item `json:"items"`
		Count int    `json:"count"`
	}
	for text, want := range map[string][]Fault{
		`{"items":[{"name":"a","inner":{}}],"count":1}`: nil,
		`{"Items":[{"NAME":"a"}]}`:                      nil,
		`{"items":[{"nam":"a"},{"inner":{"x":1}}]}`:     {{"/items/0/nam", "is not read"}, {"/items/1/inner/x", "is not read"}},
		`{"count":1,"count":2,"x":{"y":1}}`:             {{"/count", "stands twice"}, {"/x", "is not read"}},
		`{"items":[{"other":{"any":1}}]}`:               nil,
		`{"items":{"name":1}}`:                          nil,
		`[]`:                                            nil,
		`null`:                                          nil,
	} {
		assert.DeepEqual(t, Unread([]byte(text), &whole{}), want)
	}
}
