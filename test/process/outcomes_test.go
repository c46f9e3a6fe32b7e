package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/stream"

	"gotest.tools/v3/assert"
)

// scriptedName is the plain service that a scriptedService serves.
const scriptedName = "fragile"

// scriptedService is a plain service that counts arrivals and answers each as the test defines.
type scriptedService struct {
	mu       sync.Mutex
	arrivals int
	// arrived receives a value for each arrival.
	arrived chan struct{}
	// reply answers the request with this number, counted from 1. If it returns false, the connection is closed.
	reply func(w http.ResponseWriter, number int) bool
}

// ServeHTTP implements http.Handler.
func (s *scriptedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.arrivals++
	number := s.arrivals
	s.mu.Unlock()
	s.arrived <- struct{}{}
	if !s.reply(w, number) {
		panic(http.ErrAbortHandler)
	}
}

// count returns the number of arrivals.
func (s *scriptedService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// writeWholeAnswer writes a whole answer with the text "well" and reports whether the write succeeded.
func writeWholeAnswer(w http.ResponseWriter) bool {
	_, err := fmt.Fprintf(w, `{"offset":0,"text":"well"}`+"\n"+`{"offset":4,"end":true,"checksum":%q}`+"\n", stream.Checksum([]byte("well")))
	return err == nil
}

// newScriptedCluster starts a cluster with a scriptedService besides the usual targets.
func newScriptedCluster(t *testing.T, hosts int, reply func(http.ResponseWriter, int) bool) (*cluster, *scriptedService) {
	t.Helper()
	c := prepareCluster(t, hosts, 1)
	service := &scriptedService{arrived: make(chan struct{}, 100), reply: reply}
	c.serveBehindProxy(c.ip(91), service)
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: c.ip(91) + proxyPort, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{scriptedName},
	})
	c.list.Version++
	c.publishHosts()
	for _, h := range c.hosts {
		h.start()
	}
	c.waitReady()
	return c, service
}

// The request is not idempotent and may have run, so neither the host nor its HTTP transport may send it again.
func TestConnectionThatDiesAfterTheBodyWasWrittenIsNotTriedAgain(t *testing.T) {
	c, service := newScriptedCluster(t, 1, func(w http.ResponseWriter, number int) bool {
		return number == 1 && writeWholeAnswer(w)
	})
	// After the first request the host may keep its connection. The second one's connection, kept or new, is closed.
	first, err := c.client().Do(context.Background(), newRequest("order-1001", scriptedName, false))
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, api.OutcomeDone, "%+v", first)
	second, err := c.client().Do(context.Background(), newRequest("order-1002", scriptedName, false))
	assert.NilError(t, err)
	assert.Equal(t, second.Outcome, api.OutcomeUnknown, "%+v", second)
	assert.Equal(t, second.Code, api.CodeTargetLost, "%+v", second)
	assert.Equal(t, service.count(), 2)
}

// The home is killed after it sent a request to its target. Only the home could tell the outcome, so every host must answer
// that it is unknown.
func TestHomeKilledBetweenDispatchAndAnswerLeavesOneArrival(t *testing.T) {
	release := make(chan struct{})
	c, service := newScriptedCluster(t, 3, func(http.ResponseWriter, int) bool {
		<-release
		return false
	})
	defer close(release)
	home := c.hosts[0]
	req := newRequest("order-1003", scriptedName, false)
	req.Via = home.callersAddr
	req.Budget = 5 * time.Second
	got := make(chan client.Result, 1)
	go func() {
		r, _ := c.client().Do(context.Background(), req)
		got <- r
	}()
	<-service.arrived
	home.kill()
	home.start()
	c.waitReady()
	result := <-got
	assert.Equal(t, result.Outcome, api.OutcomeUnknown, "%+v", result)
	req.Home, req.Deadline = result.Home, result.Deadline
	for _, h := range c.hosts {
		req.Via = h.callersAddr
		again, err := c.client().Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, again.Outcome, api.OutcomeUnknown, "%+v", again)
	}
	assert.Equal(t, service.count(), 1)
}

