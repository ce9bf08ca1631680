// Package peer provides the exchanges between entry instances over twirp.
//
// It only moves messages: what they say and when they are sent is decided by
// core/instance. Both sides show the shared key of the instances, compared in
// constant time; without a key configured everybody who reaches the listener
// is let in.
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/internal/peer/peerpb"
)

// keyHeader carries the instances' shared key.
const keyHeader = "Birchdrift-Peer-Key"

// A Client begins exchanges.
type Client struct {
	http *http.Client
	key  string

	mu      sync.Mutex
	clients map[string]peerpb.Peer // by address
}

// NewClient returns a client that shows key to its peers.
func NewClient(client *http.Client, key string) *Client {
	return &Client{http: client, key: key, clients: map[string]peerpb.Peer{}}
}

// Exchange sends msg to the peer at address (IP:port) and returns its side.
func (c *Client) Exchange(ctx context.Context, address string, msg share.Message) (share.Message, error) {
	if c.key != "" {
		header := http.Header{}
		header.Set(keyHeader, c.key)
		var err error
		if ctx, err = twirp.WithHTTPRequestHeaders(ctx, header); err != nil {
			return share.Message{}, trace.Wrap(err)
		}
	}
	reply, err := c.client(address).Exchange(ctx, encode(msg))
	if err != nil {
		return share.Message{}, trace.Wrap(err, "exchange with %s", address)
	}
	return decode(reply), nil
}

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

// A Server takes exchanges that peers begin.
type Server struct {
	// Take answers one message.
	Take func(ctx context.Context, msg share.Message) (share.Message, error)
}

// Exchange implements the generated service.
func (s Server) Exchange(ctx context.Context, in *peerpb.Message) (*peerpb.Message, error) {
	reply, err := s.Take(ctx, decode(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encode(reply), nil
}

// maxMessage bounds a message: a configuration and every record of a fleet.
const maxMessage = 8 << 20

// Handler returns the HTTP handler of the peers' listener.
func (s Server) Handler(key string) http.Handler {
	next := peerpb.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if key != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong peer key", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessage)
		next.ServeHTTP(w, r)
	})
}
