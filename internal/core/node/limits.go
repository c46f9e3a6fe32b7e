package node

import (
	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/hostlist"
)

// cost is what a request takes from its team's limit, in tokens.
func cost(req *core.Request) int64 { return req.PromptTokens + req.AnswerTokens }

// checkTeamLimit takes the request's tokens from its team's account. It must be the last check, since a request
// that is refused for another reason must not pay.
func (n *Node) checkTeamLimit(req *core.Request) core.Result {
	if n.unmetered(req) {
		return core.Result{}
	}
	if !n.limits.Serves(req.Team) {
		return core.Result{
			Code:       api.CodeNotServed,
			Message:    "other hosts serve this team",
			RetryAfter: n.retryAfter(afterOverload),
		}
	}
	wait, ok := n.limits.Take(n.now, req.Team, cost(req))
	if ok {
		return core.Result{}
	}
	return core.Result{
		Code:       api.CodeTeamLimit,
		Message:    "the team's limit is used up",
		RetryAfter: wait + n.retryAfter(afterOverload),
	}
}

// refund gives back the tokens of a request that did not run.
func (n *Node) refund(rec *ledger.Record) {
	if n.unmetered(&rec.Request) {
		return
	}
	n.limits.Return(n.now, rec.Request.Team, cost(&rec.Request))
}

// limitRates hands the published limits to the accounts.
func (n *Node) limitRates() {
	teams := n.config.Document().Teams
	rates := make([]limit.Rate, len(teams))
	for i, t := range teams {
		rates[i] = limit.Rate{Team: t.Name, TokensPerSecond: t.TokensPerSecond}
	}
	n.limits.SetRates(n.now, rates)
}

// borrowers are the peers that ask for a part of this host's rates. A demand that is older than half a term is left
// out: a grant for it would be over before it could be used.
func (n *Node) borrowers() []limit.Borrower {
	var out []limit.Borrower
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if !p.Known || n.now-p.Heard > limit.Term/2 || len(p.Last.Demands) == 0 {
			continue
		}
		out = append(out, limit.Borrower{
			Peer:        address,
			Incarnation: p.Last.Incarnation,
			ClockMs:     p.Last.ClockMs,
			Demands:     p.Last.Demands,
		})
	}
	return out
}

// settleLimits lets shares grow once every listed host has shown that it knows the host list in force.
func (n *Node) settleLimits() {
	if n.hosts == nil {
		return
	}
	for _, h := range n.hosts.Hosts {
		if h.Role != hostlist.RoleEntry || h.Peer == n.opts.Peer {
			continue
		}
		p := n.peers.Get(h.Peer)
		if p == nil || !p.Alive(n.now) || p.Last.HostsVersion < n.hosts.Version {
			return
		}
	}
	n.limits.Settle(n.now)
}
