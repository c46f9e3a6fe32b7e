package netdial

import "net/http"

// ReturnRedirect is a CheckRedirect that makes an http.Client return a redirect instead of following it. Neither targets nor
// hosts send any.
func ReturnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
