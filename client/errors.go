package client

import "fmt"

// ProtocolError reports an answer other than 200 OK whose body is not an api.Error.
type ProtocolError struct{ Status int }

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected answer with status %d", e.Status)
}
