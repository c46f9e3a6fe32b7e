package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// duplicates returns a fault for each field that an object repeats. The standard decoder silently takes the last value,
// so a document could have two values for a field without anyone noticing which one applies. A text that is not valid
// JSON is searched up to its first error.
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
	switch token {
	case json.Delim('{'):
		d.object(path)
	case json.Delim('['):
		d.array(path)
	}
}

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
