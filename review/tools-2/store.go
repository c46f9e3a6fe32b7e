package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps all history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, known := s.items[key]; known {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, known := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, object{"items": out, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, object{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, object{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// publish writes a configuration with one tenant, the routes and the services.
func (s *store) publish(version int, routes, services []object) {
	s.put("op/config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []object{{"name": "tenant-a", "api_keys": []string{apiKey}}},
	})
}

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// entry returns the entry of a server of a service.
func entry(service, address string, born time.Time, seq int) object {
	return object{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": born.UnixMilli(),
	}
}

// noticeRoute returns a route of requests that may run once.
func noticeRoute(timeoutMs int) object {
	return object{
		"name": "notice", "host": "ficu95.example", "prefix": "/notice/", "type": "non_idempotent", "timeout_ms": timeoutMs,
		"goal_latency_ms": 150, "priority": 2, "service": "affil-desk", "max_attempts": 1, "public": false, "sticky": false,
	}
}

// affilDesk returns a plain service.
func affilDesk() object {
	return object{"name": "affil-desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}
}

// draftRoute returns a route of streams that may be resumed.
func draftRoute() object {
	return object{
		"name": "draft", "host": "ficu95.example", "prefix": "/draft/", "type": "streaming", "timeout_ms": 10000,
		"goal_latency_ms": 300, "priority": 1, "service": "lm-newsroom", "max_attempts": 2, "public": false, "sticky": true,
		"resumable": true, "gap_target_ms": 250,
	}
}

// newsroom returns a service of engines.
func newsroom() object {
	return object{
		"name": "lm-newsroom", "health_path": "/healthz", "max_conns": 264, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		"engine": object{
			"slots": 16, "kv_capacity_tokens": 232000, "kv_token_bytes": 327680, "link_mbps": 400000.0, "stride": 43,
			"models": []object{{"name": "m"}}, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0,
			"pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": []object{},
			"usual": object{"prompt": 10000, "answer": 1300}, "hop_ms": 0.1,
		},
	}
}
