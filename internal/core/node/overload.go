package node

import (
	"fmt"

	"carobshunt/api"
	"carobshunt/internal/core"
)

// stepLagged records the lag of the current step.
func (n *Node) stepLagged(in StepLagged) {
	if !n.overload.Observe(n.now, in.Lag) {
		return
	}
	text := fmt.Sprintf("%v: new requests are refused", in.Lag)
	if !n.overload.Closed() {
		text = fmt.Sprintf("%v, at most %v: new requests are admitted again", in.Lag, n.overload.Worst())
	}
	n.do(StateChange{Event: EventOverload, Text: text})
}

// checkOverload refuses a request while the control goroutine lags: it would be answered late, and make others late.
func (n *Node) checkOverload(*core.Request) core.Result {
	if !n.overload.Closed() {
		return core.Result{}
	}
	return core.Result{Code: api.CodeOverloaded, Message: "this host is overloaded", RetryAfter: n.retryAfter(contentionRetryAfter)}
}
