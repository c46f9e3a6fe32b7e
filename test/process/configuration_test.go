package process

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/hostlist"

	"carobshunt/internal/testproc"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// inForceBound bounds the time until a new revision is in force on every host that reaches the platform or a peer.
const inForceBound = 2 * time.Second

// publishRevision publishes the cluster's document with a new revision and active preset.
func (c *cluster) publishRevision(revision uint64, preset string) {
	c.doc.Revision, c.doc.Active = revision, preset
	c.publishDocument()
}

// waitRevision waits until a revision is in force on the hosts, up to inForceBound for each.
func (c *cluster) waitRevision(revision uint64, hosts ...*host) {
	c.t.Helper()
	for _, h := range hosts {
		poll.WaitOn(c.t, testproc.WhileRunning(c.t, func(poll.LogT) poll.Result {
			s, err := h.status()
			if err == nil && s.Config.Revision == revision {
				return poll.Success()
			}
			return poll.Continue("host %s: %v %+v", h.ip, err, s.Config)
		}), poll.WithTimeout(inForceBound), poll.WithDelay(10*time.Millisecond))
	}
}

func TestPresetSwitchIsInForceOnFourHosts(t *testing.T) {
	c := newCluster(t, 4, 1)
	t.Logf("all hosts reach the platform: at most %v", c.switchPresets(2))
	for _, h := range c.hosts[1:] {
		c.platformProxy.Cut(h.ip)
	}
	t.Logf("three of four hosts cut from the platform: at most %v", c.switchPresets(2+presetSwitches))
	for _, h := range c.hosts {
		s, err := h.status()
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Preset, c.doc.Active)
	}
}

// presetSwitches is the number of revisions that switchPresets publishes.
const presetSwitches = 10

// switchPresets publishes presetSwitches revisions one after the other, numbered from first, and returns the longest time
// from publishing one to its being in force on all hosts.
func (c *cluster) switchPresets(first uint64) time.Duration {
	c.t.Helper()
	var longest time.Duration
	for i := range uint64(presetSwitches) {
		begin := time.Now()
		c.publishRevision(first+i, []string{"peak", "maintenance", "ordinary"}[i%3])
		c.waitRevision(first+i, c.hosts...)
		longest = max(longest, time.Since(begin))
	}
	return longest.Round(time.Millisecond)
}

func TestPlatformDownAtStart(t *testing.T) {
	c := prepareCluster(t, 4, 1)
	c.platformProxy.Cut("")
	for _, h := range c.hosts {
		h.start()
	}
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return !s.Ready && s.NotReadyReason != "" })
	}
	_, err := c.client().Lookup(context.Background())
	assert.Assert(t, err != nil)
	c.platformProxy.Restore("")
	c.waitReady()
}

// The hosts restart while the platform serves an outdated document. None may become ready with it, since their peers have a
// newer one.
func TestRestartWithAnOutdatedPlatformDoesNotRevert(t *testing.T) {
	c := newCluster(t, 4, 1)
	old, err := json.Marshal(c.doc)
	assert.NilError(t, err)
	c.publishRevision(2, "peak")
	c.waitRevision(2, c.hosts...)
	c.platform.PublishConfig(old)
	for _, h := range c.hosts {
		h.kill()
		h.start()
		h.waitFor(func(s api.Status) bool {
			assert.Assert(t, !s.Ready || s.Config.Revision == 2, "ready with revision %d", s.Config.Revision)
			return s.Ready
		})
	}
}

func TestInvalidDocumentIsRejectedAndReported(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.platform.PublishConfig([]byte(`{"revision":2,"active":"peak","presets":{},"teams":[]}`))
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return s.Config.Rejected == 1 && s.Config.LastRejection != "" })
		s, err := h.status()
		assert.NilError(t, err)
		assert.Assert(t, s.Ready && s.Config.Revision == 1, "%+v", s.Config)
	}
	got, err := c.client().Do(context.Background(), newRequest("after-invalid", modelName, true))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	c.publishRevision(3, "peak")
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return s.Config.Revision == 3 })
	}
}

// leavingBound is the time after which a target gets no new work once a host list that marks it as leaving is in force.
const leavingBound = 3 * time.Second

