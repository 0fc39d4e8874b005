// Package standin simulates backend servers, for development and tests only: a model engine with
// continuous batching and a prefix cache, and a plain service that counts executions. Answers
// are a function of the prompt, so that a resumed answer can be checked byte for byte.
package standin

import (
	"encoding/json"

	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields(`the record shows a deed of transfer dated and
sealed in Johor with three maps of the estate and a list of tenants whose names
appear again in the survey of wagons track gauge brass coupling signal turnout
points ballast sleeper platform roof kit decal bogie axle volume folio letter
memorial petition ledger index shelf mark microfilm reading room visitor request
please allow two working days for retrieval from the stacks thank you kindly`)

// Tokens returns the answer to a prompt: n tokens that depend only on the model and the prompt.
func Tokens(model, prompt string, n int) []string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	out := make([]string, n)
	for i := range out {
		seed = seed*6364136223846793005 + 1442695040888963407
		out[i] = vocabulary[seed>>33%uint64(len(vocabulary))] + " "
	}
	return out
}

// AnswerID returns the ID of the answer to a prompt.
func AnswerID(model, prompt string) string {
	return "cmpl-" + strconv.FormatUint(xxhash.Sum64String(model+prompt), 16)
}

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int               `json:"index"`
	Delta        map[string]string `json:"delta"`
	FinishReason *string           `json:"finish_reason"`
}

// StreamEvents returns the events of the complete answer as a stream. The last event is
// "[DONE]", and the one before it states the finish reason.
func StreamEvents(model, prompt string, n int) []string {
	id := AnswerID(model, prompt)
	stop := "length"
	var out []string
	for _, t := range Tokens(model, prompt, n) {
		out = append(out, event(chunk{id, "chat.completion.chunk", model, []chunkChoice{{Delta: map[string]string{"content": t}}}}))
	}
	out = append(out, event(chunk{id, "chat.completion.chunk", model, []chunkChoice{{Delta: map[string]string{}, FinishReason: &stop}}}))
	return append(out, "data: [DONE]\n\n")
}

func event(c chunk) string {
	data, _ := json.Marshal(c)
	return "data: " + string(data) + "\n\n"
}

// Whole returns the complete answer as one JSON document.
func Whole(model, prompt string, n, promptTokens int) []byte {
	text := strings.Join(Tokens(model, prompt, n), "")
	data, _ := json.Marshal(map[string]any{
		"id": AnswerID(model, prompt), "object": "chat.completion", "model": model,
		"choices": []map[string]any{{
			"index": 0, "finish_reason": "length",
			"message": map[string]string{"role": "assistant", "content": text},
		}},
		"usage": map[string]int{"prompt_tokens": promptTokens, "completion_tokens": n, "total_tokens": promptTokens + n},
	})
	return data
}
