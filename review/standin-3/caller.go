package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller has seen of one request.
type answer struct {
	id      string
	sentAt  time.Time
	took    time.Duration
	status  int // 0 if there was no answer
	stamp   string
	body    string
	err     error
	request string
}

// call describes a request.
type call struct {
	method, host, path, key string
	body                    []byte
	deadline                time.Duration
	header                  map[string]string
}

// caller keeps connections to the daemons as requesters do.
type caller struct {
	w      *world
	client *http.Client
}

func newCaller(w *world) *caller {
	return &caller{w: w, client: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second,
	}}}
}

// do sends a request to an address and waits for its answer.
func (c *caller) do(address string, q call) answer {
	a := answer{id: c.w.newID(), sentAt: time.Now(), request: q.method + " " + q.path}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if q.body != nil {
		body = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, body)
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.GetBody = nil // the transport repeats nothing
	h := r.Header
	h["X-Request-Id"], h["X-Key"], h["X-Deadline-Ms"] = []string{a.id}, []string{q.key}, []string{strconv.FormatInt(q.deadline.Milliseconds(), 10)}
	for name, value := range q.header {
		h.Set(name, value)
	}
	resp, err := c.client.Do(r)
	if err == nil {
		var content []byte
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
		content, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.body = string(content)
	}
	a.err, a.took = err, time.Since(a.sentAt)
	detail := strings.TrimSpace(a.body)
	c.w.note("answer", fmt.Sprintf("%s %s at %s after %d ms: %d %q %v", a.id, a.request, address, a.took.Milliseconds(), a.status, detail[:min(len(detail), 80)], a.err))
	return a
}
