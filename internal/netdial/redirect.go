package netdial

import "net/http"

// MaxHeadBytes bounds the heads of answers that HTTP clients of a host read, informational ones included. net/http reads 10 MB.
const MaxHeadBytes = 64 << 10

// ReturnRedirect is a CheckRedirect that makes an http.Client return a redirect instead of following it. Neither targets nor
// hosts send any.
func ReturnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
