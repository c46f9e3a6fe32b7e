package process

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/document"
	"carobshunt/internal/secure"
	"carobshunt/internal/settings"
	"carobshunt/internal/testcert"

	"carobshunt/internal/testproc"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Texts that must not appear in the hosts' logs.
const (
	teamKey     = "team-secret-5f2a"
	operatorKey = "operator-secret-91bc"
	promptText  = "the prompt of a caller 77aa"
)

// sha256Hex returns the SHA-256 of a key in hexadecimal, as documents and keys files hold it.
func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newKeyedCluster starts a cluster whose team's requests need teamKey.
func newKeyedCluster(t *testing.T) *cluster {
	c := prepareCluster(t, 2, 1)
	c.doc.Revision++
	c.doc.Teams = []document.Team{{Name: teamName, Weight: 1, TokensPerSecond: 10_000_000, KeySHA256: sha256Hex(teamKey)}}
	c.publishDocument()
	for _, h := range c.hosts {
		h.start()
	}
	c.waitReady()
	return c
}

// clientWith returns a client with these options that knows the addresses of all hosts.
func (c *cluster) clientWith(opts client.Options) *client.Client {
	for _, h := range c.hosts {
		opts.Entries = append(opts.Entries, h.callersAddr)
	}
	opts.Team = teamName
	return client.New(opts)
}

func TestOnlyTheTeamsKeyIsAccepted(t *testing.T) {
	c := newKeyedCluster(t)
	req := newRequest("order-0001", serviceName, false)
	req.Prompt = []byte(promptText)
	for i, key := range []string{"", "wrong", operatorKey} {
		req.ID = fmt.Sprintf("refused-%d", i)
		got, err := c.clientWith(client.Options{Key: key}).Do(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, got.Outcome, api.OutcomeNotRun, "%+v", got)
		assert.Equal(t, got.Code, api.CodeUnauthorized, "%+v", got)
		assert.Equal(t, c.service.Arrived(teamName, req.ID), 0)
	}
	req.ID = "order-0002"
	req.Via = c.hosts[0].callersAddr
	caller := c.clientWith(client.Options{Key: teamKey})
	first, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, api.OutcomeDone, "%+v", first)
	req.Home, req.Deadline, req.Via = first.Home, first.Deadline, c.hosts[1].callersAddr
	again, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, api.OutcomeDone, "the forwarded request must carry its key: %+v", again)
	assert.Equal(t, c.service.Arrived(teamName, req.ID), 1)
	c.assertNoSecretInLogs(teamKey, promptText, sha256Hex(teamKey))
}

// assertNoSecretInLogs checks that no host logged a secret. The hosts log at debug level.
func (c *cluster) assertNoSecretInLogs(secrets ...string) {
	for _, h := range c.hosts {
		raw, err := os.ReadFile(filepath.Join(c.dir, h.ip+".log"))
		assert.NilError(c.t, err)
		assert.Assert(c.t, len(raw) > 0, "%s logged nothing", h.ip)
		for _, secret := range secrets {
			assert.Assert(c.t, !strings.Contains(string(raw), secret), "%s logged %q", h.ip, secret)
		}
	}
}

