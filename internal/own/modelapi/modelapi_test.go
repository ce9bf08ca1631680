package modelapi

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/code"
)

func TestRequestsAreParsed(t *testing.T) {
	cases := []struct {
		name, body string
		chat       bool
		prompt     string
		fault      string // part of the detail; "" if accepted
	}{
		{"chat", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, true, "user: hi\n", ""},
		{"chat in parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, true, "user: ab\n", ""},
		{"completion", `{"model":"m","prompt":"hi"}`, false, "hi", ""},
		{"not JSON", `{`, false, "", "not the JSON"},
		{"no model", `{"prompt":"hi"}`, false, "", "model is missing"},
		{"no messages", `{"model":"m"}`, true, "", "messages is empty"},
		{"a picture", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, true, "", "messages[0].content"},
		{"two answers", `{"model":"m","prompt":"hi","n":2}`, false, "", "n is 2"},
		{"negative", `{"model":"m","prompt":"hi","max_tokens":-1}`, false, "", "max_tokens is -1"},
		{"no prompt", `{"model":"m"}`, false, "", "prompt is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, prompt, fault := parseRequest([]byte(c.body), c.chat)
			if c.fault == "" {
				is.True(fault == nil)
				is.Equal(prompt, c.prompt)
				is.Equal(req.MaxTokens, defaultMaxTokens)
				return
			}
			is.Equal(fault.Code, code.BadRequest)
			is.True(strings.Contains(fault.Detail, c.fault))
		})
	}
}

// FuzzParseRequest feeds arbitrary bytes as a caller's request body.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":["a"]}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		req, _, fault := parseRequest(data, chat)
		if fault == nil && (req.Model == "" || req.MaxTokens <= 0) {
			t.Fatalf("accepted: %+v", req)
		}
	})
}
