package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// duplicates returns a fault for each field that an object repeats, and for each number that can't be checked against a
// schema, see maxExponentDigits. The standard decoder silently takes the last value of a repeated field, so a document could
// have two values for a field without anyone noticing which one applies. A text that is not valid JSON is searched up to its
// first error.
func duplicates(data []byte) []Fault {
	d := &duplicateFinder{decoder: json.NewDecoder(bytes.NewReader(data))}
	d.decoder.UseNumber()
	d.value("")
	return d.found
}

type duplicateFinder struct {
	decoder *json.Decoder
	found   []Fault
	// malformed is set where the text is not valid JSON any more.
	malformed bool
}

// value reads the value that begins at the next token; path is its JSON pointer.
func (d *duplicateFinder) value(path string) {
	token, err := d.decoder.Token()
	if err != nil {
		d.malformed = true
		return
	}
	switch token := token.(type) {
	case json.Delim:
		d.container(token, path)
	case json.Number:
		if hasLargeExponent(token.String()) {
			d.found = append(d.found, Fault{Path: path, Reason: "must have an exponent of at most 3 digits"})
		}
	}
}

func (d *duplicateFinder) container(opening json.Delim, path string) {
	switch opening {
	case '{':
		d.object(path)
	case '[':
		d.array(path)
	}
}

// hasLargeExponent reports whether the exponent of a JSON number has more than maxExponentDigits digits.
func hasLargeExponent(number string) bool {
	i := strings.IndexAny(number, "eE")
	return i >= 0 && len(strings.TrimLeft(number[i+1:], "+-0")) > maxExponentDigits
}

// maxExponentDigits leaves room for all numbers that a float64 can hold. The validator computes with the exact value of a
// number, which takes 0.2 s for an exponent of a million and panics above that.
const maxExponentDigits = 3

func (d *duplicateFinder) object(path string) {
	seen := make(map[string]bool)
	for !d.malformed && d.decoder.More() {
		token, err := d.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			d.malformed = true
			return
		}
		if seen[name] {
			d.found = append(d.found, Fault{Path: path + "/" + name, Reason: "stands twice"})
		}
		seen[name] = true
		d.value(path + "/" + name)
	}
	_, _ = d.decoder.Token()
}

func (d *duplicateFinder) array(path string) {
	for i := 0; !d.malformed && d.decoder.More(); i++ {
		d.value(path + "/" + strconv.Itoa(i))
	}
	_, _ = d.decoder.Token()
}
