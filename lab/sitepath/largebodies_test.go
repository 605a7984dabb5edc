package sitepath

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowReader is a body of zeros that takes a while to send, in parts.
type slowReader struct{ left, part int }

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	n := min(r.part, r.left, len(b))
	r.left -= n
	return n, nil
}

// A burst of large bodies takes no more memory than there is for bodies. Callers whose bodies do
// not fit get an answer at once, also those that go on sending; none is left without one.
func TestBurstOfLargeBodiesIsRefusedAtOnce(t *testing.T) {
	const size, burst = 1 << 20, 8 // bytes, requests
	const memoryMB, maxFit = 8, 2  // 0.3 of it is for bodies
	for name, length := range map[string]int64{"with a length": size, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentWith(t, func(d *deployment) { d.memoryMB = memoryMB }, func(d *deployment) {
				var mu sync.Mutex
				var callers sync.WaitGroup
				counts := map[int]int{}
				for range burst {
					callers.Go(func() {
						start := time.Now()
						a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", func(r *http.Request) {
							r.Body, r.ContentLength = io.NopCloser(&slowReader{size, size / 10}), length
						})
						assert.Check(t, a.err == nil, "%v", a.err)
						mu.Lock()
						defer mu.Unlock()
						counts[a.status]++
						if a.status == http.StatusServiceUnavailable {
							after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
							assert.Check(t, err == nil && after > 0, "%q", a.header.Get("Retry-After"))
							if length > 0 {
								assert.Check(t, time.Since(start) <= 150*time.Millisecond, "refused after %s", time.Since(start))
							}
						}
					})
				}
				callers.Wait()
				assert.Check(t, counts[http.StatusOK] >= 1 && counts[http.StatusOK] <= maxFit, "%v", counts)
				assert.Equal(t, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], burst)
				time.Sleep(2 * time.Second)
				d.checkNothingHeld()
			})
		})
	}
}