// rawSubmit sends the headers of a submit to the host that is to be its home, without the body, and waits for "100 Continue".
func rawSubmit(t *testing.T, h *host, id, attempt, body string, budget time.Duration) (net.Conn, *bufio.Reader) {
	t.Helper()
	lookup, err := h.c.client().Lookup(context.Background())
	assert.NilError(t, err)
	var home api.Host
	for _, entry := range lookup.Hosts {
		if entry.Address == h.callersAddr {
			home = entry
		}
	}
	conn, err := net.Dial("tcp", h.callersAddr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	headers := [][2]string{
		{"Host", h.callersAddr}, {"Expect", "100-continue"}, {"Content-Length", strconv.Itoa(len(body))},
		{api.HeaderRequest, id}, {api.HeaderAttempt, attempt}, {api.HeaderTeam, teamName}, {api.HeaderModel, serviceName},
		{api.HeaderPromptTokens, "10"}, {api.HeaderAnswerTokens, "5"}, {api.HeaderIdempotent, "false"},
		{api.HeaderBodyChecksum, stream.Checksum([]byte(body))}, {api.HeaderHome, home.Home()},
		{api.HeaderDeadline, strconv.FormatInt(home.ClockMs+budget.Milliseconds(), 10)},
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\n", api.PathRequests)
	assert.NilError(t, err)
	for _, header := range headers {
		_, err = fmt.Fprintf(conn, "%s: %s\r\n", header[0], header[1])
		assert.NilError(t, err)
	}
	_, err = io.WriteString(conn, "\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	status, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, status, "HTTP/1.1 100 Continue\r\n")
	_, err = reader.ReadString('\n')
	assert.NilError(t, err)
	return conn, reader
}

// The body arrives while the home is paused, and the home resumes after the deadline.
func TestHomePausedBetweenAdmissionAndDispatchPastTheBudgetRunsNothing(t *testing.T) {
	c := newCluster(t, 1, 1)
	home := c.hosts[0]
	const body = "a body that waits in the socket"
	const budget = 500 * time.Millisecond
	conn, reader := rawSubmit(t, home, "order-1004", "1", body, budget)
	home.pause()
	_, err := io.WriteString(conn, body)
	assert.NilError(t, err)
	time.Sleep(budget + 200*time.Millisecond)
	home.resume()
	answer, err := io.ReadAll(reader)
	if err == nil || len(answer) > 0 {
		assert.Assert(t, !contains(answer, `"outcome":"done"`), "%s", answer)
		assert.Assert(t, contains(answer, `"outcome":"not_run"`), "%s", answer)
	}
	home.waitFor(func(s api.Status) bool { return s.Requests.Running+s.Requests.Queued == 0 })
	assert.Equal(t, c.service.Arrived(teamName, "order-1004"), 0)
}

func TestStalledBodyIsGivenUpAtTheDeadline(t *testing.T) {
	c := newCluster(t, 1, 1)
	conn, reader := rawSubmit(t, c.hosts[0], "order-1005", "1", "a body of which one half stays away", 500*time.Millisecond)
	_, err := io.WriteString(conn, "a body of")
	assert.NilError(t, err)
	answer, _ := io.ReadAll(reader)
	assert.Assert(t, contains(answer, `"outcome":"not_run"`), "%s", answer)
	c.hosts[0].waitFor(func(s api.Status) bool { return s.Requests.BodyBytes == 0 })
	assert.Equal(t, c.service.Arrived(teamName, "order-1005"), 0)
}

func TestLaterAttemptBringsTheBodyThatAnEarlierOneDidNot(t *testing.T) {
	c := newCluster(t, 1, 1)
	const body = "a body that comes with the second attempt"
	first, _ := rawSubmit(t, c.hosts[0], "order-1009", "1", body, 5*time.Second)
	_, err := io.WriteString(first, body[:5])
	assert.NilError(t, err)
	second, reader := rawSubmit(t, c.hosts[0], "order-1009", "2", body, 5*time.Second)
	_, err = io.WriteString(second, body)
	assert.NilError(t, err)
	status, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, status, "HTTP/1.1 200 OK\r\n")
	for line := ""; !strings.Contains(line, `"outcome":"done"`); {
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	c.hosts[0].waitFor(func(s api.Status) bool { return s.Requests.Running == 0 && s.Requests.BodyBytes == 0 })
	assert.Equal(t, c.service.Arrived(teamName, "order-1009"), 1)
}

// contains reports whether text contains part.
func contains(text []byte, part string) bool {
	for i := 0; i+len(part) <= len(text); i++ {
		if string(text[i:i+len(part)]) == part {
			return true
		}
	}
	return false
}

// A client has looked up the hosts, and one of them restarts before the client submits a request.
func TestLookupFromBeforeARestartStillServesARequestThatWasNeverSent(t *testing.T) {
	c := newCluster(t, 2, 1)
	caller := c.client()
	lookup, err := caller.Lookup(context.Background())
	assert.NilError(t, err)
	stale := lookup.Hosts[0]
	for _, h := range c.hosts {
		if h.callersAddr == stale.Address {
			h.kill()
			h.start()
		}
	}
	c.waitReady()
	req := newRequest("order-1006", serviceName, false)
	got, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	assert.Assert(t, got.Home != stale.Home())
	assert.Equal(t, c.service.Arrived(teamName, req.ID), 1)

	// A request that names the old process as its home may have been sent before; its outcome is unknown.
	req.ID = "order-1007"
	req.Home, req.Deadline = stale.Home(), time.Minute
	got, err = caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeUnknown, "%+v", got)
	assert.Equal(t, c.service.Arrived(teamName, req.ID), 0)
}

func TestDuplicatesToAllHostsAtOnceArriveOnce(t *testing.T) {
	c := newCluster(t, 4, 1)
	lookup, err := c.client().Lookup(context.Background())
	assert.NilError(t, err)
	home := lookup.Hosts[0]
	var wg sync.WaitGroup
	results := make([]client.Result, 4*len(c.hosts))
	for i := range results {
		req := newRequest("order-1008", serviceName, false)
		req.Home = home.Home()
		req.Deadline = time.Duration(home.ClockMs)*time.Millisecond + req.Budget
		req.Via = c.hosts[i%len(c.hosts)].callersAddr
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], _ = c.client().Do(context.Background(), req)
		}()
	}
	wg.Wait()
	for _, r := range results {
		assert.Equal(t, r.Outcome, api.OutcomeDone, "%+v", r)
		assert.Equal(t, r.Text, "call desk/order-1008 arrival 1")
	}
	assert.Equal(t, c.service.Arrived(teamName, "order-1008"), 1)
}
