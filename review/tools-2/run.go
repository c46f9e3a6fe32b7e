package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its record, its temporary folder and the processes that it started.
type run struct {
	trouble bool
	temp    string
	store   *store

	mu        sync.Mutex
	began     time.Time
	record    *os.File
	processes []*exec.Cmd
}

func newRun(path string) (*run, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "carobshunt-review")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", temp: temp, began: time.Now(), record: record}
	r.note("disruption: %t", r.trouble)
	r.store, err = newStore()
	return r, err
}

// note adds a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// start starts a process and remembers it.
func (r *run) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, cmd)
	return nil
}

// end kills the processes that still run and removes the temporary folder.
func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cmd := range r.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.temp)
}

// freePorts returns free ports on the loopback address.
func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// host is one entry host.
type host struct {
	callers, ready string
	cmd            *exec.Cmd
}

// startHosts starts entry hosts with the command of the deploy file, and waits until they are ready.
func (r *run) startHosts(n int) ([]*host, error) {
	const portsEach = 6
	ports, err := freePorts(n * portsEach)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, local(ports[i*portsEach+2]))
	}
	var hosts []*host
	for i := range n {
		p := ports[i*portsEach : (i+1)*portsEach]
		h, err := r.startHost(i, p, seeds)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	for i, h := range hosts {
		if err := h.awaitReady(); err != nil {
			return nil, fmt.Errorf("host %d: %w", i, err)
		}
	}
	r.note("%d entry hosts are ready", n)
	return hosts, nil
}

type object = map[string]any

func (r *run) startHost(i int, p []int, seeds []string) (*host, error) {
	settings := object{
		"zone": "zone-a", "region": "region-a", "zones": object{"zone-a": "region-a"},
		"listen": object{
			"callers": local(p[0]), "operators": local(p[1]), "peers": local(p[2]), "loads": local(p[3]),
			"lookup": local(p[4]), "ready": local(p[5]),
		},
		"platform": object{
			"address": r.store.address, "kind": "store",
			"preset": object{
				"budgets":               object{"short_ms": 10000, "middle_ms": 60000, "long_ms": 900000},
				"first_token_target_ms": 300, "short_prompt_tokens": 20000, "middle_prompt_tokens": 80000,
				"protect_short_percent": 0, "retry_percent": 15, "weight_loads_per_minute": 0,
			},
		},
		"peers": seeds, "stop_grace_s": 8,
		"limits":   object{"records": 16384, "body_bytes": 134217728, "request_bytes": 4194304, "caller_connections": 2048},
		"capacity": object{"cores": 0.608, "memory_mb": 414, "connections": 6150, "link_mbps": 1500.0}, "log_level": "info",
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.temp, fmt.Sprintf("host-%d.json", i))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.temp, fmt.Sprintf("host-%d.log", i)))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/carobshuntd", "--settings-from", "CAROBSHUNT_BOOT")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAROBSHUNT_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if os.Getenv("HOST_LOGS") != "" {
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	}
	return &host{callers: local(p[0]), ready: local(p[5]), cmd: cmd}, r.start(cmd)
}

var errNotReady = errors.New("it is not ready after 10 s")

func (h *host) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
