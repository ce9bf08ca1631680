// Package peer implements the calls between entry instances over Twirp: gossip
// exchanges, order requests and permit requests.
//
// It only transports messages; package core/instance decides what they contain and
// when they are sent. A client sends the shared key of the instances, which the server
// compares in constant time. If no key is configured, every client that reaches the
// listener is accepted.
package peer

import (
	"cmp"
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/internal/peer/peerpb"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// keyHeader is the request header that carries the instances' shared key.
const keyHeader = "Birchdrift-Peer-Key"

// A Client calls other instances.
type Client struct {
	http *http.Client
	key  string

	mu      sync.Mutex
	clients map[string]peerpb.Peer // by address
}

// NewClient returns a client that sends key to its peers.
func NewClient(client *http.Client, key string) *Client {
	framed := *client
	framed.Transport = framedTransport{cmp.Or[http.RoundTripper](client.Transport, http.DefaultTransport)}
	return &Client{http: &framed, key: key, clients: map[string]peerpb.Peer{}}
}

// errUnframed is the error of an answer that ends with its connection.
var errUnframed = errors.New("the peer's answer has neither a length nor chunks")

// A framedTransport fails for an answer that ends with its connection: a message whose last fields are
// missing can be decoded, so nothing else would show that it broke off. Peers state the length. It also fails for an
// answer of more than maxMessageSize bytes, which would be read into memory.
type framedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if upstream.EndsWithConnection(resp) {
		_ = resp.Body.Close() // nothing of it is used
		return nil, errUnframed
	}
	if err := upstream.LimitBody(resp, maxMessageSize); err != nil {
		return nil, err
	}
	return resp, nil
}

// Exchange sends msg to the peer at address (IP:port) and returns the peer's message.
func (c *Client) Exchange(ctx context.Context, address string, msg gossip.Message) (gossip.Message, error) {
	ctx, err := c.withKey(ctx)
	if err != nil {
		return gossip.Message{}, err
	}
	reply, err := c.client(address).Exchange(ctx, encode(msg))
	if err != nil {
		return gossip.Message{}, trace.Wrap(err, "exchange with %s", address)
	}
	return decode(reply), nil
}

// An OrderReply is the answer of an engine's owner to an order request.
type OrderReply struct {
	Outcome owned.Outcome
	Detail  string
}

// RequestOrder requests an order to an engine from its owner, the peer at address
// (IP:port).
func (c *Client) RequestOrder(ctx context.Context, address, from, engine string, r orders.Request) (OrderReply, error) {
	ctx, err := c.withKey(ctx)
	if err != nil {
		return OrderReply{}, err
	}
	reply, err := c.client(address).Order(ctx, &peerpb.OrderRequest{
		From: from, Engine: engine, Load: r.Load, Model: r.Model, Adapter: r.Adapter,
	})
	if err != nil {
		return OrderReply{}, trace.Wrap(err, "requesting an order from %s", address)
	}
	return OrderReply{Outcome: owned.Outcome(reply.GetOutcome()), Detail: reply.GetDetail()}, nil
}

// RequestPermit requests a permit from the peer at address (IP:port), or releases an unused
// one. Canceling ctx ends the request, and the peer's handler stops waiting for a decision.
func (c *Client) RequestPermit(ctx context.Context, address, from string, r permits.Request) (permits.Decision, error) {
	ctx, err := c.withKey(ctx)
	if err != nil {
		return permits.Decision{}, err
	}
	reply, err := c.client(address).Permit(ctx, encodePermitRequest(from, r))
	if err != nil {
		return permits.Decision{}, trace.Wrap(err, "requesting a permit from %s", address)
	}
	return decodeDecision(reply), nil
}

// RequestStreams tells the peer at address (IP:port) of streams, or asks it for one.
func (c *Client) RequestStreams(ctx context.Context, address string, r streams.Request) (streams.Answer, error) {
	ctx, err := c.withKey(ctx)
	if err != nil {
		return streams.Answer{}, err
	}
	reply, err := c.client(address).Streams(ctx, encodeStreamsRequest(r))
	if err != nil {
		return streams.Answer{}, trace.Wrap(err, "streams at %s", address)
	}
	return decodeStreamsAnswer(reply), nil
}

// withKey returns a context whose calls carry the instances' key.
func (c *Client) withKey(ctx context.Context) (context.Context, error) {
	if c.key == "" {
		return ctx, nil
	}
	header := http.Header{}
	header.Set(keyHeader, c.key)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return ctx, trace.Wrap(err)
}

// SetKey adds the instances' key to the headers of a request to a peer.
func (c *Client) SetKey(h http.Header) {
	if c.key != "" {
		h.Set(keyHeader, c.key)
	}
}

// client returns the Twirp client of the peer at address, which it creates on first use.
func (c *Client) client(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.clients[address]
	if !ok {
		p = peerpb.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = p
	}
	return p
}

// A Server handles the calls of peers.
type Server struct {
	// Take answers one exchange.
	Take func(ctx context.Context, msg gossip.Message) (gossip.Message, error)
	// TakeOrder answers an order request. If it is nil, the reply is twirp.Unimplemented.
	TakeOrder func(ctx context.Context, engine string, r orders.Request) (OrderReply, error)
	// TakePermit answers a permit request. If it is nil, the reply is twirp.Unimplemented.
	TakePermit func(ctx context.Context, from string, r permits.Request) (permits.Decision, error)
	// TakeStreams answers a request about streams. If it is nil, the reply is
	// twirp.Unimplemented.
	TakeStreams func(ctx context.Context, r streams.Request) (streams.Answer, error)
}

// Streams implements peerpb.Peer.
func (s Server) Streams(ctx context.Context, in *peerpb.StreamsRequest) (*peerpb.StreamsReply, error) {
	if s.TakeStreams == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no streams are tracked here")
	}
	answer, err := s.TakeStreams(ctx, decodeStreamsRequest(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encodeStreamsAnswer(answer), nil
}

// Permit implements peerpb.Peer.
func (s Server) Permit(ctx context.Context, in *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	if s.TakePermit == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no permits are given out here")
	}
	decision, err := s.TakePermit(ctx, in.GetFrom(), decodePermitRequest(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encodeDecision(decision), nil
}

// Order implements peerpb.Peer.
func (s Server) Order(ctx context.Context, in *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	if s.TakeOrder == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no orders are taken here")
	}
	r := orders.Request{Load: in.GetLoad(), Model: in.GetModel(), Adapter: in.GetAdapter()}
	reply, err := s.TakeOrder(ctx, in.GetEngine(), r)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.OrderReply{Outcome: uint32(reply.Outcome), Detail: reply.Detail}, nil
}

// Exchange implements peerpb.Peer.
func (s Server) Exchange(ctx context.Context, in *peerpb.Message) (*peerpb.Message, error) {
	reply, err := s.Take(ctx, decode(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encode(reply), nil
}

// maxMessageSize is the largest size of a message in bytes: enough for a configuration and
// every record of a fleet.
const maxMessageSize = 8 << 20

// Routes returns the HTTP handler of the calls of peers.
func (s Server) Routes() http.Handler {
	next := peerpb.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageSize)
		next.ServeHTTP(w, r)
	})
}

// RequireKey returns a handler that passes on the requests that carry key, without it. If key is
// "", it passes on all requests.
func RequireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if key != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong peer key", http.StatusUnauthorized)
			return
		}
		r.Header.Del(keyHeader)
		next.ServeHTTP(w, r)
	})
}
