package main

import (
	"bufio"
	"fmt"
	"io"
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

// world is a small deployment on loopback addresses: daemons as processes of their own, and
// stand-ins of the platform's store, engines and callers in this one.
type world struct {
	store     *store
	storeLink *proxy
	network   int // third byte of the loopback addresses
	folder    string
	trouble   bool
	ports     map[string]int
	daemons   []*daemon
	engines   []*engine

	mu     sync.Mutex
	record *bufio.Writer
	began  time.Time
	runs   map[string][]*run
	nextID int
	broken []string
}

// run is one execution of a request by an engine.
type run struct {
	id, engine, service, path, tenant string
	began, ended                      time.Time
	body                              string
}

type daemon struct {
	name, ip string
	cmd      *exec.Cmd
	pid      atomic.Int64
	done     chan struct{}
	settings string
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{store: newStore(), folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(f), began: time.Now(), runs: map[string][]*run{}, network: 16 + os.Getpid()%200}
	w.ports = map[string]int{}
	for _, name := range []string{"front", "ready", "control", "directory", "gossip", "gossipLast", "metrics", "engine", "store"} {
		if w.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	w.store.serve(l)
	w.storeLink, err = newProxy(w.addr(250, "store"), l.Addr().String(), w.daemonOfPort)
	return w, err
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (w *world) ip(host int) string { return fmt.Sprintf("127.77.%d.%d", w.network, host) }

func (w *world) addr(host int, port string) string {
	return net.JoinHostPort(w.ip(host), strconv.Itoa(w.ports[port]))
}

func (w *world) at() string { return fmt.Sprintf("%8.3f", time.Since(w.began).Seconds()) }

// note writes a line into the record.
func (w *world) note(kind, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s %-8s %s\n", w.at(), kind, text)
}

// breaks notes that the rule is broken.
func (w *world) breaks(text string) {
	w.note("BROKEN", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), w.nextID)
}

func (w *world) begin(e *engine, r *http.Request, body []byte) *run {
	x := &run{id: r.Header.Get("X-Request-Id"), engine: e.id, service: e.service, path: r.RequestURI, tenant: r.Header.Get("X-Tenant"), began: time.Now(), body: string(body)}
	w.note("runs", x.id+" at "+e.id+" "+r.Method+" "+r.RequestURI)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[x.id] = append(w.runs[x.id], x)
	return x
}

func (w *world) end(x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.ended = time.Now()
}

var zones = []string{"merrimack", "housatonic", "kennebec"}

// addDaemon writes the settings of a daemon, in the platform's format.
func (w *world) addDaemon(i int, extra ...string) *daemon {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), ip: w.ip(1 + i)}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, w.addr(1+n, "control"))
	}
	port := func(name string) string { return net.JoinHostPort(d.ip, strconv.Itoa(w.ports[name])) }
	lines := []string{
		"node=" + d.name, "role=entry", "class=front", "serves=front,directory,control", "ip=" + d.ip, "zone=" + zones[i%3], "region=new-england",
		"zones.merrimack=new-england", "zones.housatonic=new-england", "zones.kennebec=new-england",
		"listen.front=" + port("front"), "listen.ready=" + port("ready"), "listen.control=" + port("control"), "listen.directory=" + port("directory"),
		fmt.Sprintf("portRange=%d,%d", w.ports["gossip"], w.ports["gossipLast"]), "seeds=" + strings.Join(seeds, ","), "firstStart=true", "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=directory", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform", "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lostSlackMs=200", "bounds.configDeadlineMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.failClosed=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=54", "bounds.recoverS=12", "bounds.transitMs=120", "bounds.reuseWindowS=10", "bounds.fenced=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.versionMs=10000", "bounds.versionAllMs=14000", "bounds.ttl_max_s=5",
		"platform.addr=" + w.addr(250, "store"), "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0", "platform.partWritesPerS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
	}
	lines = append(lines, extra...)
	d.settings = filepath.Join(w.folder, d.name+".conf")
	if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, d)
	return d
}

// start runs the command of the deploy file.
func (w *world) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/verbenabendd", "gateway", "--metrics-port", strconv.Itoa(w.ports["metrics"]))
	d.cmd.Env = append(os.Environ(), "VERBENABEND_SETTINGS="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.pid.Store(int64(d.cmd.Process.Pid))
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(d.cmd, d.done)
	w.note("daemon", fmt.Sprintf("%s starts, process %d", d.name, d.cmd.Process.Pid))
	return nil
}

func (d *daemon) running() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

func (d *daemon) front(w *world) string {
	return net.JoinHostPort(d.ip, strconv.Itoa(w.ports["front"]))
}

// awaitReady waits until all daemons say that they are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			resp, err := client.Get("http://" + net.JoinHostPort(d.ip, strconv.Itoa(w.ports["ready"])) + "/readyz")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.daemons) {
			return true
		}
	}
	return false
}

// close ends all that was started, and the record.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.done != nil && d.running() {
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
			<-d.done
		}
	}
	for _, e := range w.engines {
		e.server.Close()
	}
	w.storeLink.close()
	w.mu.Lock()
	_ = w.record.Flush()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}
