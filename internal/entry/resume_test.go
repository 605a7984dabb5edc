package entry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const testPrompt = `{"stream":true,"messages":[{"role":"user","content":"Which blue?"}]}`

func testPosition() resume.Position {
	return resume.Position{
		Organisation: "trust", Service: "lamp-bench", RequestID: "r", Engine: "10.0.0.1:80",
		Incarnation: "i", StreamID: "s", Weights: "opal@1", NextIndex: 7,
	}
}

func TestResumeTokenIsBoundToServiceAndOrganisation(t *testing.T) {
	h, f := newTestHandler(t)
	keys := resume.NewKeys("fleet-key", nil)
	try := func(service, token string) int {
		return send(h, http.MethodPost, "/services/"+service+"/v1/chat/completions", http.Header{"Last-Event-Id": {token}}, testPrompt).Code
	}
	assert.Equal(t, try("lamp-bench", keys.Encode(testPosition())), http.StatusOK)
	assert.DeepEqual(t, f.resumed, []resume.Position{testPosition()})
	assert.Equal(t, try("other-bench", keys.Encode(testPosition())), http.StatusBadRequest)
	other := testPosition()
	other.Organisation = "hilos"
	assert.Equal(t, try("lamp-bench", keys.Encode(other)), http.StatusBadRequest)
	assert.Equal(t, try("lamp-bench", resume.NewKeys("another", nil).Encode(testPosition())), http.StatusBadRequest)
	ruby := testPosition()
	ruby.Weights = "ruby@1"
	assert.Equal(t, try("lamp-bench", keys.Encode(ruby)), http.StatusBadGateway)
	assert.Equal(t, len(f.resumed), 1)
	// A stream that started before a rollout is resumed in its own version.
	older := testPosition()
	older.Weights = "opal@0"
	assert.Equal(t, try("lamp-bench", keys.Encode(older)), http.StatusOK)
	assert.DeepEqual(t, f.resumed[1:], []resume.Position{older})
}

func TestTamperedResumeTokenIsRefused(t *testing.T) {
	keys := resume.NewKeys("fleet-key", nil)
	token := keys.Encode(testPosition())
	rapid.Check(t, func(rt *rapid.T) {
		i := rapid.IntRange(0, len(token)-1).Draw(rt, "at")
		c := rapid.SampledFrom([]byte("ABCDabcd0123-_")).Draw(rt, "character")
		changed := token[:i] + string(c) + token[i+1:]
		p, err := keys.Decode(changed)
		// The last base64 character has unused bits that do not change the token.
		if err == nil && (changed != token && i != len(token)-1 || p != testPosition()) {
			rt.Fatalf("accepted %q", changed)
		}
	})
}

func TestInterruptedStreamEndsWithErrorEvent(t *testing.T) {
	h, f := newTestHandler(t)
	src := dispatch.StreamSource{Engine: "10.0.0.1:80"}
	f.generate = func(_ *dispatch.ModelRequest, sink dispatch.Sink) error {
		assert.NilError(t, sink.Event(src, upstream.Event{Text: "Light "}))
		return verdict.New(verdict.Ran, verdict.CodeStreamLost, "lost")
	}
	body := send(h, http.MethodPost, "/services/lamp-bench/v1/chat/completions", http.Header{}, testPrompt).Body.String()
	assert.Assert(t, strings.Contains(body, "event: error\ndata: {\"error\":"), body)
	assert.Assert(t, strings.Contains(body, `"verdict":"ran"`), body)
	assert.Assert(t, !strings.Contains(body, "[DONE]"), body)
}
