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

// A ClaimOutcome is what came of a claim.
type ClaimOutcome int

// The outcomes of a claim.
const (
	ClaimWon     ClaimOutcome = iota + 1 // this call holds the claim
	ClaimLost                            // another call holds it
	ClaimAbsent                          // reading back found none
	ClaimUnknown                         // the answer was lost
	ClaimNotSent                         // the request certainly never left
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
	// ReleaseClaim is an action: give up a claim whose call certainly did not
	// run.
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

// maxClaimRequests is how many requests are sent for one claim before it is given up.
const maxClaimRequests = 6

// claimKey names the claim of a caller's idempotency key for one service. The
// parts are hashed with their lengths fixed by the separator, which no name
// and no header value can hold.
func claimKey(caller, service, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + service + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// claim asks the platform for the call's idempotency key. While the platform
// is known to be down the call is refused at once: it has not run, and holding
// it would help nobody.
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

// HandleClaimReply takes in what came of a claim, or of reading one back.
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
		s.claimKey = "" // another's; not ours to release
		h.Calls.Refuse(c, calls.NotRunRefusal(code.KeyClaimed, "another call with this key was accepted earlier", 0))
	case ClaimUnknown:
		h.readClaim(c)
	case ClaimAbsent, ClaimNotSent:
		h.retryClaim(c)
	}
}

// readClaim finds out whether a claim whose answer was lost took effect.
func (h *Handler) readClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimRequests >= maxClaimRequests {
		h.giveUpClaim(c)
		return
	}
	s.claimRequests++
	h.Out.Emit(ReadClaim{ID: c.ID, Key: s.claimKey})
}

// retryClaim repeats the claim. A first request that is still on its way can
// do no harm: it carries the same value, so reading back recognises it.
func (h *Handler) retryClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimRequests >= maxClaimRequests {
		h.giveUpClaim(c)
		return
	}
	h.claim(c)
}

func (h *Handler) giveUpClaim(c *calls.Call) {
	h.Calls.Refuse(c, calls.NotRunRefusal(code.PlatformDown, "the idempotency key could not be claimed", h.Calls.RetryAfter(outage.DefaultMaxRetryDelay)))
}

// releaseClaim gives up the claim of a call that certainly did not run, so
// that the caller may come back with the same key.
func (h *Handler) releaseClaim(c *calls.Call) {
	s := stateOf(c)
	if s.claimKey == "" || s.claimRequests == 0 {
		return
	}
	h.Out.Emit(ReleaseClaim{ID: c.ID, Key: s.claimKey})
	s.claimKey = ""
}
