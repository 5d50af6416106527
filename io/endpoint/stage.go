package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"

	"chervilpath/core/pipeline"
)

type (
	// stageRequest is the JSON body of a call of a pool or a service.
	stageRequest struct {
		Attempt      string           `json:"attempt"`
		RequestID    string           `json:"requestId"`
		Organisation string           `json:"organisation"`
		Input        pipeline.Payload `json:"input"`
	}

	// stageAnswer is the JSON answer of a pool or a service.
	stageAnswer struct {
		Attempt string  `json:"attempt"`
		Ran     string  `json:"ran"`
		Units   float64 `json:"units"`
		Output  struct {
			Text      string   `json:"text"`
			Documents []string `json:"documents"`
		} `json:"output"`
		Error string `json:"error"`
	}
)

var errTrailingData = errors.New("data after the value")

// callStage calls a pool member or a plain service. A truncated answer is not
// valid JSON, so that no other check of its completeness is needed.
func (c *Client) callStage(ctx context.Context, a pipeline.Attempt) (pipeline.Result, error) {
	body := stageRequest{Attempt: a.ID, RequestID: a.RequestID, Organisation: a.Organisation, Input: a.Input}
	resp, err := c.post(ctx, a, "/run/"+url.PathEscape(a.Stage.Name()), body)
	if err != nil {
		return pipeline.Result{}, err
	}
	defer closeBody(resp)
	var answer stageAnswer
	if err := decodeSingle(resp.Body, &answer); err != nil {
		return pipeline.Result{}, incompleteError(a, 0, "it is not a single complete JSON value: %w", err)
	}
	if answer.Attempt != a.ID {
		return pipeline.Result{}, incompleteError(a, 0, "it belongs to attempt %q, not to %q", answer.Attempt, a.ID)
	}
	return pipeline.Result{Text: answer.Output.Text, Documents: answer.Output.Documents, Units: answer.Units}, nil
}

// decodeSingle decodes exactly one JSON value.
func decodeSingle(r io.Reader, v any) error {
	dec := json.NewDecoder(io.LimitReader(r, maxAnswerBytes))
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
