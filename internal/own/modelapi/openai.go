package modelapi

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
)

// The wire types follow the OpenAI-compatible chat and completion API, as far as the
// engines support it.

// A message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A modelRequest is the body of a chat or completion call.
type modelRequest struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   int             `json:"n"`
}

// Token limits of a model call.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 131072
)

// parseRequest parses and checks the body of a model call and returns it with its prompt
// as text.
func parseRequest(data []byte, chat bool) (modelRequest, string, *code.Error) {
	var req modelRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return req, "", code.Errorf(code.BadRequest, "the body is not the JSON of a call: %v", err)
	}
	if req.Model == "" {
		return req, "", code.Errorf(code.BadRequest, "model is missing")
	}
	if req.N > 1 {
		return req, "", code.Errorf(code.BadRequest, "n is %d, only 1 is served", req.N)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = req.MaxCompletionTokens
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokensLimit {
		return req, "", code.Errorf(code.BadRequest, "max_tokens is %d, 1 to %d allowed", req.MaxTokens, maxTokensLimit)
	}
	prompt, err := req.prompt(chat)
	return req, prompt, err
}

// prompt returns the prompt of a chat or completion call as text.
func (r modelRequest) prompt(chat bool) (string, *code.Error) {
	if !chat {
		text, ok := parseText(r.Prompt)
		if !ok {
			return "", code.Errorf(code.BadRequest, "prompt is missing or not a text")
		}
		return text, nil
	}
	if len(r.Messages) == 0 {
		return "", code.Errorf(code.BadRequest, "messages is empty")
	}
	var b strings.Builder
	for i, m := range r.Messages {
		text, ok := parseText(m.Content)
		if !ok {
			return "", code.Errorf(code.BadRequest, "messages[%d].content is not a text", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteString("\n")
	}
	return b.String(), nil
}

// parseText parses a JSON string or a list of text parts. It returns false for anything
// else.
func parseText(raw json.RawMessage) (string, bool) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// A choice is one alternative of an answer; there is always exactly one.
type choice struct {
	Index        int     `json:"index"`
	Message      *reply  `json:"message,omitempty"`
	Delta        *reply  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// A reply is the text that the model generated.
type reply struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// An answer is a complete answer or one chunk of a stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usage counts tokens; the number of prompt tokens is an estimate.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// An answerFormat builds the answers of one call in the format of its kind.
type answerFormat struct {
	chat    bool
	id      string
	model   string
	created time.Time
}

// chunk returns one chunk of a streamed answer. finish is the reason why the answer ended in
// the last chunk, nil in all others.
func (f answerFormat) chunk(text string, finish *string) answer {
	c := choice{FinishReason: finish}
	if f.chat {
		c.Delta = &reply{Content: text}
	} else {
		c.Text = &text
	}
	object := "text_completion"
	if f.chat {
		object = "chat.completion.chunk"
	}
	return answer{ID: f.id, Object: object, Created: f.created.Unix(), Model: f.model, Choices: []choice{c}}
}

// complete returns an answer that is not streamed.
func (f answerFormat) complete(text string, finish string, promptTokens, tokens int) answer {
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
		c.Message = &reply{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return answer{
		ID: f.id, Object: object, Created: f.created.Unix(), Model: f.model, Choices: []choice{c},
		Usage: &usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens},
	}
}

// A modelList answers GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// A modelInfo describes one service that a caller may use as a model.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
