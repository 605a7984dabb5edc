package forward

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

// maxUploadDivisor: the bodies on their way to one upstream take 1/maxUploadDivisor of the memory
// for bodies, so that an upstream that reads slowly does not fill it.
const maxUploadDivisor = 8

// errUploadsWait reports that an upstream gets no further body until it has read others.
var errUploadsWait = errors.New("bodies on their way to the upstream wait to be read")

// uploads counts the bytes of bodies that are being written, by upstream.
type uploads struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// add counts a body unless the upstream has others and would exceed the limit with this one.
func (u *uploads) add(id string, bytes, limit int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bytes[id] > 0 && u.bytes[id]+bytes > limit {
		return false
	}
	u.bytes[id] += bytes
	return true
}

func (u *uploads) remove(id string, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bytes[id] -= bytes; u.bytes[id] <= 0 {
		delete(u.bytes, id)
	}
}

// boundUploads makes a request fail, with nothing sent, while too much of other bodies waits for
// the upstream to read it. The function that it returns ends the count of this body.
func (t *transfer) boundUploads(id string, r *httpconn.Request) (release func()) {
	f, size := t.forwarder, int64(len(r.Body))
	if !f.SlowReaders || f.bodyMemory.limit == 0 || size <= unleasedBodyBytes {
		return func() {}
	}
	counted := false
	ready := r.ReadyHeader
	r.ReadyHeader = func() (http.Header, error) {
		if !f.uploads.add(id, size, f.bodyMemory.limit/maxUploadDivisor) {
			f.OnUploadDiverted()
			return nil, errUploadsWait
		}
		counted = true
		return ready()
	}
	release = sync.OnceFunc(func() {
		if counted {
			f.uploads.remove(id, size)
		}
	})
	r.OnWritten = release
	return release
}
