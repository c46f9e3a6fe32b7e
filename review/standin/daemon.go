package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is a process of the project, started with the command of deploy/system.toml.
type host struct {
	name, zone                                      string
	callers, operators, peers, loads, lookup, ready string
	settings                                        string
	cmd                                             *exec.Cmd
	log                                             *os.File
}

// fleet holds the processes of a case.
type fleet struct {
	root, dir string
	hosts     []*host
}

// command is that of the role in deploy/system.toml.
const command = "target/carobshuntd"

// freePort returns a port of 127.0.0.1 that is free for TCP and UDP.
func freePort() (string, error) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// newFleet prepares one host in each of the zones.
func newFleet(root, dir string, st *store, zones ...string) (*fleet, error) {
	f := &fleet{root: root, dir: dir}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%d", i+1), zone: zone}
		for _, at := range []*string{&h.callers, &h.operators, &h.peers, &h.loads, &h.lookup, &h.ready} {
			var err error
			if *at, err = freePort(); err != nil {
				return nil, err
			}
		}
		f.hosts = append(f.hosts, h)
	}
	var seeds []string
	for _, h := range f.hosts[:min(len(f.hosts), 3)] {
		seeds = append(seeds, h.peers)
	}
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region-1"
	}
	for _, h := range f.hosts {
		if err := f.writeSettings(h, st, regions, seeds); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// writeSettings writes what deploy/settings.tmpl gives for a host.
func (f *fleet) writeSettings(h *host, st *store, regions map[string]string, seeds []string) error {
	settings := map[string]any{
		"zone": h.zone, "region": "region-1", "zones": regions,
		"listen": map[string]string{
			"callers": h.callers, "operators": h.operators, "peers": h.peers, "loads": h.loads, "lookup": h.lookup, "ready": h.ready,
		},
		"platform": map[string]any{
			"address": st.address(), "kind": "store",
			"preset": map[string]any{
				"budgets":               map[string]int{"short_ms": 10000, "middle_ms": 60000, "long_ms": 900000},
				"first_token_target_ms": 300, "short_prompt_tokens": 20000, "middle_prompt_tokens": 80000,
				"protect_short_percent": 0, "retry_percent": 15, "weight_loads_per_minute": 0,
			},
		},
		"peers":     seeds,
		"limits":    map[string]int{"records": 16384, "body_bytes": 134217728, "request_bytes": 4194304, "caller_connections": 2048},
		"capacity":  map[string]any{"cores": 0.608, "memory_mb": 414, "connections": 6150, "link_mbps": 1500.0},
		"log_level": "info",
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	h.settings = filepath.Join(f.dir, h.name+".json")
	return os.WriteFile(h.settings, raw, 0o600)
}

// start starts a host's process.
func (f *fleet) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	program := filepath.Join(f.root, command)
	if other := os.Getenv("CAROB_DAEMON"); other != "" {
		program = other
	}
	cmd := exec.Command(program, "--settings-from", "CAROBSHUNT_BOOT")
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "CAROBSHUNT_BOOT="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	h.cmd, h.log = cmd, log
	return cmd.Start()
}

// startAll starts all hosts and waits until they are ready.
func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", h.name)
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
			_ = h.log.Close()
		}
	}
}
