package httpstrict_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"carobshunt/internal/httpstrict"
	"carobshunt/internal/testhead"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// getFrom sends a request by a transport of the package to a server that answers with a text, and returns the body.
func getFrom(t *testing.T, answer string) (string, error) {
	t.Helper()
	client := &http.Client{Transport: httpstrict.NewTransport(&http.Transport{DisableKeepAlives: true})}
	resp, err := client.Get("http://" + testhead.Serve(t, answer))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestMalformedHeadIsAnError guards against answers that count although their heads are malformed.
func TestMalformedHeadIsAnError(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Length: 4\r\n") {
		body, err := getFrom(t, head+"body")
		assert.Check(t, err != nil, "%s: %q", name, body)
	}
}

// TestSoundHeadIsAccepted guards against sound answers that are dropped for an unusual but legal head.
func TestSoundHeadIsAccepted(t *testing.T) {
	for name, head := range testhead.Sound("Content-Length: 4\r\n") {
		body, err := getFrom(t, head+"body")
		assert.Check(t, err == nil && body == "body", "%s: %q, %v", name, body, err)
	}
}

// TestMalformedTrailerIsAnError guards against the same behind the body of an answer in chunks.
func TestMalformedTrailerIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for trailer, sound := range map[string]bool{
		"": true, "X-Odd: a\r\n": true, "X-Odd: a\r\n b\r\n": true,
		"X Odd: a\r\n": false, "X-Odd : a\r\n": false, "X\x01Odd: a\r\n": false, "X-Odd: a\r\nX Odd: a\r\n": false,
	} {
		body, err := getFrom(t, head+trailer+"\r\n")
		assert.Check(t, (err == nil) == sound, "%q: %v", trailer, err)
		assert.Equal(t, body, "body")
	}
}

// TestErrorsSayWhatIsMalformed guards against errors that can't be told apart, or that repeat a name of any length.
func TestErrorsSayWhatIsMalformed(t *testing.T) {
	var status *httpstrict.StatusError
	_, err := getFrom(t, "HTTP/1.1 000 Odd\r\n\r\n")
	assert.Assert(t, errors.As(err, &status), "%v", err)
	assert.Equal(t, status.Status, 0)
	var version *httpstrict.VersionError
	_, err = getFrom(t, "HTTP/2.0 200 OK\r\n\r\n")
	assert.Assert(t, errors.As(err, &version), "%v", err)
	assert.Equal(t, version.Version, "HTTP/2.0")
	var name *httpstrict.FieldNameError
	_, err = getFrom(t, "HTTP/1.1 200 OK\r\nX "+strings.Repeat("x", 10_000)+": a\r\n\r\n")
	assert.Assert(t, errors.As(err, &name), "%v", err)
	assert.Assert(t, len(err.Error()) < 300, "%v", err)
}

// TestStatusesOfAnswers guards against a status at the border of the legal range that is judged wrongly.
func TestStatusesOfAnswers(t *testing.T) {
	for status, legal := range map[int]bool{
		0: false, 99: false, 100: true, 101: false, 102: true, 199: true, 200: true, 599: true, 600: false, 999: false,
	} {
		assert.Equal(t, httpstrict.Check(&http.Response{ProtoMajor: 1, StatusCode: status}) == nil, legal, "%d", status)
	}
}
