package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits and bounds of a small deployment, as in the settings example of the pages.
const (
	memoryMb = 284
	maxFds   = 4100

	frontPort, readyPort, controlPort, directoryPort, metricsPort = 8782, 8789, 8783, 8780, 9464
)

// daemon is one process of the system, kept running as the platform does.
type daemon struct {
	name, ip, zone string
	settings       string

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	down      bool // killed by the test and not started again
	ends      []string
}

// system is the platform with the daemons on it.
type system struct {
	dir, net string
	store    *store
	engines  []*engine
	daemons  []*daemon
	record   *os.File
	recordMu sync.Mutex
	started  time.Time
	closing  atomic.Bool
}

var current *system

// fail ends the test as one that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	if current != nil {
		current.logf("the case couldn't run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

// newSystem takes free loopback addresses.
func newSystem(daemons int, recordFile string) *system {
	s := &system{store: newStore(), started: time.Now()}
	var err error
	if s.record, err = os.Create(recordFile); err != nil {
		fail("%v", err)
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		fail("%v", err)
	}
	for try := 0; ; try++ {
		s.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if s.free(daemons) {
			break
		}
		if try > 20 {
			fail("no free loopback addresses")
		}
	}
	current = s
	l, err := net.Listen("tcp", s.net+"2:8784")
	if err != nil {
		fail("%v", err)
	}
	go func() { _ = http.Serve(l, s.store.handler()) }()
	for i := range daemons {
		s.daemons = append(s.daemons, &daemon{name: fmt.Sprintf("front-%d", i+1), ip: s.net + strconv.Itoa(10+i), zone: zones[i%len(zones)]})
	}
	return s
}

var zones = []string{"merrimack", "housatonic", "kennebec"}

func (s *system) free(daemons int) bool {
	addresses := []string{s.net + "2:8784"}
	for i := range daemons {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, metricsPort, 7340} {
			addresses = append(addresses, s.net+strconv.Itoa(10+i)+":"+strconv.Itoa(port))
		}
	}
	for i := range 9 {
		addresses = append(addresses, s.net+strconv.Itoa(100+i)+":8482")
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (s *system) logf(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// addEngine starts an engine that registers itself.
func (s *system) addEngine(e *engine) *engine {
	e.addr = fmt.Sprintf("%s%d:8482", s.net, 100+len(s.engines))
	e.zone = zones[len(s.engines)%len(zones)]
	e.peers = func(addr string) *engine {
		for _, x := range s.engines {
			if x.addr == addr {
				return x
			}
		}
		return nil
	}
	s.engines = append(s.engines, e)
	e.start()
	go e.register(s.store)
	return e
}

// configure writes a desired state; its return is the acknowledgement.
func (s *system) configure(state map[string]any) {
	s.store.put("op", "config", state)
	text, _ := json.Marshal(state)
	s.logf("the operator's desired state is acknowledged: %s", text)
}

func (d *daemon) settingsText(s *system, first bool) string {
	var seeds []string
	for _, x := range s.daemons[:min(3, len(s.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", x.ip, controlPort))
	}
	lines := []string{
		"node=" + d.name, "role=entry", "class=front", "serves=front,directory,control", "ip=" + d.ip, "zone=" + d.zone, "region=new-england",
		"zones.merrimack=new-england", "zones.housatonic=new-england", "zones.kennebec=new-england",
		fmt.Sprintf("listen.front=%s:%d", d.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", d.ip, readyPort),
		fmt.Sprintf("listen.control=%s:%d", d.ip, controlPort), fmt.Sprintf("listen.directory=%s:%d", d.ip, directoryPort),
		"portRange=7340,7355", "seeds=" + strings.Join(seeds, ","), "firstStart=" + strconv.FormatBool(first), "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=" + strconv.Itoa(memoryMb), "limits.maxFds=" + strconv.Itoa(maxFds), "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
		"tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000",
		"bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lostSlackMs=200", "bounds.configDeadlineMs=2000",
		"bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.failClosed=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2",
		"bounds.retryWindowS=10", "bounds.retrySlack=54", "bounds.recoverS=12", "bounds.transitMs=120", "bounds.reuseWindowS=10", "bounds.fenced=true",
		"bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.versionMs=10000", "bounds.versionAllMs=14000", "bounds.ttl_max_s=5",
		"platform.addr=" + s.net + "2:8784", "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
		"platform.partWritesPerS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20", "platform.blobBytes=8388608",
		"platform.blobMs=25.0", "platform.blobMbPerS=80.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// startDaemons starts all daemons and waits until they are ready.
func (s *system) startDaemons() {
	for _, d := range s.daemons {
		d.settings = filepath.Join(s.dir, d.name+".conf")
		s.spawn(d, true)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.ready() {
				ready++
			}
		}
		if ready == len(s.daemons) {
			s.logf("all %d daemons are ready", ready)
			return
		}
		if time.Now().After(end) {
			fail("the daemons are not ready")
		}
	}
}

func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", d.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// spawn starts a daemon with the command of the deploy file and the descriptors of its
// settings, and starts it again after it has ended.
func (s *system) spawn(d *daemon, first bool) {
	if err := os.WriteFile(d.settings, []byte(d.settingsText(s, first)), 0o600); err != nil {
		fail("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(maxFds)+" && exec target/verbenabendd gateway --metrics-port "+strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "VERBENABEND_SETTINGS=" + d.settings}
	logFile, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	var errors bytes.Buffer
	cmd.Stdout, cmd.Stderr = logFile, &errors
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
	d.mu.Lock()
	d.cmd, d.startedAt = cmd, time.Now()
	d.mu.Unlock()
	s.logf("%s started, pid %d", d.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		logFile.Close()
		if s.closing.Load() {
			return
		}
		d.mu.Lock()
		text := fmt.Sprintf("%v %s", err, strings.TrimSpace(errors.String()))
		down := d.down
		if !down {
			d.ends = append(d.ends, text)
		}
		d.mu.Unlock()
		s.logf("%s ended: %s", d.name, text)
		if !down {
			time.Sleep(time.Second)
			if !s.closing.Load() {
				s.spawn(d, false)
			}
		}
	}()
}

// kill ends a daemon for good, with SIGKILL.
func (s *system) kill(d *daemon) {
	d.mu.Lock()
	d.down = true
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	s.logf("the test kills %s (SIGKILL)", d.name)
	_ = syscall.Kill(pid, syscall.SIGKILL)
}

// ownEnds returns how often a daemon ended without the test's doing.
func (d *daemon) ownEnds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ends)
}

// close ends all processes that the test started.
func (s *system) close() {
	s.closing.Store(true)
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
		}
		d.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.dir)
	} else {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.record.Close()
}

// verdict ends the test.
func (s *system) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		text = "BROKEN: " + text
	} else {
		text = "held: " + text
	}
	s.logf("%s", text)
	s.close()
	fmt.Println(text)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// request is one requester attempt.
type request struct {
	id, method, path, key string
	header                []string // further lines
	body                  []byte
	deadline              time.Duration
	// sendTime is how long the requester's link takes for the body.
	sendTime time.Duration
}

// send writes the body at an even pace.
func (r *request) send(conn net.Conn) error {
	const piece = 64 << 10
	start := time.Now()
	for sent := 0; sent < len(r.body); {
		n := min(piece, len(r.body)-sent)
		if _, err := conn.Write(r.body[sent : sent+n]); err != nil {
			return err
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(r.sendTime) * float64(sent) / float64(len(r.body))))))
	}
	return nil
}

var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1)) }

const host = "lopu12.example"

// requester is a requester's connection to one daemon.
type requester struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func dial(address string) (*requester, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &requester{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a requester saw of an attempt; status is 0 if the connection ended without
// an answer.
type answer struct {
	status   int
	stamp    string
	body     string
	complete bool
	err      error
}

// do sends a request and reads its answer.
func (c *requester) do(r *request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "X-Key: %s\r\n", r.key)
	}
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	if len(r.body) > 0 {
		if err := r.send(c.conn); err != nil {
			return answer{err: err}
		}
	}
	c.used++
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp"), body: string(body), complete: err == nil, err: err}
}

// resolve asks a daemon's directory over a kept connection.
func (c *requester) resolve(zone string) ([]string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c.conn, "GET /resolve?name=%s&region=new-england&zone=%s HTTP/1.1\r\nHost: directory\r\n\r\n", host, zone); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out struct{ Addrs []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != 200 || len(out.Addrs) == 0 {
		return nil, fmt.Errorf("status %d, %d addresses", resp.StatusCode, len(out.Addrs))
	}
	return out.Addrs, nil
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	context.AfterFunc(ctx, func() { fail("it took too long") })
	run(os.Args[2])
}
