package forward

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxHeldAnswer is the longest answer that is read whole before its head
	// is passed on, so that a broken one can be asked for again.
	maxHeldAnswer = 256 << 10
	eventStream   = "text/event-stream"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// errCallerWrite reports that the caller takes no more bytes.
var errCallerWrite = errors.New("the caller takes no more bytes")

// relay passes an answer on and returns the number of its events, 1 for a
// plain one. An error means that the caller has not got the whole answer.
func (t *transfer) relay(resp *httpconn.Response) (int, error) {
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if t.route.Kind == routetable.Stream && resp.StatusCode == http.StatusOK && media == eventStream {
		return t.relayEvents(resp)
	}
	return 1, t.relayWhole(resp)
}

// relayWhole passes on an answer that is not a stream of events.
func (t *transfer) relayWhole(resp *httpconn.Response) error {
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the answer broke off")
	}
	if t.begun {
		return verdict.New(verdict.Ran, verdict.CodeStreamLost, "the stream did not go on: status "+strconv.Itoa(resp.StatusCode))
	}
	if t.asksAgain(resp.StatusCode) {
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "status "+strconv.Itoa(resp.StatusCode))
	}
	long := len(held) > maxHeldAnswer
	t.writeHead(resp, long)
	if !long {
		t.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	t.w.WriteHeader(resp.StatusCode)
	if _, err := t.w.Write(held); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if !long {
		return nil
	}
	if _, err := io.Copy(t.w, resp.Body); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CodeUpstreamFailed, "a long answer broke off")
	}
	return nil
}

// asksAgain reports whether a failure is worth another attempt: an upstream's
// own fault at a request that may run again.
func (t *transfer) asksAgain(status int) bool {
	return status == http.StatusInternalServerError && t.route.Kind == routetable.Safe && t.ran < t.route.MaxAttempts
}

func (t *transfer) writeHead(resp *httpconn.Response, begun bool) {
	t.f.Wire.CallerHeader(t.w.Header(), resp.Header)
	t.begun = begun
}

// relayEvents passes events on as they come. Only whole events are passed on.
func (t *transfer) relayEvents(resp *httpconn.Response) (int, error) {
	events := &eventReader{source: bufio.NewReader(resp.Body)}
	out := http.NewResponseController(t.w)
	if !t.begun {
		t.writeHead(resp, true)
		t.w.WriteHeader(resp.StatusCode)
	}
	passed := 0
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return passed, nil
		}
		if err != nil {
			return passed, verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream broke off")
		}
		t.heard()
		if t.passedBefore(e.id) {
			continue
		}
		if _, err := t.w.Write(e.raw); err != nil {
			return passed, errors.Mark(err, errCallerWrite)
		}
		if err := out.Flush(); err != nil {
			return passed, errors.Mark(err, errCallerWrite)
		}
		passed++
		if e.id != "" {
			t.lastEvent = e.id
		}
	}
}

// passedBefore reports whether the caller has an event already, as after a resumption.
func (t *transfer) passedBefore(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(t.lastEvent, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// event is one event of a stream as it stands on the wire.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events.
type eventReader struct {
	source *bufio.Reader
	buffer []byte
}

// next returns the next whole event; its bytes are valid until the next call.
// io.EOF means that the stream ended between two events.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	var e event
	for {
		line, err := r.source.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if len(r.buffer) > maxEventBytes {
			return event{}, errors.Newf("an event of more than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			e.raw = r.buffer
			return e, nil
		}
	}
}
