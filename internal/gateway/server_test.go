package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

// testServer is a server with in-memory connections.
type testServer struct {
	*server
	listener *handoffListener
}

func newTestServer(t *testing.T) *testServer {
	return newTestServerWithin(t, descriptor.NewBudget(0), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
}

func newTestServerWithin(t *testing.T, budget *descriptor.Budget, handler http.Handler) *testServer {
	listener := newHandoffListener(&net.TCPAddr{})
	network := Network{Listen: func(string) (net.Listener, error) { return listener, nil }, Descriptors: budget}
	s, err := newServer(network, "", callerConns, handler)
	assert.NilError(t, err)
	go func() { assert.Check(t, s.serve()) }()
	return &testServer{s, listener}
}

func (s *testServer) dial(t *testing.T) net.Conn {
	client, accepted := net.Pipe()
	assert.Assert(t, s.listener.handOff(accepted))
	return client
}

// ask sends a request and returns the response's status, or 0 if the connection
// is closed.
func ask(conn net.Conn, header string) int {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", header); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestIdleLimitFollowsTheDesiredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		defer s.close()
		early := s.dial(t)
		assert.Equal(t, ask(early, ""), http.StatusOK)
		s.setLimits(routetable.Limits{IdleTimeout: 15 * time.Second})
		late := s.dial(t)
		for range 3 {
			assert.Equal(t, ask(late, ""), http.StatusOK)
			time.Sleep(15 * time.Second)
		}
		assert.Equal(t, ask(late, ""), http.StatusOK, "a connection idle for as long as allowed is kept")
		time.Sleep(17 * time.Second)
		assert.Equal(t, ask(late, ""), 0, "a connection idle for longer is closed")
		assert.Equal(t, ask(early, ""), http.StatusOK, "a connection keeps the limits it was made under")
	})
}

func TestHeaderLimitsFollowTheDesiredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		defer s.close()
		const extraHeaderBytes = 4 << 10 // net/http accepts this much more
		long := "X-Long: " + strings.Repeat("x", 16<<10+extraHeaderBytes) + "\r\n"
		assert.Equal(t, ask(s.dial(t), long), http.StatusOK)
		s.setLimits(routetable.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second})
		assert.Equal(t, ask(s.dial(t), "X-Long: "+strings.Repeat("x", 15<<10)+"\r\n"), http.StatusOK)
		conn := s.dial(t)
		go ask(conn, long) // net.Pipe is unbuffered and the server responds before it has read the whole request
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)

		slow := s.dial(t)
		_, err = fmt.Fprint(slow, "GET / HTTP/1.1\r\n")
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		_, err = fmt.Fprint(slow, "Host: x\r\n\r\n")
		assert.Assert(t, err != nil, "a connection whose headers take longer than allowed is closed")
	})
}

// Guards against 431 for headers that a newer desired state allows, on connections from before
// it. Those that are idle are closed at once, others with their response; a lower limit closes
// none.
func TestRaisedHeaderLimitReachesOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := newTestServerWithin(t, descriptor.NewBudget(0), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Wait") != "" {
				<-release
			}
			fmt.Fprint(w, "ok")
		}))
		defer s.close()
		long := "Long: " + strings.Repeat("x", 20<<10) + "\r\n"
		s.setLimits(routetable.Limits{HeaderBytes: 32 << 10})
		kept := s.dial(t)
		assert.Equal(t, ask(kept, ""), http.StatusOK)
		s.setLimits(routetable.Limits{HeaderBytes: 4 << 10})
		assert.Equal(t, ask(kept, long), http.StatusOK, "a lower limit closes no connection")
		idle, busy := s.dial(t), s.dial(t)
		assert.Equal(t, ask(idle, ""), http.StatusOK)
		status := make(chan int)
		go func() { status <- ask(busy, "Wait: 1\r\n") }()
		synctest.Wait()
		s.setLimits(routetable.Limits{HeaderBytes: 32 << 10})
		assert.Equal(t, ask(idle, long), 0, "the connection is closed, no response is wrong")
		close(release)
		assert.Equal(t, <-status, http.StatusOK, "a request in flight is answered")
		assert.Equal(t, ask(busy, long), 0)
		assert.Equal(t, ask(kept, long), http.StatusOK)
		fresh := s.dial(t)
		assert.Equal(t, ask(fresh, long), http.StatusOK)
		assert.Equal(t, ask(fresh, long), http.StatusOK, "connections of the newest limit are kept")
	})
}

// A new connection displaces an idle one and never one with a request, beyond which it is
// refused.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		finish := make(chan struct{})
		s := newTestServerWithin(t, descriptor.NewBudget(3), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Long") != "" {
				<-finish
			}
			fmt.Fprint(w, "ok")
		}))
		defer s.close()
		first, second := s.dial(t), s.dial(t)
		results := make(chan int, 1)
		go func() { results <- ask(first, "Long: yes\r\n") }()
		assert.Equal(t, ask(second, ""), http.StatusOK)
		synctest.Wait() // until the first request is read and the second connection idle
		third := s.dial(t)
		assert.Equal(t, ask(third, ""), http.StatusOK, "an idle connection yields")
		assert.Equal(t, ask(second, ""), 0)
		go func() { results <- ask(third, "Long: yes\r\n") }()
		synctest.Wait()
		assert.Equal(t, ask(s.dial(t), ""), 0, "connections with requests do not")
		close(finish)
		for range 2 {
			assert.Equal(t, <-results, http.StatusOK)
		}
		synctest.Wait()
		assert.Equal(t, ask(s.dial(t), ""), http.StatusOK)
	})
}

// After several changes of the limits, close must also close connections that
// were accepted under earlier limits.
func TestCloseClosesConnectionsOfEarlierLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		var conns []net.Conn
		for i := range 4 {
			s.setLimits(routetable.Limits{IdleTimeout: time.Duration(i%2) * time.Second})
			conns = append(conns, s.dial(t))
			assert.Equal(t, ask(conns[i], ""), http.StatusOK)
		}
		s.close()
		for _, c := range conns {
			assert.Equal(t, ask(c, ""), 0)
		}
	})
}
