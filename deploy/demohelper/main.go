// Command demohelper processes text for deploy/demo.sh: it generates request bodies, joins the
// tokens of streams and prints spans.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

func main() {
	var err error
	switch {
	case len(os.Args) == 4 && os.Args[1] == "body":
		err = body(os.Args[2], os.Args[3])
	case len(os.Args) == 2 && os.Args[1] == "text":
		err = text(os.Stdin)
	case len(os.Args) == 3 && os.Args[1] == "spans":
		err = spans(os.Stdin, os.Args[2])
	default:
		fmt.Fprintln(os.Stderr, "usage: demohelper body MODEL FILE | text | spans REQUEST_ID")
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// body prints the body of a streamed chat request whose prompt is the file's content.
func body(model, file string) error {
	prompt, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]any{
		"model": model, "stream": true, "max_tokens": 24,
		"messages": []map[string]string{{"role": "user", "content": string(prompt)}},
	})
}

// text prints the joined tokens of a stream of chat events.
func text(r io.Reader) error {
	fmt.Print("  answer: ")
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			fmt.Println("[complete]")
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			fmt.Print(chunk.Choices[0].Delta.Content)
		}
	}
	return lines.Err()
}

// attribute is a key and a value in the span exporter's JSON.
type attribute struct {
	Key   string
	Value struct{ Value any }
}

type span struct {
	Name        string
	StartTime   time.Time
	EndTime     time.Time
	SpanContext struct{ TraceID string }
	Attributes  []attribute
	Resource    []attribute
}

func attributeValue(list []attribute, keys ...string) string {
	for _, k := range keys {
		for _, a := range list {
			if a.Key == k {
				return fmt.Sprint(a.Value.Value)
			}
		}
	}
	return ""
}

// spans prints the spans of the trace that contains a request, ordered by start time.
func spans(r io.Reader, request string) error {
	var all []span
	trace := ""
	dec := json.NewDecoder(r)
	for dec.More() {
		var s span
		if err := dec.Decode(&s); err != nil {
			return err
		}
		all = append(all, s)
		if attributeValue(s.Attributes, "sesame.request_id") == request {
			trace = s.SpanContext.TraceID
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].StartTime.Before(all[j].StartTime) })
	for _, s := range all {
		if s.SpanContext.TraceID == trace {
			fmt.Printf("  %s  %9.3f ms  %-5s %-13s %s\n", s.StartTime.Format("15:04:05.000000"),
				float64(s.EndTime.Sub(s.StartTime).Microseconds())/1000, attributeValue(s.Resource, "host.id"), s.Name,
				attributeValue(s.Attributes, "sesame.to", "sesame.from", "sesame.target", "sesame.home"))
		}
	}
	return nil
}
