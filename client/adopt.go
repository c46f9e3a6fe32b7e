package client

import (
	"net/http"

	"carobshunt/api"
)

// adoption is the stream at an engine that another host can go on with when the host that started it is gone.
type adoption struct {
	host   string
	target string
	stream string
}

// record keeps what is known of the stream of an answer that broke off. Only an idempotent request can be adopted: for
// any other, its home alone may speak.
func (a *adoption) record(answer *assembly, host string, idempotent bool) {
	if idempotent && answer.stream != "" {
		*a = adoption{host: host, target: answer.target, stream: answer.stream}
	}
}

// setHeaders names the stream to a host other than the one that served it.
func (a *adoption) setHeaders(h http.Header, host string) {
	if a.stream == "" || host == a.host {
		return
	}
	h.Set(api.HeaderAdoptTarget, a.target)
	h.Set(api.HeaderAdoptStream, a.stream)
}
