package httpstrict

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that returns the error of Check in place of an answer with a malformed head, also if that is the head
// of an informational answer before it.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInformational} // WithClientTrace changes it
	ctx := httptrace.WithClientTrace(req.Context(), trace)
	resp, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkInformational returns an error, which ends the request, for an informational answer with a malformed head.
func checkInformational(_ int, fields textproto.MIMEHeader) error {
	return checkNames(http.Header(fields))
}

// CloseIdleConnections closes the idle connections of the transport; http.Client calls it.
func (t Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
