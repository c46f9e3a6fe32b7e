package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]run
}

// run is one execution of a request by a server.
type run struct {
	server, tenant, key, path string
	at                        time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), runs: make(map[string][]run)}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) sent(q *request, to string) {
	r.note("sent      %s %s %s key=%q to %s", q.attempt, q.method, q.path, q.key, to)
}

func (r *record) answered(q *request, out *result) {
	if out.err != nil {
		r.note("no answer %s after %d ms: %v", q.attempt, out.elapsed.Milliseconds(), out.err)
		return
	}
	r.note("answered  %s status %d seal=%q retry-after=%q after %d ms", q.attempt, out.status,
		out.header.Get("Response-Seal"), out.header.Get("Retry-After"), out.elapsed.Milliseconds())
}

func (r *record) ran(server string, q *http.Request) {
	attempt := q.Header.Get("Attempt-Id")
	r.note("run       %s at %s %s %s tenant=%q key=%q deadline=%s", attempt, server, q.Method, q.URL.Path,
		q.Header.Get("Tenant"), q.Header.Get("Api-Key"), q.Header.Get("Deadline-Ms"))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], run{
		server: server, tenant: q.Header.Get("Tenant"), key: q.Header.Get("Api-Key"), path: q.URL.Path, at: time.Now(),
	})
}

// runsOf returns the runs of an attempt so far.
func (r *record) runsOf(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[attempt]...)
}
