package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the platform's store as PROTOCOL.md has it on the wire.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store: linearizable, and nothing that was acknowledged is lost.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	listener net.Listener
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{}), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value as JSON; its return is the confirmation.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: raw, Revision: s.revision, Created: created}
	s.items[key] = it
	s.note(it)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) note(event storeItem) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		AsOf uint64 `json:"as_of"`
	}{it, asOf})
}

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, asOf, changed := s.since(prefix, after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, map[string]any{"events": []storeItem{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}
