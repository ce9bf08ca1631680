package permits

import (
	"slices"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
)

// Retries that instances lend each other. An instance that has not one whole retry left borrows
// what is missing: in a large fleet many instances have only a part of one.

// maxLenders is the number of peers that are asked in turn for one retry: each takes a round
// trip, and few more have one left if these have not (docs/design/limits.md).
const maxLenders = 3

// BorrowRetry asks peers for what this instance lacks of one retry of a call of a service.
// Decided is called with what they lent, possibly before BorrowRetry returns.
func (p *Permits) BorrowRetry(now clock.Instant, service string, call calls.ID) {
	p.borrow(now, &pendingRequest{request: Request{Resource: Resource{Service: service}}, call: call, sentAt: now})
}

// borrow asks the next peer for what is missing, or delivers what was borrowed.
func (p *Permits) borrow(now clock.Instant, req *pendingRequest) {
	req.request.Retries = 1 - p.RetriesLeft(now, req.request.Service) - req.borrowed
	lender := p.chooseLender(now, req)
	if lender == "" || req.request.Retries <= 0 {
		p.deliver(now, req, Decision{Retries: req.borrowed})
		return
	}
	req.lenders = append(req.lenders, lender)
	req.peer = lender
	req.sentAt = now
	p.lastToken++
	p.pending[p.lastToken] = req
	p.send(now, p.lastToken, lender, req.request)
}

// addBorrowed adds what a peer lent. It is void if it took too long to arrive.
func (p *Permits) addBorrowed(now clock.Instant, req *pendingRequest, retries float64) {
	if now.MaxElapsed(req.sentAt) < permitTTL {
		req.borrowed += min(max(0, retries), req.request.Retries)
	}
	p.borrow(now, req)
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

// lend handles a peer's request for retries: they are taken from this instance's own part of
// the retry budget.
func (p *Permits) lend(now clock.Instant, e RequestReceived) {
	lent := 0.0
	if !e.Request.Unused {
		lent = p.TakeRetries(now, e.Request.Service, min(e.Request.Retries, 1))
	}
	p.Out.Emit(SendReply{Token: e.Token, Verdict: Decision{Retries: lent}})
}
