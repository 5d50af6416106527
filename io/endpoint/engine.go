package endpoint

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"chervilpath/core/pipeline"
)

type (
	// The types below are the part of the OpenAI-compatible chat API that is
	// used.
	chatRequest struct {
		Model         string        `json:"model"`
		Messages      []chatMessage `json:"messages"`
		MaxTokens     int           `json:"max_tokens,omitempty"`
		Stream        bool          `json:"stream,omitempty"`
		StreamOptions *chatOptions  `json:"stream_options,omitempty"`
		User          string        `json:"user,omitempty"`
		Priority      int           `json:"priority"`
	}

	chatOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatChoice struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}

	chatUsage struct {
		CompletionTokens float64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens float64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	chatAnswer struct {
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage"`
	}

	// streamState holds what has been read of a stream.
	streamState struct {
		text            strings.Builder
		tokens          int
		hasFinishReason bool
		done            bool
		usage           *chatUsage
	}
)

const (
	maxLineBytes = 1 << 20
	doneMarker   = "[DONE]"
)

// callEngine requests a completion from a model engine, as a stream if the attempt
// is streamed.
func (c *Client) callEngine(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	body := chatRequest{
		Model:     cmp.Or(a.Stage.Adapter(), a.Stage.Model()),
		Messages:  []chatMessage{{Role: "user", Content: prompt(a.Input)}},
		MaxTokens: a.Input.MaxTokens,
		User:      a.Organisation,
		Priority:  int(a.Priority),
	}
	if a.Stream {
		body.Stream = true
		body.StreamOptions = &chatOptions{IncludeUsage: true}
	}
	resp, err := c.post(ctx, a, "/v1/chat/completions", body)
	if err != nil {
		return pipeline.Result{}, err
	}
	defer closeBody(resp)
	if got := resp.Header.Get(headerRequestID); got != a.ID {
		return pipeline.Result{}, incompleteError(a, 0, "it belongs to attempt %q, not to %q", got, a.ID)
	}
	if a.Stream {
		return readStream(resp, a, emit)
	}
	return readAnswer(resp, a)
}

// prompt joins the input and the documents to one text. The input comes first, so
// that requests whose inputs begin alike share a prefix.
func prompt(in pipeline.Payload) string {
	if len(in.Documents) == 0 {
		return in.Text
	}
	return in.Text + "\n\n" + strings.Join(in.Documents, "\n")
}

func readAnswer(resp *http.Response, a pipeline.Attempt) (pipeline.Result, error) {
	var answer chatAnswer
	if err := decodeSingle(resp.Body, &answer); err != nil {
		return pipeline.Result{}, incompleteError(a, 0, "it is not a single complete JSON value: %w", err)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" || answer.Usage == nil {
		return pipeline.Result{}, incompleteError(a, 0, "it has no finish reason or no usage")
	}
	return pipeline.Result{
		Text:        answer.Choices[0].Message.Content,
		Units:       answer.Usage.CompletionTokens,
		CachedUnits: answer.Usage.Details.CachedTokens,
	}, nil
}

// readStream passes text to emit as it arrives. The stream is complete only if it
// has a finish reason, the usage and the done marker.
func readStream(resp *http.Response, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	var s streamState
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for !s.done && scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		if err := s.handleEvent(bytes.TrimSpace(data), emit); err != nil {
			return s.result(), incompleteError(a, float64(s.tokens), "an event is not JSON: %w", err)
		}
	}
	if s.hasFinishReason && s.done && s.usage != nil {
		return s.result(), nil
	}
	if err := scanner.Err(); err != nil {
		return s.result(), incompleteError(a, float64(s.tokens), "the stream failed after %d tokens: %w", s.tokens, err)
	}
	return s.result(), incompleteError(a, float64(s.tokens), "the stream ended after %d tokens without a finish reason, the usage or the done marker", s.tokens)
}

func (s *streamState) handleEvent(data []byte, emit func(string)) error {
	if string(data) == doneMarker {
		s.done = true
		return nil
	}
	var chunk chatAnswer
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			s.tokens++
			s.text.WriteString(choice.Delta.Content)
			emit(choice.Delta.Content)
		}
		if choice.FinishReason != "" {
			s.hasFinishReason = true
		}
	}
	return nil
}

func (s *streamState) result() pipeline.Result {
	r := pipeline.Result{Text: s.text.String(), Units: float64(s.tokens)}
	if s.usage != nil {
		r.Units = s.usage.CompletionTokens
		r.CachedUnits = s.usage.Details.CachedTokens
	}
	return r
}
