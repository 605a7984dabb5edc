// Package endlesstest provides a stand-in for an upstream that sends bytes without end,
// for tests of clients in virtual time.
package endlesstest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// WriteBytes are written every Interval, or a single unit if the upstream is slow.
	WriteBytes = 512 << 10
	Interval   = 50 * time.Millisecond
)

// Upstream responds to the first request on each connection with Start and then repeats
// Unit until the connection is closed.
type Upstream struct {
	Start, Unit string
	Slow        bool

	mu       sync.Mutex
	conns    []net.Conn
	requests int
	taken    int
	open     int
}

// Dial makes an in-memory connection without a buffer: the client has read every byte
// that is taken.
func (u *Upstream) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, server)
	u.open++
	go u.serve(server)
	return client, nil
}

// Stop closes all connections. It returns after their goroutines had the time to end.
func (u *Upstream) Stop() {
	u.mu.Lock()
	for _, c := range u.conns {
		c.Close()
	}
	u.mu.Unlock()
	time.Sleep(2 * Interval)
}

// State returns how many requests were read, how many bytes of the responses were taken
// and how many connections are open.
func (u *Upstream) State() (requests, taken, open int) {
	time.Sleep(2 * Interval) // the next write finds a closed connection
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests, u.taken, u.open
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
	}()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	u.mu.Lock()
	u.requests++
	u.mu.Unlock()
	repeated := u.Unit
	if !u.Slow {
		repeated = strings.Repeat(u.Unit, WriteBytes/len(u.Unit))
	}
	for text := u.Start + repeated; ; text = repeated {
		n, err := io.WriteString(conn, text)
		u.mu.Lock()
		u.taken += n
		u.mu.Unlock()
		if err != nil {
			return
		}
		time.Sleep(Interval)
	}
}

// Heads are starts and units of responses whose head has no end.
var Heads = map[string][2]string{
	"status line":             {"HTTP/1.1 200 ", "x"},
	"no answer":               {"", "\x00\x01"},
	"header line":             {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
	"header lines":            {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"informational response":  {"HTTP/1.1 103 Early Hints\r\n", "X-A: b\r\n"},
}
