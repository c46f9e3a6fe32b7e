// Package httpstrict rejects HTTP answers that net/http accepts although their heads or trailers are malformed. Nothing of such an answer
// counts: neither its status nor its fields, and not its body, whose length may be another one.
package httpstrict

import (
	"fmt"
	"net/http"

	"carobshunt/internal/shorttext"

	"golang.org/x/net/http/httpguts"
)

// VersionError is returned for an answer in another major version of HTTP than 1, which has another form.
type VersionError struct{ Version string }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the answer has the invalid version %s", e.Version)
}

// StatusError is returned for an answer whose status no answer can have: one outside of the range that RFC 9110, section 15, defines, or
// 101, since no request here asks for another protocol.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer has the invalid status %03d", e.Status)
}

// FieldNameError is returned for an answer with a field whose name is no token (RFC 9110, section 5.1). net/http accepts blanks there.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("the answer has a field with the invalid name %q", shorttext.Cut(e.Name, maxNameBytes))
}

// maxNameBytes bounds the part of a name that the text of an error repeats.
const maxNameBytes = 64

// Range of the statuses that answers may have, informational ones included.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error for an answer, final or informational, whose head is malformed. Otherwise it makes reads of the body return an
// error in place of io.EOF if the trailer is malformed.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &VersionError{Version: resp.Proto}
	}
	status := resp.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &StatusError{Status: status}
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody { // only chunks have a trailer
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// checkNames returns an error for a field whose name is malformed.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}
