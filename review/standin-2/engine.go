package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	slots     = 6
	queueSize = 24
	// heartbeat is heartbeatMs of the installation's sheet.
	heartbeat = 1200 * time.Millisecond
	// backlog is the queue of new connections of an engine's machine.
	backlog = 8
)

// engine stands in for one engine of the orders application. Each boot has a new ID.
type engine struct {
	world *world
	name  string
	ip    string
	addr  string // the same for all boots
	// work is how long a request takes.
	work time.Duration
	// treat returns how a request is treated.
	treat func(r *http.Request, body []byte) treatment

	mu       sync.Mutex
	boots    int
	id       string
	up       bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	fillers  []net.Conn
	running  int
	waiting  int
	freed    chan struct{}
	ended    chan struct{} // closed when the boot ends
}

// treatment is how an engine treats a request.
type treatment int

const (
	serve treatment = iota
	// crashReset ends the process: its connections are reset, and nobody listens at its port.
	crashReset
	// crashDark leaves the machine without power: nothing answers, nothing is reset.
	crashDark
	// failAfterWork runs the request and then fails with a 503 that doesn't say that it wasn't run.
	failAfterWork
	// answerNotFound runs the request and answers 404.
	answerNotFound
)

func (w *world) newEngine(name, ip string, work time.Duration, treat func(*http.Request, []byte) treatment) *engine {
	e := &engine{world: w, name: name, ip: ip, work: work, treat: treat}
	w.engines = append(w.engines, e)
	e.boot()
	return e
}

// listenShort listens with a queue of new connections of the given length.
func listenShort(ip string, port, queue int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, queue); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// boot starts the engine's process, which registers itself.
func (e *engine) boot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	port := 0
	if e.addr != "" {
		_, text, _ := net.SplitHostPort(e.addr)
		port, _ = strconv.Atoi(text)
	}
	l, err := listenShort(e.ip, port, backlog)
	if err != nil {
		e.world.note("engine %s can't listen: %v", e.name, err)
		time.AfterFunc(200*time.Millisecond, e.boot)
		return
	}
	e.boots++
	e.id, e.addr, e.listener, e.up = fmt.Sprintf("i-%s-%d", e.name, e.boots), l.Addr().String(), l, true
	e.conns, e.running, e.waiting, e.freed, e.ended = map[net.Conn]struct{}{}, 0, 0, make(chan struct{}), make(chan struct{})
	go e.accept(l, e.id, e.ended)
	go e.beat(e.id, time.Now().UnixMilli(), e.ended)
}

// beat keeps the engine's row; it is removed after three heartbeats of silence.
func (e *engine) beat(id string, born int64, ended chan struct{}) {
	for seq := 1; ; seq++ {
		e.world.store.put("servers", id, map[string]any{"service": service, "addr": e.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": born})
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			e.world.store.remove("servers", id)
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) accept(l net.Listener, id string, ended chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if !e.up || e.id != id {
			e.mu.Unlock()
			c.Close()
			return
		}
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serveConn(c, id, ended)
	}
}

// crash ends the boot, and starts the next one after a while.
func (e *engine) crash(dark bool, backAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.ended)
	conns, listener := e.conns, e.listener
	end := func() {
		listener.Close()
		for c := range conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	if !dark {
		end()
		time.AfterFunc(backAfter, e.boot)
		return
	}
	go e.fill()
	time.AfterFunc(backAfter, func() {
		// The machine has power again: what comes on its earlier connections is reset.
		end()
		e.mu.Lock()
		fillers := e.fillers
		e.fillers = nil
		e.mu.Unlock()
		for _, c := range fillers {
			c.Close()
		}
		e.boot()
	})
}

// fill takes the places in the queue of new connections, so that the kernel answers no other.
func (e *engine) fill() {
	for range 2 * backlog {
		c, err := net.DialTimeout("tcp", e.addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.fillers = append(e.fillers, c)
		e.mu.Unlock()
	}
}

// isUp reports whether a boot goes on.
func isUp(ended chan struct{}) bool {
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (e *engine) serveConn(c net.Conn, id string, ended chan struct{}) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			if isUp(ended) {
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
				c.Close()
			}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !isUp(ended) {
			return // nothing answers after a crash
		}
		status, header, content, ok := e.handle(c, r, body, id, ended)
		if !ok || !isUp(ended) {
			return
		}
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		header.Set("Content-Length", strconv.Itoa(len(content)))
		header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		header.Write(&out)
		out.WriteString("\r\n")
		out.Write(content)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// handle runs a request; ok is unset if the process ended meanwhile.
func (e *engine) handle(c net.Conn, r *http.Request, body []byte, id string, ended chan struct{}) (status int, header http.Header, content []byte, ok bool) {
	header = http.Header{}
	requestID := r.Header.Get("X-Request-Id")
	notRun := func(status int) (int, http.Header, []byte, bool) {
		header.Set("X-Not-Executed", "1")
		e.world.note("engine %s rejects %s with %d, not run", id, requestID, status)
		return status, header, nil, true
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != id {
		return notRun(http.StatusMisdirectedRequest)
	}
	if requestID == "" {
		return notRun(http.StatusBadRequest)
	}
	if !e.takeSlot(ended) {
		return notRun(http.StatusServiceUnavailable)
	}
	defer e.freeSlot()
	if !isUp(ended) {
		return 0, nil, nil, false
	}
	treatment := e.treat(r, body)
	e.world.ran(run{at: time.Now(), engine: id, id: requestID, method: r.Method, path: r.URL.Path, body: string(body), treatment: treatment})
	switch treatment {
	case crashReset, crashDark:
		e.crash(treatment == crashDark, crashTime)
		return 0, nil, nil, false
	}
	work := time.Duration(float64(e.work) * (0.5 + rand.Float64()))
	deadline, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	late := err == nil && time.Duration(deadline*float64(time.Millisecond)) < work
	if late {
		work = time.Duration(deadline * float64(time.Millisecond))
	}
	select {
	case <-ended:
		return 0, nil, nil, false
	case <-time.After(work):
	}
	header.Set("X-Response-Stamp", fmt.Sprintf("%s.%s", id, requestID))
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, slots))
	header.Set("Content-Type", "application/json")
	switch {
	case late:
		return http.StatusGatewayTimeout, header, []byte("late\n"), true
	case treatment == answerNotFound:
		return http.StatusNotFound, header, []byte("no such ticket yet\n"), true
	case treatment == failAfterWork:
		return http.StatusServiceUnavailable, header, []byte("the order was booked, its confirmation failed\n"), true
	}
	return http.StatusOK, header, []byte(fmt.Sprintf("{\"done\":%q}\n", requestID)), true
}

// takeSlot waits for one of the slots; the queue has queueSize places.
func (e *engine) takeSlot(ended chan struct{}) bool {
	e.mu.Lock()
	if e.running >= slots && e.waiting >= queueSize {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	for e.running >= slots && isUp(ended) {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-ended:
		}
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	e.mu.Unlock()
	return true
}

func (e *engine) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	close(e.freed)
	e.freed = make(chan struct{})
}
