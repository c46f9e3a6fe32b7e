package strictjson

import (
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Unread returns a fault for each field of a text that the standard decoder ignores when it decodes the text into a value of
// the type of value: those that the type does not have, and those that stand twice, of which only the last one counts.
// Faults of repeated fields come first. Types with a decoder of their own are not looked into. The text must be valid JSON.
func Unread(data []byte, value any) []Fault {
	out := duplicates(data)
	unreadFields(data, reflect.TypeOf(value), "", &out)
	return out
}

func unreadFields(data json.RawMessage, t reflect.Type, path string, out *[]Fault) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) != nil {
			return
		}
		for i, item := range items {
			unreadFields(item, t.Elem(), path+"/"+strconv.Itoa(i), out)
		}
	case reflect.Struct:
		var fields map[string]json.RawMessage
		if json.Unmarshal(data, &fields) != nil {
			return
		}
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if field, ok := fieldNamed(t, name); ok {
				unreadFields(fields[name], field.Type, path+"/"+name, out)
				continue
			}
			*out = append(*out, Fault{Path: path + "/" + name, Reason: "is not read"})
		}
	default:
	}
}

// fieldNamed returns the field of a struct that the standard decoder fills from a field of that name, whose case it ignores.
func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if strings.EqualFold(tag, name) {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
