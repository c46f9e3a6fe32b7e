package httpwire

import "time"

// unnamedPause is how long no connection to a target is kept after it gave an answer that names no attempt. It covers the
// pauses between the refusals of a target that is full now and then.
const unnamedPause = 10 * time.Second

// UnnamedAnswer records that a target gave an answer that names no attempt. On a connection that carried an earlier request
// nothing shows which request such an answer belongs to, so connections to the target are used once for a while.
func (p *Pool) UnnamedAnswer(target string) {
	for _, c := range p.refuseToKeep(target) {
		_ = c.Close()
	}
}

// refuseToKeep begins or extends the pause of a target. It removes and returns the idle connections.
func (p *Pool) refuseToKeep(target string) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	delete(p.idle, target)
	p.unnamed[target] = time.Now().Add(unnamedPause)
	return idle
}

// forgetPauses drops the pauses that are over. The lock must be held.
func (p *Pool) forgetPauses() {
	now := time.Now()
	for target, until := range p.unnamed {
		if now.After(until) {
			delete(p.unnamed, target)
		}
	}
}

// unnamedWait is how long the answer to a request is awaited after one that names no attempt: a late copy of an earlier
// answer comes where the next one is due, so the answer follows at once, if the target has not given it already.
const unnamedWait = time.Second

// AwaitAfterUnnamed bounds the wait for the next answer, after one that names no attempt.
func (c *Conn) AwaitAfterUnnamed() { c.setReadDeadline(time.Now().Add(unnamedWait)) }

// AwaitWithoutBound ends the bound that AwaitAfterUnnamed has set.
func (c *Conn) AwaitWithoutBound() { c.setReadDeadline(time.Time{}) }

// setReadDeadline ignores the error of a connection that was closed, which the next read returns.
func (c *Conn) setReadDeadline(at time.Time) { _ = c.SetReadDeadline(at) }
