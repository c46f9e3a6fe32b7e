package rawjson

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// Cut is an object that was cut into the entries of its lists, to be compared with an earlier version of itself.
type Cut struct {
	// Entries are those of each list that the object has, by the list's name.
	Entries map[string][]json.RawMessage
	// Origins tells of each entry where the earlier version has an identical one, or -1 for none. It is -1 for the first entry of
	// each list, so that only an empty list is empty in Reduced.
	Origins map[string][]int
	// Reduced is the object without the entries that have an origin, and without white space between its fields.
	Reduced []byte
	// Compact is set if the object has no white space between its fields and between the entries of its lists.
	Compact bool
}

// CutLists cuts an object. lists are the names of its lists, which are fields of the object, and earlier has the entries of its earlier
// version. It returns ErrSyntax for a text that is no object, and for a list that is null or whose name stands twice, in letters of any
// case.
func CutLists(text []byte, lists []string, earlier map[string][]json.RawMessage) (*Cut, error) {
	members, err := Members(text)
	if err != nil {
		return nil, err
	}
	c := &Cut{Entries: make(map[string][]json.RawMessage, len(lists)), Origins: make(map[string][]int, len(lists))}
	c.Reduced = append(c.Reduced, '{')
	left := 0 // bytes of the entries that were left out, with a comma each
	for i, m := range members {
		if i > 0 {
			c.Reduced = append(c.Reduced, ',')
		}
		c.Reduced = append(strconv.AppendQuote(c.Reduced, m.Name), ':')
		if !isList(lists, m.Name) {
			c.Reduced = append(c.Reduced, m.Value...)
			continue
		}
		n, err := c.addList(m, earlier[m.Name])
		if err != nil {
			return nil, err
		}
		left += n
	}
	c.Reduced = append(c.Reduced, '}')
	c.Compact = len(c.Reduced)+left == len(text)
	return c, nil
}

func isList(lists []string, name string) bool {
	return slices.ContainsFunc(lists, func(list string) bool { return strings.EqualFold(list, name) })
}

// addList adds a list, and returns the size of the entries that it leaves out.
func (c *Cut) addList(m Member, earlier []json.RawMessage) (int, error) {
	entries, err := Entries(m.Value)
	if err != nil {
		return 0, err
	}
	for name := range c.Entries {
		if strings.EqualFold(name, m.Name) {
			return 0, ErrSyntax
		}
	}
	if string(m.Value) == "null" {
		return 0, ErrSyntax
	}
	origins := Match(earlier, entries)
	if len(origins) > 0 {
		origins[0] = -1
	}
	c.Entries[m.Name], c.Origins[m.Name] = entries, origins
	left := 0
	c.Reduced = append(c.Reduced, '[')
	for i, entry := range entries {
		if origins[i] >= 0 {
			left += len(entry) + len(`,`)
			continue
		}
		if i > 0 {
			c.Reduced = append(c.Reduced, ',')
		}
		c.Reduced = append(c.Reduced, entry...)
	}
	c.Reduced = append(c.Reduced, ']')
	return left, nil
}

// Merge returns the decoded entries of a list: fresh are those without an origin, earlier those of the earlier version. It returns false if
// these don't fit to each other.
func Merge[E any](fresh, earlier []E, origins []int) ([]E, bool) {
	if len(origins) == len(fresh) {
		return fresh, !slices.ContainsFunc(origins, func(origin int) bool { return origin >= 0 })
	}
	out := make([]E, 0, len(origins))
	for _, origin := range origins {
		switch {
		case origin >= 0 && origin < len(earlier):
			out = append(out, earlier[origin])
		case origin < 0 && len(fresh) > 0:
			out = append(out, fresh[0])
			fresh = fresh[1:]
		default:
			return nil, false
		}
	}
	return out, len(fresh) == 0
}
