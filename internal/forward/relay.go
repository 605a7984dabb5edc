package forward

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxBufferedBodyBytes is the largest response body that is buffered
	// completely before its headers are relayed, so that the request can be
	// retried if the response breaks off.
	maxBufferedBodyBytes = 256 << 10
	// bodyReadBytes is the size of one read of a response body.
	bodyReadBytes        = 4 << 10
	eventStreamMediaType = "text/event-stream"
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("failed to write to the caller")

// relay forwards a response and returns the number of relayed events, 1 for a
// response that is not a stream. After an error the caller does not have the
// complete response.
func (t *transfer) relay(resp *httpconn.Response) (int, error) {
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if t.route.Kind == routetable.Stream && resp.StatusCode == http.StatusOK && media == eventStreamMediaType {
		return t.relayEvents(resp)
	}
	return 1, t.relayBody(resp)
}

// relayBody forwards a response that is not an event stream. A status that promises callers that
// the request did not run fails the attempt, because callers send a request again after it, even
// one that must not be repeated.
func (t *transfer) relayBody(resp *httpconn.Response) error {
	if !t.route.Repeatable() && httpverdict.PromisesNotRun(resp.StatusCode) {
		resp.Discard()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "status "+strconv.Itoa(resp.StatusCode)+" without the upstream's statement that it did not run the request")
	}
	memory := t.forwarder.responseMemory.lease()
	defer func() { memory.release() }()
	buffered, whole, err := readBody(resp.Body, memory)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the response broke off")
	}
	if t.responseStarted {
		return verdict.New(verdict.Ran, verdict.CodeStreamLost, "the upstream did not resume the stream: status "+strconv.Itoa(resp.StatusCode))
	}
	if t.isRetryableStatus(resp.StatusCode) && (whole || t.reserveRetry()) {
		if whole {
			t.keepFailure(&failedResponse{resp.StatusCode, resp.Header, buffered, memory})
			memory = t.forwarder.responseMemory.lease() // the kept response holds the other one
		}
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "status "+strconv.Itoa(resp.StatusCode))
	}
	t.copyHeaders(resp, !whole)
	if whole {
		t.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	t.writer.WriteHeader(resp.StatusCode)
	if _, err := t.writer.Write(buffered); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(t.writer, resp.Body); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CodeUpstreamFailed, "the response broke off after part of it was relayed")
	}
	return nil
}

// readBody reads a body of up to maxBufferedBodyBytes. whole is false if the body is longer or
// the memory for responses is used up; then the rest is still to be read.
func readBody(body io.Reader, memory *memoryLease) (buffered []byte, whole bool, err error) {
	for {
		if len(buffered) > maxBufferedBodyBytes || !memory.resize(len(buffered)+bodyReadBytes) {
			return buffered, false, nil
		}
		buffered = slices.Grow(buffered, bodyReadBytes)
		n, err := body.Read(buffered[len(buffered) : len(buffered)+bodyReadBytes])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// isRetryableStatus reports whether the request should be retried: the upstream
// answered 500 and the route allows another run.
func (t *transfer) isRetryableStatus(status int) bool {
	return status == http.StatusInternalServerError && t.route.Kind == routetable.Safe && t.attemptsRun < t.route.MaxAttempts
}

// failedResponse is a complete response of an upstream that is relayed unless another attempt
// succeeds.
type failedResponse struct {
	status int
	header http.Header
	body   []byte
	memory *memoryLease
}

// keepFailure keeps the newest failed response; nil gives up the one that is kept.
func (t *transfer) keepFailure(f *failedResponse) {
	if t.failure != nil {
		t.failure.memory.release()
	}
	t.failure = f
}

// relayFailure relays the kept response because there is no other attempt, for the reason err.
func (t *transfer) relayFailure(err error) {
	f := t.failure
	t.logEvent(eventlog.RequestFailed, "", errors.Wrapf(err, "the upstream's response with status %d is relayed, there is no other attempt", f.status))
	t.recordOutcome(ResultUpstreamError, verdict.Ran)
	t.forwarder.Headers.CallerHeader(t.writer.Header(), f.header)
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	t.writer.WriteHeader(f.status)
	_, _ = t.writer.Write(f.body) // fails only when the caller has disconnected
}

func (t *transfer) copyHeaders(resp *httpconn.Response, started bool) {
	t.forwarder.Headers.CallerHeader(t.writer.Header(), resp.Header)
	t.responseStarted = started
}

// relayEvents forwards events as they arrive, each only once it is complete.
func (t *transfer) relayEvents(resp *httpconn.Response) (int, error) {
	events := &eventReader{source: bufio.NewReader(resp.Body), memory: t.forwarder.responseMemory.lease()}
	defer events.memory.release()
	controller := http.NewResponseController(t.writer)
	resumed := t.responseStarted
	if !resumed {
		t.copyHeaders(resp, true)
		t.resumable = true
		t.writer.WriteHeader(resp.StatusCode)
	}
	relayed, continued := 0, false
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if !continued && resp.EndsWithConnection() {
				return relayed, verdict.Wrap(io.ErrUnexpectedEOF, verdict.MayHaveRun, verdict.CodeStreamLost, "the connection ended before the upstream's first new event")
			}
			return relayed, nil
		}
		if err != nil {
			return relayed, verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the event stream broke off")
		}
		t.recordByte()
		if resumed && e.id == "" && e.hasFields {
			return relayed, verdict.New(verdict.Ran, verdict.CodeStreamLost, "the upstream did not resume the stream: an event has no ID")
		}
		if e.hasFields {
			t.recordBegin()
		}
		if t.alreadyRelayed(e.id) {
			continue
		}
		if e.hasFields {
			t.recordOrigin()
		}
		if _, err := t.writer.Write(e.raw); err != nil {
			return relayed, errors.Mark(err, errCallerWrite)
		}
		if err := controller.Flush(); err != nil {
			return relayed, errors.Mark(err, errCallerWrite)
		}
		relayed++
		continued = continued || e.hasFields
		if e.id != "" {
			t.lastEventID = e.id
		}
		t.resumable = e.id != "" || !e.hasFields && t.resumable
	}
}

// alreadyRelayed reports whether the caller received the event before the
// stream was resumed.
func (t *transfer) alreadyRelayed(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(t.lastEventID, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// event is one event of a stream in its wire format.
type event struct {
	raw []byte
	id  string
	// hasFields is set unless the event consists of comments only.
	hasFields bool
}

// eventReader splits a stream into events.
type eventReader struct {
	source *bufio.Reader
	buffer []byte
	memory *memoryLease
}

// next returns the next complete event; its bytes are valid until the next
// call. The error is io.EOF when the stream ends between two events.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	if cap(r.buffer) > unleasedBytes {
		r.buffer = nil
	}
	r.memory.release()
	var e event
	lineStart := 0
	for {
		part, err := r.source.ReadSlice('\n')
		if !r.memory.resize(len(r.buffer) + len(part)) {
			return event{}, errResponseMemory
		}
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > maxEventBytes {
			return event{}, errors.Newf("stream event exceeds %d bytes", maxEventBytes)
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
		text := bytes.TrimRight(r.buffer[lineStart:], "\r\n")
		lineStart = len(r.buffer)
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			e.raw = r.buffer
			return e, nil
		}
		e.hasFields = e.hasFields || text[0] != ':'
	}
}
