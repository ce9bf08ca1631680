package permits

import (
	"slices"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
)

// Retries that instances lend each other.

// maxLenders is the number of peers that are asked in turn for one retry: each takes a round
// trip, and few more have one left if these have not (docs/design/limits.md).
const maxLenders = 3

// RequestForRetry requests a permit to retry a call of a service, since this instance has used
// up its own part of the retry budget. Decided is called with the decision, possibly before
// RequestForRetry returns.
func (p *Permits) RequestForRetry(now clock.Instant, service string, call calls.ID) {
	p.borrow(now, &pendingRequest{request: Request{Resource: Resource{Service: service}}, call: call, sentAt: now})
}

// borrow asks the next peer for a retry. After maxLenders peers the request is denied.
func (p *Permits) borrow(now clock.Instant, req *pendingRequest) {
	lender := p.chooseLender(now, req)
	if lender == "" {
		p.deliver(now, req, Decision{})
		return
	}
	req.lenders = append(req.lenders, lender)
	req.peer = lender
	req.sentAt = now
	p.lastToken++
	p.pending[p.lastToken] = req
	p.send(now, p.lastToken, lender, req.request)
}

// chooseLender returns a random peer that was not asked yet, "" if there is none or enough
// were asked.
func (p *Permits) chooseLender(now clock.Instant, req *pendingRequest) string {
	if len(req.lenders) >= maxLenders {
		return ""
	}
	var candidates []string
	for _, peer := range p.Members.Peers() {
		if !slices.Contains(req.lenders, peer.Name) && p.isCandidate(now, peer.Name) {
			candidates = append(candidates, peer.Name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[p.Rand.IntN(len(candidates))]
}

// lend handles a peer's request for a retry: it is charged to this instance's own part of the
// retry budget.
func (p *Permits) lend(now clock.Instant, e RequestReceived) {
	granted := !e.Request.Unused && p.SpendRetry(now, e.Request.Service)
	p.Out.Emit(SendReply{Token: e.Token, Verdict: Decision{Granted: granted}})
}
