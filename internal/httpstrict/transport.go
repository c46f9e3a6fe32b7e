package httpstrict

import (
	"cmp"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// MaxHeadBytes bounds the head of an answer, with those of the informational answers before it. net/http reads 10 MB.
const MaxHeadBytes = 64 << 10

// transport is an http.RoundTripper that returns the error of Check in place of an answer with a malformed head, also if that is the head
// of an informational answer before it.
type transport struct{ base *http.Transport }

// NewTransport returns a transport that rejects answers with malformed heads or trailers. It sends requests by base, of which it sets that
// it speaks HTTP/1, that no encoding is asked for and, unless base states one, a bound of MaxHeadBytes for heads.
func NewTransport(base *http.Transport) http.RoundTripper {
	base.Protocols = &http.Protocols{}
	base.Protocols.SetHTTP1(true)
	base.DisableCompression = true
	base.MaxResponseHeaderBytes = cmp.Or(base.MaxResponseHeaderBytes, MaxHeadBytes)
	return transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInformational} // WithClientTrace changes it
	ctx := httptrace.WithClientTrace(req.Context(), trace)
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
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
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
