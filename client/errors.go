package client

import "fmt"

// ProtocolError reports an answer that is not of this protocol.
type ProtocolError struct{ Status int }

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected answer with status %d", e.Status)
}