// A host that is cut from the platform receives the host list from its peers.
func TestLeavingTargetLearnedFromAPeerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 4, 2)
	cutOff := c.hosts[0]
	c.platformProxy.Cut(cutOff.ip)
	var leavingAddr string
	for i := range c.list.Hosts {
		if c.list.Hosts[i].Role == hostlist.RoleEngine && leavingAddr == "" {
			leavingAddr = c.list.Hosts[i].Address
			c.list.Hosts[i].State = hostlist.StateLeaving
		}
	}
	c.list.Version++
	c.publishHosts()
	cutOff.waitFor(func(s api.Status) bool { return s.Config.HostsVersion == c.list.Version })
	time.Sleep(leavingBound)
	for i := range 12 {
		req := newRequest(fmt.Sprintf("after-leaving-%02d", i), modelName, true)
		req.Via = cutOff.callersAddr
		got, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
		assert.Assert(t, got.Target != leavingAddr, "%+v", got)
	}
}

// longAnswerTokens is the length of an answer that takes most of a second, so that a planned stop begins in the middle of
// it.
const longAnswerTokens = 800

// loadResult is the result of one request of loadUntil.
type loadResult struct {
	id     string
	result client.Result
	err    error
}

// loadUntil submits requests from several callers until stop is closed, and returns all results. The callers send, in turn,
// idempotent requests to engines, requests to the plain service, and non-idempotent requests with a long answer.
func (c *cluster) loadUntil(stop <-chan struct{}, callers int) []loadResult {
	var (
		mu  sync.Mutex
		out []loadResult
		wg  sync.WaitGroup
	)
	for caller := range callers {
		var entries []string
		for i := range c.hosts {
			entries = append(entries, c.hosts[(i+caller)%len(c.hosts)].callersAddr)
		}
		cl := client.New(client.Options{Entries: entries, Team: teamName})
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				req := newRequest(fmt.Sprintf("rolling-%02d-%06d", caller, i), modelName, true)
				switch caller % 3 {
				case 1:
					req.Model, req.Idempotent, req.Budget = serviceName, false, 3*time.Second
				case 2:
					req.AnswerTokens, req.Idempotent, req.Budget = longAnswerTokens, false, 5*time.Second
				}
				result, err := cl.Do(context.Background(), req)
				mu.Lock()
				out = append(out, loadResult{req.ID, result, err})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

// All hosts are replaced under load, one after the other, by a planned stop and a new process.
func TestReplacingAllHostsUnderLoadCutsOffNoRequest(t *testing.T) {
	c := newCluster(t, 4, 2)
	stop := make(chan struct{})
	results := make(chan []loadResult, 1)
	go func() { results <- c.loadUntil(stop, 12) }()
	begin := time.Now()
	for _, h := range c.hosts {
		h.terminate()
		assert.NilError(t, h.awaitEnd())
		h.start()
		c.waitReady()
	}
	assert.Assert(t, time.Since(begin) < time.Minute, "%v", time.Since(begin))
	close(stop)
	all := <-results
	for _, r := range all {
		assert.NilError(t, r.err, "%s", r.id)
		assert.Equal(t, r.result.Outcome, api.OutcomeDone, "%+v", r)
	}
	assert.Assert(t, len(all) > 100, "%d requests", len(all))
	t.Logf("%d requests while four hosts were replaced in %v", len(all), time.Since(begin).Round(time.Millisecond))
}

// recoveryBound bounds the time from the repair of a host's own link until all its targets are eligible again.
const recoveryBound = time.Second

// A host that reaches none of its engines suspects its own link, and must use the engines again soon after the repair.
func TestHostCutFromAllEnginesRecoversSoonAfterTheRepair(t *testing.T) {
	c := newCluster(t, 2, 6)
	h := c.hosts[0]
	for _, p := range c.engineProxies {
		p.Cut(h.ip)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.submitUntil(stop, h) })
	h.waitFor(func(s api.Status) bool { return slices.Contains(s.Warnings, api.WarningOwnLink) })
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	for _, p := range c.engineProxies {
		p.Restore(h.ip)
	}
	time.Sleep(recoveryBound)
	s, err := h.status()
	assert.NilError(t, err)
	for _, target := range s.Targets {
		assert.Assert(t, target.Eligible, "%+v", target)
	}
	req := newRequest("after-the-mend", modelName, true)
	req.Via = h.callersAddr
	got, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	h.waitFor(func(s api.Status) bool { return !slices.Contains(s.Warnings, api.WarningOwnLink) })
}

// submitUntil submits requests with a budget of 300 ms to one host until stop is closed, and ignores their results.
func (c *cluster) submitUntil(stop <-chan struct{}, h *host) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		req := newRequest(fmt.Sprintf("while-cut-%06d", i), modelName, true)
		req.Via, req.Budget = h.callersAddr, 300*time.Millisecond
		_, _ = c.client().Do(context.Background(), req)
	}
}
