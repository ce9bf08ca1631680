package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeadersAreRead checks that an invalid header counts as absent and is listed as
// ignored, and that only an invalid deadline is an error.
func TestHeadersAreRead(t *testing.T) {
	cases := []struct {
		name, header, value string
		want                Request
		fails               bool
	}{
		{"nothing", OwnFormat.Model, "", Request{}, false},
		{"a model", OwnFormat.Model, "m/a", Request{Model: "m", Adapter: "a"}, false},
		{"a deadline", OwnFormat.Deadline, "1500.5", Request{Deadline: 1500500 * time.Microsecond}, false},
		{"an invalid deadline", OwnFormat.Deadline, "soon", Request{}, true},
		{"tokens", OwnFormat.Tokens, "120,30", Request{PromptTokens: 120, MaxTokens: 30}, false},
		{"prompt tokens only", OwnFormat.Tokens, "120", Request{PromptTokens: 120}, false},
		{"an invalid number of tokens", OwnFormat.Tokens, "many,30", Request{MaxTokens: 30, Ignored: []string{OwnFormat.Tokens}}, false},
		{"too many tokens", OwnFormat.Tokens, "999999999,-1", Request{Ignored: []string{OwnFormat.Tokens}}, false},
		{"a length hint", OwnFormat.LengthHint, " 17 ", Request{LengthHint: 17}, false},
		{"an invalid length hint", OwnFormat.LengthHint, "x", Request{Ignored: []string{OwnFormat.LengthHint}}, false},
		{"parts", OwnFormat.Parts, "ff:10, a:2", Request{Parts: []PromptPart{{255, 10}, {10, 2}}}, false},
		{"prompt parts up to an invalid one", OwnFormat.Parts, "ff:10,zz:2,a:3", Request{Parts: []PromptPart{{255, 10}}, Ignored: []string{OwnFormat.Parts}}, false},
		{"an event", OwnFormat.LastEvent, "7", Request{LastEvent: 7}, false},
		{"the call that began a stream", OwnFormat.Resumes, "c-1", Request{Resumes: "c-1"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			if c.value != "" {
				h.Set(c.header, c.value)
			}
			got, err := OwnFormat.ReadRequest(h)
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(got, c.want)
			}
		})
	}
}
