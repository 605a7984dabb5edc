package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/lab/engine"
)

// post sends a request to the first entry and returns the response and its body.
func post(t *testing.T, s *system, path, body string, header http.Header) (*http.Response, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.daemons[0].CallerAddress+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(raw)
}

const chatPath = "/services/" + ModelService + "/v1/chat/completions"

// TestCallers checks the responses of a running system to correct and faulty
// requests.
func TestCallers(t *testing.T) {
	s, err := start()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	assert.NilError(t, s.awaitReady(ctx))
	assert.NilError(t, s.submitDocuments(ctx))

	t.Run("buffered chat answer", func(t *testing.T) {
		resp, body := post(t, s, chatPath, `{"model":"opal","max_tokens":3,"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		var answer struct {
			Object  string `json:"object"`
			Choices []struct {
				Message struct{ Role, Content string } `json:"message"`
				Finish  string                         `json:"finish_reason"`
			} `json:"choices"`
			Usage struct {
				Completion int `json:"completion_tokens"`
			} `json:"usage"`
		}
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		assert.Equal(t, answer.Object, "chat.completion")
		assert.Equal(t, answer.Choices[0].Message.Content, engine.AnswerText("granite-hollow", []string{"a", "b"}, 3))
		assert.Equal(t, answer.Choices[0].Finish, "stop")
		assert.Equal(t, answer.Usage.Completion, 3)
	})
	t.Run("completion with levels", func(t *testing.T) {
		_, body := post(t, s, "/services/"+ModelService+"/v1/completions", `{"max_tokens":2,"prompt":["a","b"]}`, nil)
		assert.Assert(t, strings.Contains(body, engine.AnswerText("granite-hollow", []string{"a", "b"}, 2)), body)
		_, body = post(t, s, "/services/"+ModelService+"/v1/completions", `{"max_tokens":2,"prompt":"a"}`, nil)
		assert.Assert(t, strings.Contains(body, `"text":"`+engine.AnswerText("granite-hollow", []string{"a"}, 2)), body)
	})
	t.Run("streamed answer", func(t *testing.T) {
		resp, body := post(t, s, chatPath, `{"stream":true,"max_tokens":2,"messages":[{"role":"user","content":"b"}]}`, nil)
		assert.Equal(t, resp.Header.Get("Content-Type"), "text/event-stream")
		assert.Equal(t, strings.Count(body, "\nid: ")+1, 2, body)
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
		assert.Assert(t, resp.Header.Get(entry.HeaderUpstream) != "" && resp.Header.Get(entry.HeaderRequestID) != "")
	})
	t.Run("refusals", func(t *testing.T) { checkRefusals(t, s) })
}

func checkRefusals(t *testing.T, s *system) {
	message := func(extra string) string { return `{"messages":[{"role":"user","content":"b"}]` + extra + `}` }
	for _, c := range []struct {
		name, path, body string
		header           http.Header
		status           int
		code             string
	}{
		{"unknown path", "/v1/nothing", "", nil, 404, "not_found"},
		{"unknown service", "/services/nobody/v1/chat/completions", message(""), nil, 404, "not_found"},
		{"service of another kind", "/services/" + PlainService + "/v1/chat/completions", message(""), nil, 404, "not_found"},
		{"wrong key", chatPath, message(""), http.Header{"Authorization": {"Bearer wrong"}}, 401, "unauthorized"},
		{"no key", chatPath, message(""), http.Header{"Authorization": nil}, 401, "unauthorized"},
		{"malformed body", chatPath, `{"messages":`, nil, 400, "bad_request"},
		{"no messages", chatPath, `{}`, nil, 400, "bad_request"},
		{"too many levels", chatPath, `{"messages":[` + strings.Repeat(`{"role":"user","content":"a"},`, 64) + `{"role":"user","content":"a"}]}`, nil, 400, "bad_request"},
		{"too many tokens", chatPath, message(`,"max_tokens":1000000`), nil, 400, "bad_request"},
		{"no tokens", chatPath, message(`,"max_tokens":0`), nil, 400, "bad_request"},
		{"unknown model", chatPath, message(`,"model":"ruby"`), nil, 404, "not_found"},
		{"unknown class", chatPath, message(""), http.Header{entry.HeaderClass: {"urgent"}}, 400, "bad_request"},
		{"malformed deadline", chatPath, message(""), http.Header{entry.HeaderDeadline: {"soon"}}, 400, "bad_request"},
		{"forged resume token", chatPath, message(`,"stream":true`), http.Header{entry.HeaderLastEventID: {"Zm9yZ2Vk"}}, 400, "bad_request"},
		{"body too large", chatPath, `{"messages":[{"role":"user","content":"` + strings.Repeat("a", 9<<20) + `"}]}`, nil, 413, "too_large"},
		{"order without a key", "/services/" + PlainService + "/http/orders", "{}", nil, 400, "idempotency_key_required"},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, body := post(t, s, c.path, c.body, c.header)
			assert.Equal(t, resp.StatusCode, c.status, body)
			var failure entry.ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(body), &failure))
			assert.Equal(t, string(failure.Error.Code), c.code)
			assert.Equal(t, failure.Error.Verdict, "not-run")
			assert.Equal(t, resp.Header.Get(entry.HeaderVerdict), "not-run")
		})
	}
}