// get sends a GET request with a bearer key, or without one if it is empty, and returns status and body.
func get(t *testing.T, url, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	secure.SetBearerKey(req.Header, key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

func TestOperatorsNeedAKeyOfTheKeysFile(t *testing.T) {
	c := prepareCluster(t, 1, 1)
	keysFile := filepath.Join(c.dir, "operators")
	assert.NilError(t, os.WriteFile(keysFile, []byte(sha256Hex(operatorKey)+"\n"), 0o600))
	c.adjustSettings = func(_ *host, s *settings.Settings) { s.Security.Operators.KeysFile = keysFile }
	h := c.hosts[0]
	h.start()
	url := "http://" + h.operatorsAddr
	poll.WaitOn(t, testproc.WhileRunning(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", h.operatorsAddr)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = conn.Close()
		return poll.Success()
	}), poll.WithTimeout(waitTimeout))
	for _, path := range []string{api.PathStatus, api.PathDocument, "/metrics", api.PathRequests + "/walk-0001?team=desk"} {
		for _, key := range []string{"", teamKey} {
			status, _ := get(t, url+path, key)
			assert.Equal(t, status, http.StatusUnauthorized, path)
		}
	}
	status, _ := get(t, url+api.PathStatus, operatorKey)
	assert.Equal(t, status, http.StatusOK)

	assert.NilError(t, os.WriteFile(keysFile, []byte(sha256Hex("renewed")+"\n"), 0o600))
	poll.WaitOn(t, testproc.WhileRunning(t, func(poll.LogT) poll.Result {
		if status, _ := get(t, url+api.PathStatus, "renewed"); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}), poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	status, _ = get(t, url+api.PathStatus, operatorKey)
	assert.Equal(t, status, http.StatusUnauthorized, "the replaced key must be refused")
	c.assertNoSecretInLogs(operatorKey, teamKey, "renewed-", sha256Hex(operatorKey))
}

// newTLSCluster starts a cluster of two hosts whose callers' and peers' interfaces use TLS.
func newTLSCluster(t *testing.T, authority *testcert.Authority) *cluster {
	c := prepareCluster(t, 2, 1)
	for _, h := range c.hosts {
		authority.Issue(h.certificateFile(), h.privateKeyFile(), h.ip)
	}
	c.adjustSettings = func(h *host, s *settings.Settings) {
		pair := settings.Certificate{CertificateFile: h.certificateFile(), PrivateKeyFile: h.privateKeyFile()}
		s.Security.AuthorityFile = authority.File
		s.Security.Callers.Certificate = pair
		s.Security.Peers = pair
	}
	for _, h := range c.hosts {
		h.start()
	}
	c.waitReady()
	return c
}

func (h *host) certificateFile() string { return filepath.Join(h.c.dir, h.ip+".pem") }
func (h *host) privateKeyFile() string  { return filepath.Join(h.c.dir, h.ip+".key") }

// A renewed certificate is used for new connections, while connections made with the old one stay open.
func TestTLSHostsServeForwardAndReloadCertificates(t *testing.T) {
	authority := testcert.NewAuthority(t)
	c := newTLSCluster(t, authority) // each peer sees the other alive, so both certificates were accepted
	identity, err := secure.LoadIdentity(secure.Files{Authority: authority.File})
	assert.NilError(t, err)
	caller := c.clientWith(client.Options{TLS: identity.ClientConfig()})
	req := newRequest("order-0001", serviceName, false)
	req.Via = c.hosts[0].callersAddr
	first, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, api.OutcomeDone, "%+v", first)
	req.Home, req.Deadline, req.Via = first.Home, first.Deadline, c.hosts[1].callersAddr
	again, err := caller.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, api.OutcomeDone, "%+v", again)
	assert.Equal(t, c.service.Arrived(teamName, req.ID), 1)

	home := c.hosts[0]
	old := dialTLS(t, home.callersAddr, identity)
	renewedSerial := authority.Issue(home.certificateFile(), home.privateKeyFile(), home.ip)
	poll.WaitOn(t, testproc.WhileRunning(t, func(poll.LogT) poll.Result {
		conn := dialTLS(t, home.callersAddr, identity)
		defer func() { _ = conn.Close() }()
		if serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(); serial != renewedSerial {
			return poll.Continue("serial %d", serial)
		}
		return poll.Success()
	}), poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	_, err = fmt.Fprintf(old, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", api.PathHosts)
	assert.NilError(t, err)
	statusLine := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(old, statusLine)
	assert.NilError(t, err)
	assert.Equal(t, string(statusLine), "HTTP/1.1 200", "the connection made before the renewal must stay usable")

	plain, err := c.client().Lookup(context.Background())
	assert.Assert(t, err != nil, "a connection without TLS must be refused: %+v", plain)
}

func dialTLS(t *testing.T, address string, identity *secure.Identity) *tls.Conn {
	t.Helper()
	conn, err := tls.Dial("tcp", address, identity.ClientConfig())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// After one served request, one refused request and one rejected document, the metrics count each of them.
func TestMetricsCountRequestsAndDocuments(t *testing.T) {
	c := newCluster(t, 2, 1)
	req := newRequest("draft-0001", modelName, true)
	req.Via = c.hosts[0].callersAddr
	got, err := c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	req.ID, req.Model = "draft-0002", "no-such-model"
	got, err = c.client().Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeNotRun, "%+v", got)
	c.platform.PublishConfig([]byte(`{"revision": 9}`))
	c.hosts[0].waitFor(func(s api.Status) bool { return s.Config.Rejected > 0 })

	status, text := get(t, "http://"+c.hosts[0].operatorsAddr+"/metrics", "")
	assert.Equal(t, status, http.StatusOK)
	for _, line := range []string{
		`carobshunt_first_token_seconds_count{class="short",team="desk"} 1`,
		`carobshunt_slowdown_ratio_count{class="short",team="desk"} 1`,
		`carobshunt_queueing_seconds_count{class="short",team="desk"} 1`,
		`carobshunt_between_tokens_seconds_count{class="short",team="desk"} 4`,
		`carobshunt_requests_finished_total{class="short",outcome="done",team="desk"} 1`,
		`carobshunt_refusals_total{code="unknown_model"} 1`,
		`carobshunt_dispatches_total{attempt="first"} 1`,
		`carobshunt_outcomes_total{outcome="done"} 1`,
		`carobshunt_preset_info{preset="ordinary"} 1`,
		`carobshunt_peers{alive="true"} 1`,
		`carobshunt_targets{eligible="true",kind="engine"} 1`,
		`carobshunt_revision 1`,
		`carobshunt_ready 1`,
		`carobshunt_build_info{`,
		`carobshunt_state_changes_total{event="ready"} 1`,
		`process_resident_memory_bytes`,
	} {
		assert.Assert(t, strings.Contains(text, line), "no %s in:\n%s", line, text)
	}
	for _, zero := range []string{
		`carobshunt_documents_rejected_total 0`, `carobshunt_peer_bytes_total{direction="in"} 0`,
		`carobshunt_peer_bytes_total{direction="out"} 0`, `carobshunt_connections{interface="peers"} 0`,
	} {
		assert.Assert(t, !strings.Contains(text, zero+"\n"), "%s", zero)
	}
}

// A caller sends a part of the body and then nothing. The host must answer at the deadline and free the body's memory.
func TestSlowBodyIsCutOffAtTheDeadline(t *testing.T) {
	c := newCluster(t, 1, 1)
	conn, err := net.Dial("tcp", c.hosts[0].callersAddr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n", api.PathRequests)
	assert.NilError(t, err)
	for name, value := range map[string]string{
		api.HeaderRequest: "slow-00001", api.HeaderAttempt: "1", api.HeaderTeam: teamName, api.HeaderModel: modelName,
		api.HeaderPromptTokens: "100", api.HeaderAnswerTokens: "5", api.HeaderIdempotent: "true",
		api.HeaderBodyChecksum: "0", api.HeaderBudget: "300",
	} {
		_, err = fmt.Fprintf(conn, "%s: %s\r\n", name, value)
		assert.NilError(t, err)
	}
	_, err = fmt.Fprint(conn, "\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err, "the host must close the connection")
	assert.Assert(t, strings.Contains(string(answer), string(api.OutcomeNotRun)), "%s", answer)
	c.hosts[0].waitFor(func(s api.Status) bool { return s.Requests.BodyBytes == 0 && s.Requests.Running == 0 })
}

func TestUnknownPathsGetATypedError(t *testing.T) {
	c := newCluster(t, 1, 1)
	for _, address := range []string{c.hosts[0].callersAddr, c.hosts[0].operatorsAddr} {
		_, text := get(t, "http://"+address+"/v1/no-such-path", "")
		var apiErr api.Error
		assert.NilError(t, json.Unmarshal([]byte(text), &apiErr))
		assert.Equal(t, apiErr.Outcome, api.OutcomeNotRun)
		assert.Equal(t, apiErr.Code, api.CodeMalformed)
	}
}
