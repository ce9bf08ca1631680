package modelcalls

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/outage"
)

// A ClaimOutcome is the outcome of a claim request.
type ClaimOutcome int

// The outcomes of a claim.
const (
	ClaimWon     ClaimOutcome = iota + 1 // this call holds the claim
	ClaimLost                            // another call holds it
	ClaimAbsent                          // reading it back found no claim
	ClaimUnknown                         // the answer was lost
	ClaimNotSent                         // the request was certainly not sent
)

type (
	// Claim is an action: claim an idempotency key.
	Claim struct {
		ID   calls.ID
		Key  string
		Life time.Duration
	}
	// ReadClaim is an action: read back a claim whose answer was lost.
	ReadClaim struct {
		ID  calls.ID
		Key string
	}
	// ReleaseClaim is an action: release the claim of a call that certainly did not run.
	ReleaseClaim struct {
		ID  calls.ID
		Key string
	}
	// ClaimReply is the event that answers a Claim or a ReadClaim.
	ClaimReply struct {
		ID      calls.ID
		Outcome ClaimOutcome
	}
)

// IsAction implements step.Action.
func (Claim) IsAction() {}

// IsAction implements step.Action.
func (ReadClaim) IsAction() {}

// IsAction implements step.Action.
func (ReleaseClaim) IsAction() {}

// IsEvent implements step.Event.
func (ClaimReply) IsEvent() {}

// maxClaimRequests is the number of requests sent for one claim before the call is
// refused.
const maxClaimRequests = 6

// claimKey returns the store key of the claim for a caller's idempotency key and a
// service. The parts are hashed with a separator that no name and no header value can
// contain, so that different parts never give the same input.
func claimKey(caller, service, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + service + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// claim requests the call's idempotency key from the platform. If the platform is known
// to be down, the call is refused immediately: it has not run, and there is no benefit in
// holding it.
func (h *Handler) claim(c *calls.Call) {
	s := stateOf(c)
	if h.Outage.Down() {
		h.Calls.Refuse(c, calls.NotRunRefusal(code.PlatformDown, "the idempotency key cannot be claimed now", h.Calls.RetryAfter(outage.DefaultMaxRetryDelay)))
		return
	}
	c.Phase = calls.ClaimingKey
	s.claimRequests++
	h.Out.Emit(Claim{ID: c.ID, Key: s.claimKey, Life: h.Options.ClaimLife})
}

// HandleClaimReply handles the reply to a Claim or a ReadClaim.
func (h *Handler) HandleClaimReply(now clock.Instant, e ClaimReply) {
	c := h.Calls.Get(e.ID)
	if c == nil || c.Phase != calls.ClaimingKey {
		return
	}
	s := stateOf(c)
	switch e.Outcome {
	case ClaimWon:
		c.Phase = calls.Waiting
		h.findReplica(now, c)
	case ClaimLost:
		s.claimKey = "" // held by another call, so it must not be released
		h.Calls.Refuse(c, calls.NotRunRefusal(code.KeyClaimed, "another call with this key was accepted earlier", 0))
	case ClaimUnknown:
		h.readClaim(c)
	case ClaimAbsent, ClaimNotSent:
		h.retryClaim(c)
	}
}

// readClaim reads the claim back to find out whether a request whose answer was lost took
// effect.
func (h *Handler) readClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimRequests >= maxClaimRequests {
		h.giveUpClaim(c)
		return
	}
	s.claimRequests++
	h.Out.Emit(ReadClaim{ID: c.ID, Key: s.claimKey})
}

// retryClaim sends the claim again. An earlier request that is still in flight does no
// harm: it writes the same value, so reading it back recognizes it.
func (h *Handler) retryClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimRequests >= maxClaimRequests {
		h.giveUpClaim(c)
		return
	}
	h.claim(c)
}

// giveUpClaim refuses a call whose claim remained unresolved after maxClaimRequests.
func (h *Handler) giveUpClaim(c *calls.Call) {
	h.Calls.Refuse(c, calls.NotRunRefusal(code.PlatformDown, "the idempotency key could not be claimed", h.Calls.RetryAfter(outage.DefaultMaxRetryDelay)))
}

// releaseClaim releases the claim of a call that certainly did not run, so that the
// caller may use the same key again.
func (h *Handler) releaseClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimKey == "" || s.claimRequests == 0 {
		return
	}
	h.Out.Emit(ReleaseClaim{ID: c.ID, Key: s.claimKey})
	s.claimKey = ""
}
