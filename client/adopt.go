package client

import (
	"net/http"

	"carobshunt/api"
)

// adoption names an engine's stream that another host can take over if the host that started it is gone.
type adoption struct {
	host   string
	target string
	stream string
}

// record stores the stream of an interrupted answer that host served. Only the stream of an idempotent request can be
// adopted: for any other request, only its home knows the outcome.
func (a *adoption) record(answer *assembly, host string, idempotent bool) {
	if idempotent && answer.stream != "" {
		*a = adoption{host: host, target: answer.target, stream: answer.stream}
	}
}

// setHeaders adds the stream to a request to host, unless host is the one that served it.
func (a *adoption) setHeaders(h http.Header, host string) {
	if a.stream == "" || host == a.host {
		return
	}
	h.Set(api.HeaderAdoptTarget, a.target)
	h.Set(api.HeaderAdoptStream, a.stream)
}
