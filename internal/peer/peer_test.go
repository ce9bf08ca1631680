package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/streams"
)

// fullMessage returns a message with every field set, so that a test sees if the conversion
// loses one.
func fullMessage() gossip.Message {
	return gossip.Message{
		From: "a", Zone: "z", Address: "127.0.0.1:1", Boot: 1, Leaving: true, Revision: 2, Stamp: 3, AckBoot: 4, Ack: 5,
		StoreAge: 16 * time.Millisecond, StoreVersion: 17, Relays: true, Informed: true, Links: []gossip.LinkReport{{Service: "s", Lost: true, Proven: true, ProvenAge: 31 * time.Millisecond, Rejections: gossip.RejectionReport{
			Known: true, RejectionLimit: pool.RejectionLimit{Named: true, PerSecond: 32}, Age: 33 * time.Millisecond,
		}}, {Service: "t"}},
		Records: gossip.Records{
			Residencies: []gossip.Residency{{Engine: "e", Residency: pool.Residency{
				Boot: 6, Change: 7, Leaving: true, Born: "30", Items: []pool.Item{{Name: "m", Phase: pool.Ready}},
			}}},
			Loads: []gossip.Load{{Engine: "e", Load: pool.Load{Boot: 6, Seq: 8, Running: 9, Waiting: 10}}},
			Listed: []gossip.Listed{
				{Name: "b", Kind: gossip.Entry, Zone: "z", Address: "x", Leaving: true, Gone: true, Version: 11},
				{Name: "e", Kind: gossip.Upstream, Zone: "z", Version: 25, Announced: &pool.Announcement{
					Service: "s", Address: "127.0.0.1:2", Zone: "z", Slots: 26, Leaving: true, Remaining: 27 * time.Millisecond, Born: "28", Software: "v1", Engine: true,
					Models: []pool.AnnouncedModel{{Name: "m", Adapters: []string{"a"}}}, InMemory: []string{"m"}, OnDisk: []string{"n"}, Created: 24,
				}},
			},
			Holders: []gossip.LeaseHolder{{Zone: "z", Instance: "a", Fence: 12}},
			Registered: []registry.Record{
				{Key: "owners/e", Data: []byte("{}"), Revision: 14},
				{Key: "owners/f", Revision: 15, Gone: true},
			},
			Crashes: []crash.Report{{
				Observer: "a", Boot: 18, Seq: 19, Replica: pool.Incarnation{Name: "e", Born: "29"}, Service: "s",
				Requests: []crash.Request{{Fingerprint: 20, Model: "m", Parts: []crash.PartID{46, 1 << 63}}, {Fingerprint: 1 << 63}}, EventTime: clock.EventTime{Age: 21 * time.Millisecond},
			}},
			Successes: []crash.Success{{Trait: 22, EventTime: clock.EventTime{Age: 23 * time.Millisecond}}},
			Leaving:   []gossip.Leaving{{Incarnation: pool.Incarnation{Name: "e", Born: "24"}}},
			Rests:     []gossip.Rest{{Incarnation: pool.Incarnation{Name: "e", Born: "33"}, Left: 34 * time.Millisecond}},
			Limits: []gossip.Limit{{Incarnation: pool.Incarnation{Name: "e", Born: "31"}, LimitReport: pool.LimitReport{
				Limit: pool.RateLimit{Named: true, PerSecond: 0.5}, By: "a", EventTime: clock.EventTime{Age: 32 * time.Millisecond},
			}}},
		},
		Demand: []demand.Item{{Name: "m", Rate: 0.5, Concurrent: 0.25, Weight: 2, Waiting: 13, Unmet: time.Second, Idle: time.Minute}, {Name: "m", Software: "v1", Absent: 0.5}},
		Uses: map[string]pool.Usage{"e": {
			Calls: pool.ByRank[int]{1: 3}, Prefill: pool.ByRank[time.Duration]{0: time.Millisecond, 2: 2 * time.Millisecond}, Items: []string{"m"}, Unreachable: true,
		}},
		ConfirmedAge: 41 * time.Millisecond,
		Versions: gossip.Versions{Known: true, Reports: []gossip.VersionReport{
			{Service: "s", Software: "v1", Initial: true, Last: 42 * time.Millisecond},
			{Service: "s", Software: "v2", Unlisted: 43 * time.Millisecond, Heard: 44 * time.Millisecond, Last: 45 * time.Millisecond},
		}},
		WantConfig: true,
		Config:     []byte("c"),
	}
}

// TestWireLosesNothing checks that encoding and decoding a message keeps every field.
func TestWireLosesNothing(t *testing.T) {
	is.New(t).Equal(decode(encode(fullMessage())), fullMessage())
}

