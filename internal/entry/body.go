package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// writeTimeout bounds how long a caller may take to accept one event or
	// the headers of a response.
	writeTimeout = 30 * time.Second
	// minWriteBytesPerSecond is the minimum rate at which a caller must accept
	// a buffered response.
	minWriteBytesPerSecond = 64 << 10
	// bodyReadTimeout bounds how long a caller may take to send a request body.
	bodyReadTimeout = time.Minute
	// maxBodyPreallocBytes bounds the buffer that is allocated from a request's
	// Content-Length alone, before the body arrives.
	maxBodyPreallocBytes = 256 << 10
	// maxBufferedBodyBytes bounds the total size of the request bodies that a
	// daemon holds at a time.
	maxBufferedBodyBytes = 512 << 20
	// bodyBudgetRetryAfter is the Retry-After delay of requests rejected because
	// of maxBufferedBodyBytes.
	bodyBudgetRetryAfter = time.Second
)

// setWriteDeadline sets the deadline for writing the next n bytes to the caller.
func setWriteDeadline(w http.ResponseWriter, n int) {
	timeout := writeTimeout + time.Duration(n)*time.Second/minWriteBytesPerSecond
	// httptest.ResponseRecorder has no deadlines and returns an error; connections have them.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// bodyBudget limits the bytes reserved for request bodies at a time to maxBufferedBodyBytes.
type bodyBudget struct{ reservedBytes atomic.Int64 }

// read reads a request's body. Its bytes count against the budget until release
// is called. Without budget it returns a verdict.CodeOverloaded error.
func (b *bodyBudget) read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	reserved := limit
	if r.ContentLength >= 0 {
		reserved = min(r.ContentLength, limit)
	}
	release = func() { b.reservedBytes.Add(-reserved) }
	if b.reservedBytes.Add(reserved) > maxBufferedBodyBytes {
		release()
		overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many large requests at once")
		overloaded.RetryAfter = bodyBudgetRetryAfter
		return nil, nil, overloaded
	}
	body, err = readBody(w, r, limit)
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, bodyBufferBytes(r.ContentLength, limit)))
	_, err := io.Copy(buffer, http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the request body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the request body could not be read")
	}
	return buffer.Bytes(), nil
}

// bodyBufferBytes returns the initial buffer size for a body with the given
// Content-Length, which is negative when not known.
func bodyBufferBytes(contentLength, limit int64) int64 {
	return min(max(contentLength, 0), limit, maxBodyPreallocBytes) + bytes.MinRead
}
