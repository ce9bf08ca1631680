package integration

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/standin/fault"
	"github.com/birchdrift/birchdrift/standin/platform"
)

// TestPlatformContract runs the key-value client against the stand-in with a table of
// faults. It checks the result of a swap and the value stored afterwards.
func TestPlatformContract(t *testing.T) {
	cases := []struct {
		name     string
		faults   platform.Faults
		limits   func(*platform.Limits)
		expect   uint64 // revision that the swap expects; the value's is 1
		err      error  // expected error of the swap; nil: it must succeed
		anyErr   bool   // the swap must fail with an error other than ErrNotSent
		inEffect bool
	}{
		{"no fault", platform.Faults{}, nil, 1, nil, false, true},
		{"concurrent write", platform.Faults{}, nil, 0, keyvalue.ErrConflict, false, false},
		{"reply lost after the effect", platform.Faults{Lost: 1}, nil, 1, nil, true, true},
		{"down", platform.Faults{Down: true}, nil, 1, nil, true, false},
		{"slow", platform.Faults{Slow: fault.Duration(50 * time.Millisecond)}, nil, 1, nil, false, true},
		{"over the rate limit", platform.Faults{}, func(l *platform.Limits) { l.WritesPerSecond = 1 }, 1, nil, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTestbed(t)
			if c.limits != nil {
				limits := platform.DefaultLimits()
				c.limits(&limits)
				tb.usePlatform(platform.New(limits))
			}
			ctx := context.Background()
			first, err := tb.client().CompareAndSwap(ctx, "k", []byte("old"), 0, 0)
			is.NoErr(err)
			is.Equal(first, uint64(1))
			tb.platform.Faults.Set(c.faults)
			_, err = tb.client().CompareAndSwap(ctx, "k", []byte("new"), c.expect, 0)
			switch {
			case c.anyErr:
				is.True(err != nil)
				is.True(!errors.Is(err, keyvalue.ErrNotSent)) // part of the request had been sent
			case c.err != nil:
				is.True(errors.Is(err, c.err))
			default:
				is.NoErr(err)
			}
			tb.platform.Faults.Set(platform.Faults{})
			v, err := tb.client().Get(ctx, "k", 0, 0)
			is.NoErr(err)
			is.Equal(string(v.Data) == "new", c.inEffect)
		})
	}
}

// TestPlatformConnectionRefused checks that a refused connection is reported as
// ErrNotSent. Only then is a request certainly not sent.
func TestPlatformConnectionRefused(t *testing.T) {
	is := is.New(t)
	_, err := keyvalue.NewClient("127.0.0.1:1", transports()).CompareAndSwap(context.Background(), "k", nil, 0, 0)
	is.True(errors.Is(err, keyvalue.ErrNotSent))
}

// TestPlatformWatch checks that a watch returns on a change, and without one when its
// wait has passed.
func TestPlatformWatch(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	ctx := context.Background()
	revision, err := tb.client().CompareAndSwap(ctx, "k", []byte("a"), 0, 0)
	is.NoErr(err)
	v, err := tb.client().Get(ctx, "k", revision, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(v.Revision, revision)
	is.Equal(len(v.Data), 0) // no change, so no data
	woken := make(chan keyvalue.Value, 1)
	go func() {
		v, _ := tb.client().Get(ctx, "k", revision, watchWait)
		woken <- v
	}()
	_, err = tb.client().CompareAndSwap(ctx, "k", []byte("b"), revision, 0)
	is.NoErr(err)
	is.Equal(string((<-woken).Data), "b")
}

// TestPlatformLease checks that a lease has one holder at a time, that fencing tokens only
// rise, and that a lease that expired or was released can be granted to another holder.
func TestPlatformLease(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	ctx := context.Background()
	ask := func(holder string, term time.Duration, renew uint64) keyvalue.LeaseReply {
		r, err := tb.client().AcquireLease(ctx, "planner/z", keyvalue.LeaseRequest{Holder: holder, TermMS: term.Milliseconds(), Renew: renew})
		is.NoErr(err)
		return r
	}
	a := ask("a", time.Minute, 0)
	is.True(a.Granted)
	is.True(!ask("b", time.Minute, 0).Granted)
	is.True(ask("a", time.Minute, a.Fence).Granted)
	is.NoErr(tb.client().Release(ctx, "planner/z", a.Fence))
	b := ask("b", time.Millisecond, 0)
	is.True(b.Granted && b.Fence > a.Fence)
	is.True(!ask("a", time.Minute, a.Fence).Granted) // an old grant cannot be renewed
	tb.await("b's lease expires", func() bool { return ask("c", time.Minute, 0).Granted })
}

// TestPlatformListLags checks that the list shows a change only after the list lag.
func TestPlatformListLags(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.platform.Faults.Set(platform.Faults{ListLag: fault.Duration(time.Hour)})
	tb.platform.SetInstance(keyvalue.Instance{Name: "x", Kind: keyvalue.KindEntry, State: keyvalue.StateLive})
	list, version, err := tb.client().Instances(context.Background(), 0, 0)
	is.NoErr(err)
	is.Equal(len(list), 0)
	is.Equal(version, uint64(0))
	tb.platform.Faults.Set(platform.Faults{})
	tb.platform.SetInstance(keyvalue.Instance{Name: "y", Kind: keyvalue.KindEntry, State: keyvalue.StateLeaving})
	list, _, err = tb.client().Instances(context.Background(), 0, watchWait)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.True(list[0].Leaving)
}