// TestExchangeNeedsTheSharedKey checks that the server rejects an exchange with a wrong key
// or without one, and does not handle it.
func TestExchangeNeedsTheSharedKey(t *testing.T) {
	is := is.New(t)
	handled := 0
	server := httptest.NewServer(RequireKey("right", Server{Take: func(_ context.Context, msg gossip.Message) (gossip.Message, error) {
		handled++
		return msg, nil
	}}.Routes()))
	defer server.Close()
	address := server.Listener.Addr().String()
	for key, ok := range map[string]bool{"right": true, "wrong": false, "": false} {
		reply, err := NewClient(http.DefaultClient, key).Exchange(context.Background(), address, fullMessage())
		is.Equal(err == nil, ok)
		if ok {
			is.Equal(reply, fullMessage())
		}
	}
	is.Equal(handled, 1)
}

// TestPermitsTravelWhole checks that permit requests and replies arrive as they were sent.
func TestPermitsTravelWhole(t *testing.T) {
	is := is.New(t)
	report := pool.LimitReport{Limit: pool.RateLimit{Named: true, PerSecond: 0.25}, By: "b", EventTime: clock.EventTime{Age: 3 * time.Millisecond}}
	request := permits.Request{
		Resource: permits.Resource{Replica: pool.Incarnation{Name: "e", Born: "1"}, Service: "s"}, Alone: true, Zone: "z", Rank: -1, Wait: 4 * time.Second, Unused: true, Word: report, Retries: 0.25,
	}
	decision := permits.Decision{Granted: true, Held: 5 * time.Millisecond, Turn: 6 * time.Millisecond, After: 7 * time.Millisecond, Word: report, Retries: 0.125}
	server := httptest.NewServer(RequireKey("key", Server{TakePermit: func(_ context.Context, from string, r permits.Request) (permits.Decision, error) {
		is.Equal(from, "a")
		is.Equal(r, request)
		return decision, nil
	}}.Routes()))
	defer server.Close()
	got, err := NewClient(http.DefaultClient, "key").RequestPermit(context.Background(), server.Listener.Addr().String(), "a", request)
	is.NoErr(err)
	is.Equal(got, decision)
	is.Equal(decodeDecision(encodeDecision(permits.Decision{})), permits.Decision{}) // no limit is known
	_, err = NewClient(http.DefaultClient, "wrong").RequestPermit(context.Background(), server.Listener.Addr().String(), "a", request)
	is.True(err != nil)
}

// maxStreamRequest is the size in bytes that docs/CAPACITY.md states for the message about one stream.
const maxStreamRequest = 32

// TestSizeOfStreamRequests guards against messages about streams that cost more links than stated.
func TestSizeOfStreamRequests(t *testing.T) {
	r := streams.Request{Began: []streams.Group{{Origin: streams.Origin{Service: "note-writer", Software: "v1.2"}, IDs: []streams.ID{1 << 63}}}}
	size := proto.Size(encodeStreamsRequest(r))
	t.Logf("%d bytes", size)
	if size > maxStreamRequest {
		t.Errorf("a message about one stream has %d bytes, want at most %d", size, maxStreamRequest)
	}
}

// TestStreamRequestsTravelWhole checks that requests about streams and their answers arrive as they
// were sent.
func TestStreamRequestsTravelWhole(t *testing.T) {
	is := is.New(t)
	request := streams.Request{
		Began: []streams.Group{{Origin: streams.Origin{Service: "s", Software: "v1"}, IDs: []streams.ID{1, 1 << 63}}, {Origin: streams.Origin{Service: "s"}, Ambiguous: true, IDs: []streams.ID{2}}},
		Query: streams.Query{ID: 3, Service: "t"},
	}
	answers := []streams.Answer{
		{}, {Known: true, Origin: streams.Origin{Service: "s", Software: "v1"}}, {Ambiguous: true}, {Sole: true, Origin: streams.Origin{Service: "s"}},
	}
	var answer streams.Answer
	server := httptest.NewServer(RequireKey("key", Server{TakeStreams: func(_ context.Context, r streams.Request) (streams.Answer, error) {
		is.Equal(r, request)
		return answer, nil
	}}.Routes()))
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, answer = range answers {
		got, err := NewClient(http.DefaultClient, "key").RequestStreams(context.Background(), address, request)
		is.NoErr(err)
		is.Equal(got, answer)
	}
	_, err := NewClient(http.DefaultClient, "wrong").RequestStreams(context.Background(), address, request)
	is.True(err != nil)
	earlier := httptest.NewServer(RequireKey("key", Server{}.Routes()))
	defer earlier.Close()
	_, err = NewClient(http.DefaultClient, "key").RequestStreams(context.Background(), earlier.Listener.Addr().String(), request)
	is.True(err != nil) // an instance of an earlier build does not know the request
}

// Guards against a message of a peer that ends the process because it has calls at replicas but lacks the
// mark that it reports them.
func TestAMessageWithoutTheMarkOfItsUsesIsDecoded(t *testing.T) {
	is := is.New(t)
	message := encode(fullMessage())
	message.HasUses = false
	is.Equal(decode(message), fullMessage())
}
