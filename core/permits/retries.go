package permits

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Retries that instances lend each other. An instance that has not one whole retry left borrows
// what is missing: in a large fleet many instances have only a part of one.

const (
	// maxLenders is the number of peers that are asked in turn for one retry: each takes a
	// round trip, and few more have one left if these have not (docs/design/limits.md).
	maxLenders = 4
	// emptyLenderPause is how long a peer that lent less than was asked for is not asked again:
	// it has nothing left, and earns little in that time (docs/design/limits.md).
	emptyLenderPause = 200 * time.Millisecond
)

// A lenderKey identifies a peer's part of the retry budget of a service.
type lenderKey struct{ peer, service string }

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
	if retries < req.request.Retries {
		p.emptyLenders[lenderKey{req.peer, req.request.Service}] = now.Add(emptyLenderPause)
	}
	if now.MaxElapsed(req.sentAt) < permitTTL {
		req.borrowed += min(max(0, retries), req.request.Retries)
	}
	p.borrow(now, req)
}

// chooseLender returns a peer that was not asked yet and may have retries left, "" if there is
// none or enough were asked. The order of the peers differs from call to call.
func (p *Permits) chooseLender(now clock.Instant, req *pendingRequest) string {
	if len(req.lenders) >= maxLenders {
		return ""
	}
	key := rendezvous.Key(fmt.Sprintf("%s/%d/%d", p.Self.Name, p.Self.Boot, req.call))
	lender, best := "", uint64(0)
	for _, peer := range p.Members.Peers() {
		empty := now.Before(p.emptyLenders[lenderKey{peer.Name, req.request.Service}])
		if empty || slices.Contains(req.lenders, peer.Name) || !p.isCandidate(now, peer.Name) {
			continue
		}
		if score := rendezvous.Score(key, peer.Name); lender == "" || score > best {
			lender, best = peer.Name, score
		}
	}
	return lender
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

// dropEmptyLenders forgets the peers that may be asked again.
func (p *Permits) dropEmptyLenders(now clock.Instant) {
	maps.DeleteFunc(p.emptyLenders, func(_ lenderKey, until clock.Instant) bool { return !now.Before(until) })
}
