package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/internal/peer/peerpb"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// cutCalls returns the calls of a client to a peer, with the message of their answers.
func cutCalls(c *Client, address string) map[string]struct {
	answer proto.Message
	call   func(ctx context.Context) error
} {
	type call = struct {
		answer proto.Message
		call   func(ctx context.Context) error
	}
	return map[string]call{
		"exchange": {encode(fullMessage()), func(ctx context.Context) error {
			_, err := c.Exchange(ctx, address, gossip.Message{})
			return err
		}},
		"order": {&peerpb.OrderReply{Outcome: 1, Detail: "status 202"}, func(ctx context.Context) error {
			_, err := c.RequestOrder(ctx, address, "a", "e", orders.Request{})
			return err
		}},
		"permit": {encodeDecision(permits.Decision{Granted: true, Held: time.Second, Turn: time.Second}), func(ctx context.Context) error {
			_, err := c.RequestPermit(ctx, address, "a", permits.Request{})
			return err
		}},
		"streams": {encodeStreamsAnswer(streams.Answer{Known: true, Origin: streams.Origin{Service: "s", Software: "v1"}}), func(ctx context.Context) error {
			_, err := c.RequestStreams(ctx, address, streams.Request{})
			return err
		}},
	}
}

// Guards against a peer's answer that breaks off and is believed: a message whose last fields are missing can
// be decoded, so only its length or chunks show that it is whole.
func TestPeersAnswersThatAreCutAreNotBelieved(t *testing.T) {
	for name := range cutCalls(nil, "") {
		for _, form := range proxytest.AnswerForms("Content-Type: application/protobuf\r\n") {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				client := NewClient(&http.Client{Transport: upstream.NewTransports().Reused}, "")
				body, err := proto.Marshal(cutCalls(client, "")[name].answer)
				is.NoErr(err)
				answer := form.Write(string(body))
				server := proxytest.NewCutServer(t, answer)
				call := cutCalls(client, server.Address())[name].call
				if err := call(t.Context()); (err == nil) == form.Unframed {
					t.Errorf("a whole answer: %v", err)
				}
				for place := range len(answer) {
					server.CutAt(place)
					if call(t.Context()) == nil {
						t.Errorf("an answer of %d of %d bytes is believed", place, len(answer))
					}
				}
			})
		}
	}
}

// Guards against a peer's answer that is believed though its status or the name of a field is not in the form
// of HTTP.
func TestMalformedAnswersOfPeersAreNotBelieved(t *testing.T) {
	for name := range cutCalls(nil, "") {
		for _, form := range proxytest.AnswerForms("Content-Type: application/protobuf\r\n") {
			client := NewClient(&http.Client{Transport: upstream.NewTransports().Reused}, "")
			body, err := proto.Marshal(cutCalls(client, "")[name].answer)
			is.New(t).NoErr(err)
			for wrong, answer := range proxytest.Malformed(form.Write(string(body))) {
				t.Run(name+", "+form.Name+", "+wrong, func(t *testing.T) {
					t.Parallel()
					server := proxytest.NewCutServer(t, answer)
					if cutCalls(client, server.Address())[name].call(t.Context()) == nil {
						t.Errorf("believed: %q", answer)
					}
				})
			}
		}
	}
}
