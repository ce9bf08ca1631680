package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeadersAreRead: what makes no sense counts as absent and is named; only a
// deadline that makes no sense refuses the call.
func TestHeadersAreRead(t *testing.T) {
	cases := []struct {
		name, header, value string
		want                Request
		fails               bool
	}{
		{"nothing", Own.Model, "", Request{}, false},
		{"a model", Own.Model, "m/a", Request{Model: "m", Adapter: "a"}, false},
		{"a deadline", Own.Deadline, "1500.5", Request{Deadline: 1500500 * time.Microsecond}, false},
		{"no deadline", Own.Deadline, "soon", Request{}, true},
		{"tokens", Own.Tokens, "120,30", Request{PromptTokens: 120, MaxTokens: 30}, false},
		{"tokens of the prompt alone", Own.Tokens, "120", Request{PromptTokens: 120}, false},
		{"no tokens", Own.Tokens, "many,30", Request{MaxTokens: 30, Ignored: []string{Own.Tokens}}, false},
		{"too many tokens", Own.Tokens, "999999999,-1", Request{Ignored: []string{Own.Tokens}}, false},
		{"a hint", Own.LengthHint, " 17 ", Request{LengthHint: 17}, false},
		{"no hint", Own.LengthHint, "x", Request{Ignored: []string{Own.LengthHint}}, false},
		{"parts", Own.Parts, "ff:10, a:2", Request{Parts: []Part{{255, 10}, {10, 2}}}, false},
		{"parts up to what is none", Own.Parts, "ff:10,zz:2,a:3", Request{Parts: []Part{{255, 10}}, Ignored: []string{Own.Parts}}, false},
		{"an event", Own.LastEvent, "7", Request{LastEvent: 7}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			if c.value != "" {
				h.Set(c.header, c.value)
			}
			got, err := Own.ReadRequest(h)
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(got, c.want)
			}
		})
	}
}
