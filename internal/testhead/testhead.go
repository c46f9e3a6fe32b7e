// Package testhead provides heads of HTTP answers, and a server that gives them, for the tests of those who read answers.
package testhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// malformed are heads that belong to no answer, by what is wrong with them. FIELDS stands for further lines.
var malformed = map[string]string{
	"status 000":                        "HTTP/1.1 000 Odd\r\nFIELDS\r\n",
	"status 001":                        "HTTP/1.1 001 Odd\r\nFIELDS\r\n",
	"status 099":                        "HTTP/1.1 099 Odd\r\nFIELDS\r\n",
	"status 600":                        "HTTP/1.1 600 Odd\r\nFIELDS\r\n",
	"status 999":                        "HTTP/1.1 999 Odd\r\nFIELDS\r\n",
	"signed status":                     "HTTP/1.1 +20 Odd\r\nFIELDS\r\n",
	"upgrade that nobody asked for":     "HTTP/1.1 101 Switching Protocols\r\nFIELDS\r\n",
	"status 000, then a sound head":     "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"status 000, HTTP/1.0":              "HTTP/1.0 000 Odd\r\nFIELDS\r\n",
	"early hints, then status 000":      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nFIELDS\r\n",
	"status 000, line feeds only":       "HTTP/1.1 000 Odd\nFIELDS\r\n",
	"status 000, no reason":             "HTTP/1.1 000\r\nFIELDS\r\n",
	"blank in a name":                   "HTTP/1.1 200 OK\r\nX Odd: a\r\nFIELDS\r\n",
	"blank after a name":                "HTTP/1.1 200 OK\r\nX-Odd : a\r\nFIELDS\r\n",
	"blank after the last name":         "HTTP/1.1 200 OK\r\nFIELDSX-Odd : a\r\n\r\n",
	"blank after the name of a length":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nFIELDS\r\n",
	"blank after the name of a framing": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nFIELDS\r\n",
	"blank before the first name":       "HTTP/1.1 200 OK\r\n X-Odd: a\r\nFIELDS\r\n",
	"tab in a name":                     "HTTP/1.1 200 OK\r\nX\tOdd: a\r\nFIELDS\r\n",
	"control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Odd: a\r\nFIELDS\r\n",
	"NUL in a name":                     "HTTP/1.1 200 OK\r\nX\x00Odd: a\r\nFIELDS\r\n",
	"DEL in a name":                     "HTTP/1.1 200 OK\r\nX\x7fOdd: a\r\nFIELDS\r\n",
	"CR in a name":                      "HTTP/1.1 200 OK\r\nX\rOdd: a\r\nFIELDS\r\n",
	"byte above 127 in a name":          "HTTP/1.1 200 OK\r\nX\xe9Odd: a\r\nFIELDS\r\n",
	"separator in a name":               "HTTP/1.1 200 OK\r\nX(Odd): a\r\nFIELDS\r\n",
	"empty name":                        "HTTP/1.1 200 OK\r\n: a\r\nFIELDS\r\n",
	"no colon":                          "HTTP/1.1 200 OK\r\nX-Odd\r\nFIELDS\r\n",
	"blank in a name, HTTP/1.0":         "HTTP/1.0 200 OK\r\nX Odd: a\r\nFIELDS\r\n",
	"blank in a name, line feeds only":  "HTTP/1.1 200 OK\nX Odd: a\nFIELDS\r\n",
	"blank in a name of a continue":     "HTTP/1.1 100 Continue\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"blank in a name of early hints":    "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"HTTP/2.0":                          "HTTP/2.0 200 OK\r\nFIELDS\r\n",
	"HTTP/0.9":                          "HTTP/0.9 200 OK\r\nFIELDS\r\n",
}

// sound are heads of successes in unusual legal forms, some with informational ones before. FIELDS stands for further lines.
var sound = map[string]string{
	"status 200":                "HTTP/1.1 200 OK\r\nFIELDS\r\n",
	"no reason":                 "HTTP/1.1 200 \r\nFIELDS\r\n",
	"HTTP/1.0":                  "HTTP/1.0 200 OK\r\nFIELDS\r\n",
	"line feeds only":           "HTTP/1.1 200 OK\nX-Odd: a\nFIELDS\r\n",
	"continue":                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"early hints":               "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"unknown informational":     "HTTP/1.1 199 Odd\r\nX-Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\n",
	"all characters of names":   "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: a\r\nFIELDS\r\n",
	"continuation line":         "HTTP/1.1 200 OK\r\nX-Odd: a\r\n b\r\nFIELDS\r\n",
	"empty value":               "HTTP/1.1 200 OK\r\nX-Odd:\r\nFIELDS\r\n",
	"blanks around a value":     "HTTP/1.1 200 OK\r\nX-Odd: \t a b \t\r\nFIELDS\r\n",
	"byte above 127 in a value": "HTTP/1.1 200 OK\r\nX-Odd: \xe9\r\nFIELDS\r\n",
	"HTTP/1.2":                  "HTTP/1.2 200 OK\r\nFIELDS\r\n",
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

// Serve runs a server that answers the first request on each connection with a text and closes the connection in order, until the test
// ends. It returns the server's address.
func Serve(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, text)
		}
	}()
	return listener.Addr().String()
}

// answer reads a request and writes a text.
func answer(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, text)
}
