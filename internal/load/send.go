package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/callerhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/standin"
)

// sendResult is the result of one send of a request.
type sendResult struct {
	outcome    failure.Outcome
	code       string
	detail     string
	region     string
	retryAfter time.Duration
	hosts      []string // URLs of the entry hosts to use instead
	cut        bool     // the connection ended without an outcome
}

// send sends a request to an entry host and checks the answer completely.
func (r *runner) send(ctx context.Context, j job, host string, issued, deadline time.Time) sendResult {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(2*time.Second))
	defer cancel()
	req, err := r.request(ctx, j, host, issued, deadline)
	if err != nil {
		return sendResult{outcome: failure.NotRun, code: "bad-request", detail: err.Error()}
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return r.connectionLost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := sendResult{region: resp.Header.Get(callerhttp.HeaderRegion), outcome: failure.Done}
	if resp.StatusCode != http.StatusOK {
		return r.problem(resp)
	}
	if j.order {
		return r.readOrder(j, resp, out)
	}
	if r.o.Stream {
		return r.readStream(j, resp, out, began)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return r.connectionLost(err)
	}
	r.ttft.Observe(time.Since(began))
	text := promptText(j.prompt)
	if want := standin.Whole(r.o.Model, text, r.o.MaxTokens, len(text)/4); !bytes.Equal(body, want) {
		r.reportViolation(&r.rep.Wrong, "answer of %d bytes differs from the expected %d bytes", len(body), len(want))
	}
	return out
}

func (r *runner) connectionLost(err error) sendResult {
	r.withLock(func() { r.rep.Cut++ })
	return sendResult{outcome: failure.Unknown, code: "connection", detail: err.Error(), cut: true}
}

func (r *runner) request(ctx context.Context, j job, host string, issued, deadline time.Time) (*http.Request, error) {
	path, body := "/v1/services/"+r.o.Service+"/orders", any(standin.Work{Reference: j.reference})
	if !j.order {
		path = "/v1/chat/completions"
		body = map[string]any{
			"model": r.o.Model, "stream": r.o.Stream, "max_tokens": r.o.MaxTokens,
			"messages": []map[string]string{{"role": "user", "content": j.prompt}},
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // no resends by the HTTP client: perform decides on them
	req.Header.Set("Authorization", "Bearer "+j.team.Key)
	left := max(1, time.Until(deadline).Milliseconds())
	req.Header.Set(callerhttp.HeaderDeadline, strconv.FormatInt(left, 10))
	if j.order {
		req.Header.Set(callerhttp.HeaderIdempotencyKey, j.reference)
		req.Header.Set(callerhttp.HeaderKeyIssued, strconv.FormatInt(issued.UnixMilli(), 10))
	}
	return req, nil
}

// promptText returns the text that the engine extracts from a chat with one prompt.
func promptText(prompt string) string { return "user\n" + prompt + "\n" }

func (r *runner) problem(resp *http.Response) sendResult {
	var d problem.Document
	if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
		return sendResult{outcome: failure.Unknown, code: strconv.Itoa(resp.StatusCode), detail: "no problem document"}
	}
	return resultOf(d)
}

func resultOf(d problem.Document) sendResult {
	f, ok := d.Error()
	if !ok {
		return sendResult{outcome: failure.Unknown, code: d.Type, detail: d.Detail}
	}
	out := sendResult{outcome: f.Outcome, code: string(f.Code), detail: f.Detail, retryAfter: f.RetryAfter}
	if f.Code == failure.Residency {
		out.hosts = f.EntryHosts
	}
	if out.outcome == "" {
		out.outcome = failure.Unknown
	}
	return out
}

func (r *runner) readOrder(j job, resp *http.Response, out sendResult) sendResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return r.connectionLost(err)
	}
	var receipt standin.Receipt
	if json.Unmarshal(body, &receipt) != nil || receipt.Reference != j.reference {
		r.reportViolation(&r.rep.Wrong, "wrong answer to %s: %.80q", j.reference, body)
	}
	return out
}

// readStream reads a stream and compares its events with the expected ones.
func (r *runner) readStream(j job, resp *http.Response, out sendResult, began time.Time) sendResult {
	want := standin.StreamEvents(r.o.Model, promptText(j.prompt), r.o.MaxTokens)
	reader := bufio.NewReader(resp.Body)
	last := began
	for i := 0; ; i++ {
		event, err := readEvent(reader)
		if err != nil && errors.Is(err, io.EOF) && event == "" {
			if i < len(want) {
				r.reportViolation(&r.rep.Wrong, "stream ended as complete after %d of %d events", i, len(want))
			}
			return out
		}
		if err != nil {
			return r.connectionLost(err)
		}
		if data, ok := strings.CutPrefix(event, "event: error\ndata: "); ok {
			var d problem.Document
			_ = json.Unmarshal([]byte(data), &d)
			return resultOf(d)
		}
		if i >= len(want) || event != want[i] {
			r.reportViolation(&r.rep.Wrong, "wrong event %d of a stream: %.60q", i, event)
			return out
		}
		r.observeToken(i, &last)
	}
}

func (r *runner) observeToken(i int, last *time.Time) {
	now := time.Now()
	if i == 0 {
		r.ttft.Observe(now.Sub(*last))
	} else {
		r.gap.Observe(now.Sub(*last))
	}
	*last = now
}

func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}
