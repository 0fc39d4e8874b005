package entry

import (
	"encoding/json"
	"strings"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Prompt holds the fields of an OpenAI-style request body that routing uses.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens float64
	Text      string // the whole prompt or all messages, in order
}

// defaultMaxTokens is assumed for a request without a token limit.
const defaultMaxTokens = 256

type promptBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           float64         `json:"max_tokens"`
	MaxCompletionTokens float64         `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []promptMessage `json:"messages"`
}

type promptMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParsePrompt parses the body of a chat or text completion request.
func ParsePrompt(body []byte) (*Prompt, error) {
	var b promptBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "the body is not the JSON of a completion request: %s", err)
	}
	if b.Model == "" {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "the body names no model")
	}
	if len(b.Messages) == 0 && len(b.Prompt) == 0 {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "the body has neither messages nor prompt")
	}
	p := &Prompt{Model: b.Model, Stream: b.Stream, MaxTokens: max(b.MaxTokens, b.MaxCompletionTokens)}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		writeContent(&text, m.Content)
		text.WriteByte('\n')
	}
	writeContent(&text, b.Prompt)
	p.Text = text.String()
	return p, nil
}

// writeContent writes a content's text if it is a JSON string, else its raw JSON.
func writeContent(w *strings.Builder, raw json.RawMessage) {
	var s string
	if len(raw) > 0 && json.Unmarshal(raw, &s) == nil {
		w.WriteString(s)
		return
	}
	w.Write(raw)
}
