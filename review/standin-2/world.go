package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "ledger"
	zone    = "merrimack"
	host    = "orders.example"
	apiKey  = "ctnfzs989anu6wsjnban"
	// Bounds of the installation granite-hollow.
	contactTime = 3 * time.Second
	seedLag     = 3 * time.Second
	// crashTime is how long an engine is away after a crash.
	crashTime = 2500 * time.Millisecond
)

// run is a request that an engine began to run.
type run struct {
	at                             time.Time
	engine, id, method, path, body string
	treatment                      treatment
}

// world is one small deployment.
type world struct {
	repository string
	temporary  string
	trouble    bool
	started    time.Time
	network    string // the first three numbers of its addresses
	ports      int    // of the daemons
	store      *store
	engines    []*engine
	llms       []*llmEngine
	daemons    []*daemon

	mu     sync.Mutex
	record *os.File
	runs   []run
	nextID int
	closed bool
}

func newWorld(repository, recordFile string) (*world, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{repository: repository, temporary: temporary, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f}
	w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	if w.store, err = newStore(w.network + ".250"); err != nil {
		return nil, err
	}
	return w, w.findPorts()
}

// portsPerDaemon are front, ready, control, directory and two for gossip.
const portsPerDaemon = 6

// findPorts finds ports that are free at all addresses of daemons.
func (w *world) findPorts() error {
next:
	for range 50 {
		w.ports = 20000 + 10*rand.IntN(1000)
		for i := 1; i <= 7; i++ {
			for p := range portsPerDaemon {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.network, i, w.ports+p))
				if err != nil {
					continue next
				}
				l.Close()
			}
		}
		return nil
	}
	return fmt.Errorf("no free ports at %s.*", w.network)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.record.WriteString(line)
	if strings.HasPrefix(line[10:], "BROKEN") || strings.HasPrefix(line[10:], "HELD") || strings.HasPrefix(line[10:], "can't") {
		fmt.Print(line)
	}
}

func (w *world) ran(r run) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.note("engine %s runs %s: %s %s%s", r.engine, r.id, r.method, r.path, []string{"", ", which ends its process", ", which leaves its machine dark", ", and will answer 503", ", and will answer 404"}[r.treatment])
}

// runsOf returns the runs for which match returns true.
func (w *world) runsOf(match func(run) bool) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	return out
}

func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	for _, d := range w.daemons {
		d.kill()
	}
	w.store.server.Close()
	os.RemoveAll(w.temporary)
}

// daemon is a process of the project on its own address.
type daemon struct {
	world    *world
	number   int
	name, ip string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (w *world) newDaemon(number int) *daemon {
	d := &daemon{world: w, number: number, name: fmt.Sprintf("front-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", w.network, number)}
	var err error
	d.log, err = os.Create(filepath.Join(w.temporary, d.name+".log"))
	w.require(err == nil, "%v", err)
	w.daemons = append(w.daemons, d)
	return d
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.world.ports+port) }
func (d *daemon) front() string           { return d.address(0) }
func (d *daemon) ready() string           { return d.address(1) }
func (d *daemon) control() string         { return d.address(2) }
func (d *daemon) directory() string       { return d.address(3) }

func controls(daemons ...*daemon) []string {
	var out []string
	for _, d := range daemons {
		out = append(out, d.control())
	}
	return out
}

func (d *daemon) settingsFile() string {
	return filepath.Join(d.world.temporary, d.name+".conf")
}

// writeSettings writes the settings of the installation granite-hollow.
func (d *daemon) writeSettings(seeds []string, firstStart bool) {
	lines := []string{
		"node=" + d.name, "role=entry", "class=front", "serves=front,directory,control", "ip=" + d.ip, "zone=" + zone, "region=new-england", "zones." + zone + "=new-england",
		"listen.front=" + d.front(), "listen.ready=" + d.ready(), "listen.control=" + d.control(), "listen.directory=" + d.directory(),
		fmt.Sprintf("portRange=%d,%d", d.world.ports+4, d.world.ports+5), "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("firstStart=%t", firstStart),
		"lossCounts=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
		"tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lostSlackMs=200",
		"bounds.configDeadlineMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.failClosed=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10",
		"bounds.retrySlack=54", "bounds.recoverS=12", "bounds.transitMs=120", "bounds.reuseWindowS=10", "bounds.fenced=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.versionMs=10000",
		"bounds.versionAllMs=14000", "bounds.ttl_max_s=5",
		"platform.addr=" + d.world.store.addr, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0", "platform.partWritesPerS=200", "platform.rowBytes=65536",
		"platform.across=false", "platform.historyS=20", "platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbPerS=80.0", "",
	}
	temporary := d.settingsFile() + ".new"
	err := os.WriteFile(temporary, []byte(strings.Join(lines, "\n")), 0o600)
	if err == nil {
		err = os.Rename(temporary, d.settingsFile())
	}
	d.world.require(err == nil, "%v", err)
}

// start runs the command of the deploy file.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command("target/verbenabendd", "gateway", "--metrics-port", "9464")
	cmd.Dir = d.world.repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENABEND_SETTINGS=" + d.settingsFile()}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	d.world.require(cmd.Start() == nil, "%s doesn't start", d.name)
	exited := make(chan struct{})
	d.process, d.exited = cmd, exited
	d.world.note("%s starts, process %d", d.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.world.note("%s ends: %v", d.name, err)
		close(exited)
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		d.world.note("%s gets %s", d.name, s)
		d.process.Process.Signal(s)
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.process = nil
	d.mu.Unlock()
	if process != nil {
		process.Process.Kill()
		<-exited
	}
}

// awaitReady waits until a daemon is ready.
func (d *daemon) awaitReady(limit time.Duration) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready() + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.world.note("%s is ready", d.name)
			return
		}
	}
	d.world.require(false, "%s is not ready after %s", d.name, limit)
}

// entries returns what a daemon's directory tells requesters.
func (d *daemon) entries() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.directory() + "/resolve?name=" + host + "&region=new-england&zone=" + zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var a struct {
		Addrs []string `json:"addrs"`
	}
	json.NewDecoder(resp.Body).Decode(&a)
	return a.Addrs
}

// writeState writes the desired state: an unsafe and a safe route to the one service.
func (w *world) writeState() {
	w.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-order", "host": host, "prefix": "/order/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-read", "host": host, "prefix": "/read/", "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "sese880", "apiKeys": []string{apiKey}, "priority": 1, "isolated": false}},
	})
}

// answered is what a requester got.
type answered struct {
	id, stamp  string
	status     int
	retryAfter string
	err        error
}

// newID returns the ID of a requester's attempt.
func (w *world) newID(what string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%s-%d", what, w.nextID)
}

// ask sends one attempt of a requester to a daemon, on a new connection.
func (w *world) ask(address, what, method, path, body string, deadline time.Duration) answered {
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	a := answered{id: w.newID(what)}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	w.note("requester sends %s to %s: %s %s", a.id, address, method, path)
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		w.note("requester gets no answer to %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	var content [512]byte
	n, _ := resp.Body.Read(content[:])
	a.status, a.stamp, a.retryAfter = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), resp.Header.Get("Retry-After")
	w.note("requester gets %d for %s: %s", a.status, a.id, strings.TrimSpace(string(content[:n])))
	return a
}
