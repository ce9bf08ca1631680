package instance

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/birchdrift/birchdrift/core/code"
)

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
func (m *Machine) claim(c *call) {
	if m.platform.down {
		m.refuse(c, notRun(code.PlatformDown, "the idempotency key cannot be claimed now", m.comeBack(platformMax)))
		return
	}
	c.phase = claiming
	c.claims++
	m.out.Do(Claim{ID: c.ID, Key: c.claimKey, Life: m.opt.ClaimLife})
}

func (m *Machine) claimReply(e ClaimReply) {
	c := m.calls[e.ID]
	if c == nil || c.phase != claiming {
		return
	}
	switch e.Outcome {
	case ClaimWon:
		c.phase = waiting
		m.place(c)
	case ClaimLost:
		c.claimKey = "" // another's; not ours to release
		m.refuse(c, notRun(code.KeyClaimed, "another call with this key was accepted earlier", 0))
	case ClaimUnknown:
		m.readBack(c)
	case ClaimAbsent, ClaimNotSent:
		m.claimAgain(c)
	}
}

// readBack finds out whether a claim whose answer was lost took effect.
func (m *Machine) readBack(c *call) {
	if c.claims >= claimTries {
		m.giveUpClaim(c)
		return
	}
	c.claims++
	m.out.Do(ReadClaim{ID: c.ID, Key: c.claimKey})
}

// claimAgain repeats the claim. A first request that is still on its way can
// do no harm: it carries the same value, so reading back recognises it.
func (m *Machine) claimAgain(c *call) {
	if c.claims >= claimTries {
		m.giveUpClaim(c)
		return
	}
	m.claim(c)
}

func (m *Machine) giveUpClaim(c *call) {
	m.refuse(c, notRun(code.PlatformDown, "the idempotency key could not be claimed", m.comeBack(platformMax)))
}

// releaseClaim gives up the claim of a call that certainly did not run, so
// that the caller may come back with the same key.
func (m *Machine) releaseClaim(c *call) {
	if c.claimKey == "" || c.claims == 0 {
		return
	}
	m.out.Do(ReleaseClaim{ID: c.ID, Key: c.claimKey})
	c.claimKey = ""
}
