package bounds

import "time"

// RejectionWindow is the window in which the rejections of a replica are counted that fails if it
// must reject too many requests.
const RejectionWindow = time.Second

const (
	// rejectionReserve is the share of the limit that is left unused, for rejections that no
	// request of the instances caused. It is rounded down, so small limits are used up.
	rejectionReserve = 0.25
	// rejectionMargin is how much longer than the window a token stays in use, since timers
	// differ.
	rejectionMargin = 100 * time.Millisecond
	// maxRejectionTokens bounds the tokens of one replica: more requests than any replica has
	// without an answer.
	maxRejectionTokens = 64
	// maxRoom bounds the room that is counted, and so the work of assigning the tokens of a replica.
	maxRoom = 1024
	// roomReserve is the number of places of a replica that are left out of account, since a new
	// connection may take one.
	roomReserve = 1
)

// LinkReportTTL is how long an instance relies on a peer's report of the links that it has lost.
const LinkReportTTL = 3 * time.Second

// Rejections derives from the number of requests that a replica can reject within
// RejectionWindow how many requests the instances may have there that it has not answered.
//
// Each such request takes a token. The token of a request that the replica answers becomes free;
// that of a rejected one stays in use for Hold. A replica rejects a request only while it has as
// many others as it has room for, and these have tokens too. So all tokens beyond the room cause
// one rejection each within the window, at most.
type Rejections struct {
	Limit  int // requests that the replica can reject within RejectionWindow
	Room   int // requests that it never rejects
	Tokens int
	Hold   time.Duration
}

// NewRejections returns the derived values for a limit and a replica that works on the given
// number of requests at a time; 0 if that does not say how many it takes. A replica that can
// reject nothing and whose room is unknown gets one request at a time, since it would serve
// nothing otherwise.
func NewRejections(limit, places int) Rejections {
	room := min(max(0, places-roomReserve), maxRoom)
	usable := limit - int(rejectionReserve*float64(limit))
	return Rejections{
		Limit:  limit,
		Room:   room,
		Tokens: min(max(1, room+usable), room+maxRejectionTokens),
		Hold:   RejectionWindow + rejectionMargin,
	}
}

// RejectionSettle returns how long an instance holds no tokens after others may have considered it
// unable to send. registered means that it was not registered before; otherwise it had lost its
// links.
func (b Bounds) RejectionSettle(registered bool) time.Duration {
	if registered {
		return b.Leave // by then all instances act on its registration
	}
	return LinkReportTTL + b.share(reserveShare)
}
