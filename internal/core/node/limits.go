package node

import (
	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/hostlist"
)

// cost returns the tokens that a request takes from its team's limit.
func cost(req *core.Request) int64 { return req.PromptTokens + req.AnswerTokens }

// checkTeamLimit takes the request's tokens from its team's limit. It must be the last check, so that a request that
// is refused for another reason is not charged.
func (n *Node) checkTeamLimit(req *core.Request) core.Result {
	if n.unmetered(req) {
		return core.Result{}
	}
	if !n.limits.Serves(req.Team) {
		return core.Result{
			Code:       api.CodeNotServed,
			Message:    "other hosts serve this team",
			RetryAfter: n.retryAfter(overloadRetryAfter),
		}
	}
	wait, ok := n.limits.Take(n.now, req.Team, cost(req))
	if ok {
		return core.Result{}
	}
	return core.Result{
		Code:       api.CodeTeamLimit,
		Message:    "the team's limit is used up",
		RetryAfter: wait + n.retryAfter(overloadRetryAfter),
	}
}

// refund returns the tokens of a request that did not run to its team's limit.
func (n *Node) refund(rec *ledger.Record) {
	if n.unmetered(&rec.Request) {
		return
	}
	n.limits.Refund(n.now, rec.Request.Team, cost(&rec.Request))
}

// setLimitRates applies the published rates of the teams to the limiter.
func (n *Node) setLimitRates() {
	teams := n.config.Document().Teams
	rates := make([]limit.Rate, len(teams))
	for i, t := range teams {
		rates[i] = limit.Rate{Team: t.Name, TokensPerSecond: t.TokensPerSecond}
	}
	n.limits.SetRates(n.now, rates)
}

// borrowers returns the peers that request a share of this host's rates. Demands older than half of limit.Term are
// left out: of a grant for them, less than half of the term would be left, if any.
func (n *Node) borrowers() []limit.Borrower {
	var out []limit.Borrower
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if !p.Known || n.now-p.LastSeen > limit.Term/2 || len(p.Last.Demands) == 0 {
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

// settleLimits lets this host's shares of the limits grow once every listed entry host is alive and has the host list
// in force, or a later one.
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
