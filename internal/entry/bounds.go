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
	// the head of an answer.
	writeTimeout = 30 * time.Second
	// writeRate is the least speed, in bytes a second, at which a caller must
	// accept a whole answer.
	writeRate = 64 << 10
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = time.Minute
	// maxBodyRoom bounds the memory taken on a caller's word, before its body has come.
	maxBodyRoom = 256 << 10
	// bodyMemory bounds the bodies of all requests in a daemon.
	bodyMemory = 512 << 20
	// bodiesRetryAfter is suggested to callers beyond that bound.
	bodiesRetryAfter = time.Second
)

// boundWrite sets the time by which the next n bytes must be written.
func boundWrite(w http.ResponseWriter, n int) {
	allowed := writeTimeout + time.Duration(n)*time.Second/writeRate
	// Recorders in tests have no deadlines; real connections do.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(allowed))
}

// bodies counts the memory of bodies that are in use.
type bodies struct{ used atomic.Int64 }

// read reads a request's body, which counts until release is called.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	reserved := limit
	if r.ContentLength >= 0 {
		reserved = min(r.ContentLength, limit)
	}
	release = func() { b.used.Add(-reserved) }
	if b.used.Add(reserved) > bodyMemory {
		release()
		e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many large requests at once")
		e.RetryAfter = bodiesRetryAfter
		return nil, nil, e
	}
	body, err = readBody(w, r, limit)
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	out := http.NewResponseController(w)
	_ = out.SetReadDeadline(time.Now().Add(bodyTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, bodyRoom(r.ContentLength, limit)))
	_, err := io.Copy(buffer, http.MaxBytesReader(w, r.Body, limit))
	_ = out.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the body could not be read")
	}
	return buffer.Bytes(), nil
}

// bodyRoom returns how much memory to take for a body of the stated length.
func bodyRoom(stated, limit int64) int64 {
	return min(max(stated, 0), limit, maxBodyRoom) + bytes.MinRead
}
