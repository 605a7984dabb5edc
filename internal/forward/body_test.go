package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// slowBody is a request body that arrives when it is told to.
type slowBody struct {
	*io.PipeReader
	writer *io.PipeWriter
	status chan int
}

// sendSlowly begins a request whose body is not complete yet; length is -1 for one in chunks.
func sendSlowly(f *Forwarder, id string, length int64, arrived int) *slowBody {
	return sendSlowlyTo(f, func(w *httptest.ResponseRecorder) http.ResponseWriter { return deadlineRecorder{w} }, id, length, arrived)
}

// sendSlowlyTo is sendSlowly with the writer of the response.
func sendSlowlyTo(f *Forwarder, writerOf func(*httptest.ResponseRecorder) http.ResponseWriter, id string, length int64, arrived int) *slowBody {
	reader, writer := io.Pipe()
	b := &slowBody{reader, writer, make(chan int, 1)}
	r := httptest.NewRequest(http.MethodPost, "/unsafe/1", reader).WithContext(context.Background())
	r.ContentLength, r.Host = length, "host"
	r.Header.Set("Id", id)
	r.Header.Set("End", string(endServed))
	w := httptest.NewRecorder()
	go func() {
		f.ServeHTTP(writerOf(w), r)
		reader.Close()
		b.status <- w.Code
	}()
	go func() { _, _ = writer.Write(make([]byte, arrived)) }()
	synctest.Wait()
	return b
}

// complete sends the last byte.
func (b *slowBody) complete() {
	go func() {
		_, _ = b.writer.Write(make([]byte, 1))
		b.writer.Close()
	}()
}

// Guards against a burst of large bodies that exceeds the memory: they counted only once they
// had arrived. What does not fit is refused at once, and fits again after any end of those
// before, whatever it is.
func TestBodiesOnTheirWayCount(t *testing.T) {
	const limit, size = 1 << 20, 400 << 10 // bytes; two fit
	for name, length := range map[string]int64{"with a length": size, "in chunks": -1} {
		for ending, end := range map[string]func(*slowBody){
			"complete": (*slowBody).complete,
			"cut":      func(b *slowBody) { b.writer.CloseWithError(errors.New("connection reset")) },
		} {
			t.Run(name+"/"+ending, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, closeAll := newEndingForwarder(t, eventlog.Discard())
					f.bodyMemory.limit = limit
					first := sendSlowly(f, "first", length, size-1)
					second := sendSlowly(f, "second", length, size-1)
					start := time.Now()
					third := sendSlowly(f, "third", length, size-1)
					assert.Equal(t, <-third.status, http.StatusServiceUnavailable)
					assert.Check(t, time.Since(start) < 50*time.Millisecond, "refused after %s", time.Since(start))
					assert.Check(t, f.bodyMemory.used.Load() <= limit, "%d bytes are held", f.bodyMemory.used.Load())
					small := sendSlowly(f, "small", 800, 800)
					small.writer.Close()
					assert.Equal(t, <-small.status, http.StatusOK)
					end(first)
					<-first.status
					fourth := sendSlowly(f, "fourth", length, size-1)
					for _, b := range []*slowBody{second, fourth} {
						b.complete()
						assert.Equal(t, <-b.status, http.StatusOK)
					}
					assert.Equal(t, f.bodyMemory.used.Load(), int64(0))
					closeAll()
					time.Sleep(2 * time.Minute)
				})
			})
		}
	}
}

// duplexRecorder lets the rest of a refused body be discarded, as a server's connection does.
type duplexRecorder struct{ deadlineRecorder }

func (duplexRecorder) EnableFullDuplex() error { return nil }

// Guards against a burst of bodies in chunks of which none is accepted: those that were refused
// held their memory until their callers had sent the rest, so that the others did not fit either.
func TestRefusedBodyHoldsNoMemory(t *testing.T) {
	const limit, arrived, rest = 1 << 20, 400 << 10, 200 << 10 // bytes; the second part needs a larger buffer
	synctest.Test(t, func(t *testing.T) {
		f, closeAll := newEndingForwarder(t, eventlog.Discard())
		f.bodyMemory.limit = limit
		writerOf := func(w *httptest.ResponseRecorder) http.ResponseWriter {
			return duplexRecorder{deadlineRecorder{w}}
		}
		first := sendSlowlyTo(f, writerOf, "first", -1, arrived)
		second := sendSlowlyTo(f, writerOf, "second", -1, arrived)
		for _, b := range []*slowBody{first, second} {
			go func() { _, _ = b.writer.Write(make([]byte, rest)) }()
			synctest.Wait()
		}
		second.complete()
		assert.Equal(t, <-second.status, http.StatusOK)
		first.complete()
		assert.Equal(t, <-first.status, http.StatusServiceUnavailable)
		assert.Equal(t, f.bodyMemory.used.Load(), int64(0))
		closeAll()
		time.Sleep(2 * time.Minute)
	})
}
