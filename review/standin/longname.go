package main

import (
	"errors"
	"net/http"
	"time"
)

// Names of the tenant that a new version adds. The pages set no limit to the length of a name.
const (
	shortTenant = "pohjolan-juomat"
	longTenant  = "lahdevesi-kotijakelu-a-division-of-pohjolan-juomat-oyj-delivery-desk-vantaa"
)

// longName publishes a version that adds a tenant with a long name and takes a key away from another one. From config_ms
// after the confirmation on, the new tenant must be served and the old key must not.
func longName(s *scene) (bool, error) {
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
		return false, errors.New("the tenant is not served before the change")
	}
	const newKey = "q8k2newtenantkey0001"
	name := shortTenant
	if s.trouble {
		name = longTenant
	}
	config.Version = 9
	config.Tenants = []tenantValue{
		{Name: config.Tenants[0].Name, Keys: keys[:1], Priority: 1},
		{Name: name, Keys: []string{newKey}, Priority: 1},
	}
	s.store.put("op/config", config)
	s.rec.note("confirmed version 9 with the tenant %q (%d characters) and without the key %q", name, len(name), keys[1])
	time.Sleep(configTime + time.Second)
	broken := false
	for round := range 10 {
		for _, q := range s.oneOfEach("dropped", round, keys[1]) {
			if s.sendToAll(q) {
				s.rec.note("rule broken: %s ran with a dropped key", q.attempt)
				broken = true
			}
		}
		for _, q := range s.oneOfEach("added", round, newKey) {
			for _, status := range s.statusesOfAll(q) {
				if status == http.StatusUnauthorized {
					s.rec.note("rule broken: %s was refused with 401 though the key is there", q.attempt)
					broken = true
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	recovers, err := s.recovers(keys[0])
	return broken || !recovers, err
}

// recoverTime is recover_s.
const recoverTime = 12 * time.Second

// recovers kills all processes at once, starts them again, and reports whether a quarter of the requests with a key that
// every version has is served recover_s later.
func (s *scene) recovers(key string) (bool, error) {
	for _, h := range s.fleet.hosts {
		_ = h.cmd.Process.Kill()
	}
	for _, h := range s.fleet.hosts {
		_ = h.cmd.Wait()
	}
	s.rec.note("killed all processes")
	time.Sleep(time.Second)
	for _, h := range s.fleet.hosts {
		if err := s.fleet.start(h); err != nil {
			return false, err
		}
	}
	s.rec.note("started all processes again")
	time.Sleep(recoverTime + time.Second)
	served, sent := 0, 0
	for round := range 10 {
		for _, q := range s.oneOfEach("back", round, key) {
			for _, status := range s.statusesOfAll(q) {
				sent++
				if status == http.StatusOK {
					served++
				}
			}
		}
	}
	s.rec.note("after the final fault %d of %d requests are served", served, sent)
	return 4*served >= sent, nil
}

// statusesOfAll sends a request to each host, each time as an attempt of its own, and returns the statuses.
func (s *scene) statusesOfAll(q *request) []int {
	var out []int
	for _, h := range s.fleet.hosts {
		one := *q
		one.attempt += "-" + h.name
		c := &requester{address: h.callers, rec: s.rec}
		out = append(out, c.do(&one).status)
		c.close()
	}
	return out
}
