// Package httpstrict rejects HTTP answers that net/http accepts although their heads are malformed. Nothing of such an answer counts:
// neither its status nor its fields, and not its body, whose length may be another one.
package httpstrict

import (
	"fmt"
	"net/http"
)

// StatusError is returned for an answer whose status no answer can have: one outside of the range that RFC 9110, section 15, defines, or
// 101, since no request here asks for another protocol.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer has the invalid status %03d", e.Status)
}

// Range of the statuses that answers may have, informational ones included.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error for an answer, final or informational, whose head is malformed.
func Check(resp *http.Response) error {
	status := resp.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &StatusError{Status: status}
	}
	return nil
}

// Transport is an http.RoundTripper that returns the error of Check in place of an answer with a malformed head.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport; http.Client calls it.
func (t Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
