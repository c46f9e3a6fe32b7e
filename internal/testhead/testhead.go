// Package testhead provides heads of HTTP answers for the tests of those who read answers.
package testhead

import "strings"

// malformed are heads that belong to no answer, by what is wrong with them. FIELDS stands for further lines.
var malformed = map[string]string{
	"status 000":                    "HTTP/1.1 000 Odd\r\nFIELDS\r\n",
	"status 001":                    "HTTP/1.1 001 Odd\r\nFIELDS\r\n",
	"status 099":                    "HTTP/1.1 099 Odd\r\nFIELDS\r\n",
	"status 600":                    "HTTP/1.1 600 Odd\r\nFIELDS\r\n",
	"status 999":                    "HTTP/1.1 999 Odd\r\nFIELDS\r\n",
	"signed status":                 "HTTP/1.1 +20 Odd\r\nFIELDS\r\n",
	"upgrade that nobody asked for": "HTTP/1.1 101 Switching Protocols\r\nFIELDS\r\n",
	"status 000, then a sound head": "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"status 000, HTTP/1.0":          "HTTP/1.0 000 Odd\r\nFIELDS\r\n",
	"early hints, then status 000":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nFIELDS\r\n",
	"status 000, line feeds only":   "HTTP/1.1 000 Odd\nFIELDS\r\n",
	"status 000, no reason":         "HTTP/1.1 000\r\nFIELDS\r\n",
}

// sound are heads of successes in unusual legal forms, some with informational ones before. FIELDS stands for further lines.
var sound = map[string]string{
	"status 200":            "HTTP/1.1 200 OK\r\nFIELDS\r\n",
	"no reason":             "HTTP/1.1 200 \r\nFIELDS\r\n",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nFIELDS\r\n",
	"line feeds only":       "HTTP/1.1 200 OK\nX-Odd: a\nFIELDS\r\n",
	"continue":              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"early hints":           "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"unknown informational": "HTTP/1.1 199 Odd\r\nX-Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
}

// Malformed returns heads that belong to no answer, by what is wrong with them. Each has the given lines among its fields, which must
// end with their line ends.
func Malformed(fields string) map[string]string { return with(malformed, fields) }

// Sound returns heads of successes in unusual legal forms, with the given lines among their fields.
func Sound(fields string) map[string]string { return with(sound, fields) }

func with(heads map[string]string, fields string) map[string]string {
	out := make(map[string]string, len(heads))
	for name, head := range heads {
		out[name] = strings.ReplaceAll(head, "FIELDS", fields)
	}
	return out
}
