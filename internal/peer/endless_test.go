package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// Guards against a peer's answer without end that is read into memory until the call's time is over.
func TestEndlessAnswersOfPeersAreLimited(t *testing.T) {
	const limit = 2 * time.Second
	for name := range cutCalls(nil, "") {
		for _, form := range proxytest.EndlessForms() {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				is := is.New(t)
				server := proxytest.NewEndlessServer(t, form)
				client := NewClient(&http.Client{Transport: upstream.NewTransports().Reused}, "")
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				is.True(cutCalls(client, server.Address())[name].call(ctx) != nil)
				is.True(server.Sent() < form.MaxSent(maxMessageSize))
			})
		}
	}
}
