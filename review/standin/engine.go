package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamOptions is how an engine answers a streaming request.
type streamOptions struct {
	events   int
	interval time.Duration
	// cutAfter is the number of the event after which the channel is reset; 0 for never.
	cutAfter int
}

// stream runs a streaming request and answers with numbered events, from the one after Last-Event-Id on.
func (t *target) stream(conn net.Conn, r *http.Request, o streamOptions) bool {
	t.ran(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	headers := map[string]string{
		"Attempt-Id": r.Header.Get("Attempt-Id"), "Response-Seal": t.id + "." + r.Header.Get("Attempt-Id"),
		"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Server-Load": "1,0," + strconv.Itoa(t.slots),
	}
	if _, err := conn.Write([]byte(head("200 OK", headers, -1))); err != nil {
		return false
	}
	for n := from + 1; n <= o.events; n++ {
		time.Sleep(o.interval)
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("Attempt-Id"))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			t.rec.note("cut off   %s at %s after piece %d", r.Header.Get("Attempt-Id"), t.id, n-1)
			return false
		}
		if n == o.cutAfter {
			t.rec.note("reset     %s at %s after piece %d", r.Header.Get("Attempt-Id"), t.id, n)
			reset(conn)
			return false
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// reset closes a channel with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pieces returns the numbers of the events in the body of a stream.
func pieces(body []byte) []int {
	var out []int
	for line := range strings.SplitSeq(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.Atoi(text); err == nil {
				out = append(out, n)
			}
		}
	}
	return out
}
