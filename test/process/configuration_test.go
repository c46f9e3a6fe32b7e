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

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// inForceWithin is the bound for a new revision on all hosts that can reach the platform or a peer.
const inForceWithin = 2 * time.Second

// publishRevision publishes the cluster's document with another revision and preset.
func (c *cluster) publishRevision(revision uint64, preset string) {
	c.doc.Revision, c.doc.Active = revision, preset
	c.publishDocument()
}

// waitRevision waits until the hosts have a revision in force, for no longer than the bound.
func (c *cluster) waitRevision(revision uint64, hosts ...*host) {
	c.t.Helper()
	for _, h := range hosts {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			s, err := h.status()
			if err == nil && s.Config.Revision == revision {
				return poll.Success()
			}
			return poll.Continue("host %s: %v %+v", h.ip, err, s.Config)
		}, poll.WithTimeout(inForceWithin), poll.WithDelay(10*time.Millisecond))
	}
}

func TestPresetSwitchIsInForceOnFourHosts(t *testing.T) {
	c := newCluster(t, 4, 1)
	t.Logf("with the platform: at most %v", c.switchPresets(2))
	for _, h := range c.hosts[1:] {
		c.platformPipe.Cut(h.ip)
	}
	t.Logf("three of four hosts cut from it: at most %v", c.switchPresets(2+presetSwitches))
	for _, h := range c.hosts {
		s, err := h.status()
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Preset, c.doc.Active)
	}
}

const presetSwitches = 10

// switchPresets publishes revisions from a first one on, one after the other, and returns the longest time that one took
// until it was in force on all hosts.
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
	c.platformPipe.Cut("")
	for _, h := range c.hosts {
		h.start()
	}
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return !s.Ready && s.NotReadyReason != "" })
	}
	_, err := c.client().Lookup(context.Background())
	assert.Assert(t, err != nil)
	c.platformPipe.Mend("")
	c.waitReady()
}

func TestRestartBeforePlatformWithOldAnswersDoesNotRevert(t *testing.T) {
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

func TestInvalidDocumentChangesNothingAndShows(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.platform.PublishConfig([]byte(`{"revision":2,"active":"peak","presets":{},"teams":[]}`))
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return s.Config.Rejected == 1 && s.Config.LastRejection != "" })
		s, err := h.status()
		assert.NilError(t, err)
		assert.Assert(t, s.Ready && s.Config.Revision == 1, "%+v", s.Config)
	}
	got, err := c.client().Do(context.Background(), request("after-invalid", modelName, true))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	c.publishRevision(3, "peak")
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool { return s.Config.Revision == 3 })
	}
}

// leavingBound is the time from the host list's word to the last new work for a target.
const leavingBound = 3 * time.Second

func TestLeavingTargetHeardOnlyFromPeerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 4, 2)
	deaf := c.hosts[0]
	c.platformPipe.Cut(deaf.ip)
	var leaving string
	for i := range c.list.Hosts {
		if c.list.Hosts[i].Role == hostlist.RoleEngine && leaving == "" {
			leaving = c.list.Hosts[i].Address
			c.list.Hosts[i].State = hostlist.StateLeaving
		}
	}
	c.list.Version++
	c.publishHosts()
	deaf.waitFor(func(s api.Status) bool { return s.Config.HostsVersion == c.list.Version })
	time.Sleep(leavingBound)
	for i := range 12 {
		req := request(fmt.Sprintf("after-leaving-%02d", i), modelName, true)
		req.Via = deaf.callers
		got, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
		assert.Assert(t, got.Target != leaving, "%+v", got)
	}
}

// longAnswerTokens make an answer that takes the better part of a second, so that a stop finds it unfinished.
const longAnswerTokens = 800

// ended is what became of one request under load.
type ended struct {
	id     string
	result client.Result
	err    error
}

// loadUntil submits requests from several callers until stop is closed, and returns what became of them.
func (c *cluster) loadUntil(stop <-chan struct{}, callers int) []ended {
	var (
		mu   sync.Mutex
		out  []ended
		wait sync.WaitGroup
	)
	for caller := range callers {
		var entries []string
		for i := range c.hosts {
			entries = append(entries, c.hosts[(i+caller)%len(c.hosts)].callers)
		}
		asked := client.New(client.Options{Entries: entries, Team: teamName})
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				req := request(fmt.Sprintf("rolling-%02d-%06d", caller, i), modelName, true)
				switch caller % 3 {
				case 1:
					req.Model, req.Idempotent, req.Budget = serviceName, false, 3*time.Second
				case 2:
					req.AnswerTokens, req.Idempotent, req.Budget = longAnswerTokens, false, 5*time.Second
				}
				result, err := asked.Do(context.Background(), req)
				mu.Lock()
				out = append(out, ended{req.ID, result, err})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return out
}

func TestReplacingAllHostsUnderLoadCutsOffNoRequest(t *testing.T) {
	c := newCluster(t, 4, 2)
	stop := make(chan struct{})
	results := make(chan []ended, 1)
	go func() { results <- c.loadUntil(stop, 12) }()
	begin := time.Now()
	for _, h := range c.hosts {
		h.terminate()
		assert.NilError(t, h.cmd.Wait())
		h.start()
		c.waitReady()
	}
	assert.Assert(t, time.Since(begin) < time.Minute, "%v", time.Since(begin))
	close(stop)
	all := <-results
	for _, one := range all {
		assert.NilError(t, one.err, "%s", one.id)
		assert.Equal(t, one.result.Outcome, api.OutcomeDone, "%+v", one)
	}
	assert.Assert(t, len(all) > 100, "%d requests", len(all))
	t.Logf("%d requests while four hosts were replaced in %v", len(all), time.Since(begin).Round(time.Millisecond))
}

// backWithin is the bound for work after the mend of a host's own link.
const backWithin = time.Second

func TestHostCutFromAllTargetsIsBackSoonAfterTheMend(t *testing.T) {
	c := newCluster(t, 2, 6)
	h := c.hosts[0]
	for _, p := range c.enginePipes {
		p.Cut(h.ip)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { c.tryUntil(stop, h) })
	h.waitFor(func(s api.Status) bool { return slices.Contains(s.Warnings, api.WarningOwnLink) })
	time.Sleep(5 * time.Second)
	close(stop)
	wait.Wait()
	for _, p := range c.enginePipes {
		p.Mend(h.ip)
	}
	time.Sleep(backWithin)
	s, err := h.status()
	assert.NilError(t, err)
	for _, target := range s.Targets {
		assert.Assert(t, target.Eligible, "%+v", target)
	}
	req := request("after-the-mend", modelName, true)
	req.Via = h.callers
	got, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	h.waitFor(func(s api.Status) bool { return !slices.Contains(s.Warnings, api.WarningOwnLink) })
}

// tryUntil submits short requests to one host, whatever becomes of them, until stop is closed.
func (c *cluster) tryUntil(stop <-chan struct{}, h *host) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		req := request(fmt.Sprintf("while-cut-%06d", i), modelName, true)
		req.Via, req.Budget = h.callers, 300*time.Millisecond
		_, _ = c.client().Do(context.Background(), req)
	}
}
