package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the installation, in the names of SYSTEM.md.
const (
	stableTime = 3 * time.Second // stable_ms
	configTime = 2 * time.Second // config_ms
)

// unknownKey is a key that no configuration ever holds.
const unknownKey = "zzzz0000unknown0zzzz"

// lastKey takes the last keys away from a deployment with one tenant. From config_ms after the confirmation on, no request
// may run with one of them, and none with a key that no configuration ever held.
func lastKey(s *scene) (bool, error) {
	for _, zone := range []string{"zone-a", "zone-b"} {
		if _, err := newTarget(s.store, s.rec, "affil", zone, false, 6); err != nil {
			return false, err
		}
	}
	config := exampleConfig()
	s.store.put("op/config", config)
	var err error
	if s.fleet, err = newFleet(s.root, s.dir, s.store, "zone-a", "zone-b"); err != nil {
		return false, err
	}
	if err := s.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	keys := config.Tenants[0].Keys
	if !s.keysServed(keys) {
		return false, fmt.Errorf("the tenant is not served before the change")
	}
	config.Version = 9
	if s.trouble {
		config.Tenants[0].Keys = []string{}
	}
	s.store.put("op/config", config)
	s.rec.note("confirmed version 9, keys of the tenant: %d", len(config.Tenants[0].Keys))
	time.Sleep(configTime + time.Second)
	broken := false
	for round := range 10 {
		for _, key := range append([]string{unknownKey}, keys...) {
			if key != unknownKey && !s.trouble {
				continue // it still holds
			}
			for _, q := range s.oneOfEach("after", round, key) {
				if s.sendToAll(q) {
					s.rec.note("rule broken: %s ran with key %q", q.attempt, key)
					broken = true
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken, nil
}

// oneOfEach returns a request of each kind with a key.
func (s *scene) oneOfEach(phase string, round int, key string) []*request {
	id := fmt.Sprintf("%s-%d-%.4s", phase, round, key)
	return []*request{
		{attempt: id + "-notice", method: http.MethodPost, host: siteHost, path: "/notice/1", key: key, body: "notice", deadline: 1500 * time.Millisecond},
		{attempt: id + "-sched", method: http.MethodGet, host: siteHost, path: "/sched/1", key: key, deadline: 1500 * time.Millisecond},
	}
}

// sendToAll sends a request to each host, each time as an attempt of its own, and reports whether one of them ran.
func (s *scene) sendToAll(q *request) bool {
	ran := false
	for _, h := range s.fleet.hosts {
		one := *q
		one.attempt += "-" + h.name
		c := &requester{address: h.callers, rec: s.rec}
		c.do(&one)
		c.close()
		ran = ran || len(s.rec.runsOf(one.attempt)) > 0
	}
	return ran
}

// keysServed reports whether requests with the keys run for the tenant, and those with an unknown one don't.
func (s *scene) keysServed(keys []string) bool {
	for _, key := range keys {
		for _, q := range s.oneOfEach("before", 0, key) {
			if !s.sendToAll(q) {
				return false
			}
		}
	}
	for _, q := range s.oneOfEach("before", 0, unknownKey) {
		if s.sendToAll(q) {
			return false
		}
	}
	return true
}
