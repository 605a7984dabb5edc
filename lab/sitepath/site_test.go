// Package sitepath runs whole daemons, with the adapter to the users'
// platform, against stand-ins of its store and upstreams in virtual time.
package sitepath

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
	"github.com/verbenabend/verbenabend/platform"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	daemons      = 3
	heartbeat    = 1200 * time.Millisecond
	stopGrace    = 8 * time.Second
	model        = "opal"
	modelHost    = "model.example"
	plainHost    = "plain.example"
	key          = "key-of-trust"
	otherKey     = "key-of-other"
	startTimeout = 10 * time.Second
)

// process is one running daemon.
type process struct {
	name string
	host string
	stop context.CancelFunc
	done chan error
	log  logBuffer
}

// logBuffer holds what a daemon logged.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// all returns the events that were logged.
func (b *logBuffer) all(t *testing.T) []eventlog.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, skipped, err := eventlog.ReadLines(bytes.NewReader(b.text.Bytes()))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	return all
}

// events returns the events that concern a request.
func (b *logBuffer) events(t *testing.T, request string) []eventlog.Entry {
	return slices.DeleteFunc(b.all(t), func(e eventlog.Entry) bool { return e.RequestID != request })
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// deployment is a whole system on the platform.
type deployment struct {
	t         *testing.T
	net       *fabric.Fabric
	store     *site.Store
	engines   []*site.Upstream
	ledgers   []*site.Upstream
	cache     *site.CacheStore
	processes []*process
	mu        sync.Mutex
	servers   map[string]*http.Server // by address
	quit      chan struct{}
	// firstDaemon is the number of the first daemon that startAll starts.
	firstDaemon int
	revision    uint64
	state       map[string]any
	requests    atomic.Int64
}

// run runs a proof on a deployment that is ready.
func run(t *testing.T, proof func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		d.startAll()
		proof(d)
	})
}

// startAll starts the daemons and waits until they are ready.
func (d *deployment) startAll() {
	for i := range daemons {
		d.start(d.firstDaemon + i)
	}
	d.eventually("all daemons are ready and know one another", startTimeout, func() bool {
		for _, p := range d.processes[len(d.processes)-daemons:] {
			if len(d.resolve(p)) != daemons {
				return false
			}
		}
		return true
	})
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, net: fabric.New(), store: site.NewStore(), cache: &site.CacheStore{Address: "10.8.2.1:80"}, quit: make(chan struct{}), revision: 1, servers: map[string]*http.Server{}}
	for i := range 3 {
		d.engines = append(d.engines, &site.Upstream{
			ID: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.8.0.%d:80", i+1), Service: "bench", Zone: "a", Model: model,
			Events: 10, Pause: 20 * time.Millisecond, SwitchTime: 900 * time.Millisecond, CacheStore: d.cache,
		})
		d.ledgers = append(d.ledgers, &site.Upstream{ID: fmt.Sprintf("ledger-%d", i), Address: fmt.Sprintf("10.8.1.%d:80", i+1), Service: "ledger", Zone: "a"})
	}
	for _, u := range d.upstreams() {
		u.Start(1)
		d.serve(u.Address, u)
		u.Register(d.store)
	}
	d.serve(d.cache.Address, d.cache)
	d.state = map[string]any{
		"routes": []map[string]any{
			{"name": "chat", "host": modelHost, "prefix": "/chat/", "kind": "stream", "timeoutMs": 4000, "goalMs": 600, "service": "bench", "maxAttempts": 2, "sticky": true, "resumable": true},
			{"name": "once", "host": modelHost, "prefix": "/once/", "kind": "stream", "timeoutMs": 4000, "goalMs": 600, "service": "bench", "maxAttempts": 1, "sticky": true},
			{"name": "order", "host": plainHost, "prefix": "/order/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "service": "ledger", "maxAttempts": 1},
			{"name": "read", "host": plainHost, "prefix": "/read/", "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "service": "ledger", "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": "bench", "healthPath": "/healthz", "maxConns": 100, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "tokenKvBytes": 18432, "linkMbps": 740000.0, "maxInflight": 12, "models": []map[string]any{{"name": model}}}},
			{"name": "ledger", "healthPath": "/healthz", "maxConns": 100},
			{"name": "memory", "kvStoreAddr": d.cache.Address, "zone": "a", "kvCapacity": 1000000, "linkMbps": 24000.0, "maxInflight": 12},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "trust", "apiKeys": []string{key}},
			{"name": "other", "apiKeys": []string{otherKey}, "isolated": true},
		},
	}
	d.publish()
	go d.heartbeats()
	return d
}

func (d *deployment) upstreams() []*site.Upstream {
	return append(append([]*site.Upstream(nil), d.engines...), d.ledgers...)
}

// publish writes the desired state as its next revision.
func (d *deployment) publish() {
	d.revision += 3
	d.state["version"] = d.revision
	d.store.Put("op", "config", d.state)
}

func (d *deployment) nameVersion(version int) {
	d.store.Put("op", "version/"+model, map[string]any{"model": model, "version": version})
}

func (d *deployment) heartbeats() {
	for {
		select {
		case <-d.quit:
			return
		case <-time.After(heartbeat):
		}
		for _, u := range d.upstreams() {
			if d.store.Value("servers", u.ID) != nil {
				u.Register(d.store)
			}
		}
	}
}

func (d *deployment) serve(address string, h http.Handler) {
	listener, err := d.net.Listen(address)
	assert.NilError(d.t, err)
	server := &http.Server{Handler: h}
	d.mu.Lock()
	if old := d.servers[address]; old != nil {
		old.Close()
	}
	d.servers[address] = server
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// crash ends an upstream's connections; it is back, as another life, after a pause.
func (d *deployment) crash(u *site.Upstream, pause time.Duration) {
	d.mu.Lock()
	server := d.servers[u.Address]
	d.mu.Unlock()
	server.Close()
	time.AfterFunc(pause, func() {
		u.Restart(d.store)
		d.serve(u.Address, u)
	})
}

// Ports of every daemon.
const (
	callerPort = 1000 + iota
	readyPort
	directoryPort
	peerPort
	metricsPort
	gossipPort
)

func hostOf(daemon int) string { return fmt.Sprintf("10.0.0.%d", daemon+1) }

// start starts the daemon with the given number; its door to the store has the daemon's name.
func (d *deployment) start(i int) *process {
	p := &process{name: fmt.Sprintf("daemon-%d", i), host: hostOf(i), done: make(chan error, 1)}
	storeAddress := fmt.Sprintf("10.9.0.%d:80", i+1)
	d.serve(storeAddress, d.store.Door(p.name))
	settings, err := platform.ParseSettings([]byte(strings.Join([]string{
		"node=" + p.name, "zone=a", "zones.a=r", "ip=" + p.host,
		"listen.front=" + p.address(callerPort), "listen.ready=" + p.address(readyPort),
		"listen.directory=" + p.address(directoryPort), "listen.control=" + p.address(peerPort),
		fmt.Sprintf("portRange=%d,%d", gossipPort, gossipPort+9),
		fmt.Sprintf("seeds=%s:%d,%s:%d", hostOf(d.firstDaemon), peerPort, hostOf(d.firstDaemon+1), peerPort),
		"platform.addr=" + storeAddress, "bounds.fenced=true", "bounds.leaseMs=3000", "bounds.versionMs=10000", "bounds.graceS=8", "bounds.retrySlack=50", "bounds.retryRatio=0.2",
	}, "\n")))
	assert.NilError(d.t, err)
	settings.Gateway.MetricsListen = p.address(metricsPort)
	settings.Gateway.FleetKey = "one key for all daemons of the test"
	network := gateway.Network{Listen: d.net.Listen, Dial: d.net.Dialer(p.name)}
	store := platform.NewStore(storeAddress, network.Dial)
	pool := httpconn.NewPool(network.Dial)
	g, err := gateway.New(settings.Gateway, platform.Provision(store, pool), pool, network, hclog.New(&hclog.LoggerOptions{Name: p.name, Output: &p.log, JSONFormat: true}))
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		err := g.Run(ctx)
		store.Close()
		p.done <- err
	}()
	d.processes = append(d.processes, p)
	return p
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, p := range d.processes {
		assert.NilError(d.t, <-p.done)
	}
	close(d.quit)
	for _, s := range d.servers {
		s.Close()
	}
	synctest.Wait()
}

// eventually waits for a condition.
func (d *deployment) eventually(what string, within time.Duration, condition func() bool) {
	d.t.Helper()
	for begun := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(d.t, time.Since(begun) < within, "not within %s: %s", within, what)
	}
}

// client returns a caller whose connections are not kept.
func (d *deployment) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("caller"), DisableKeepAlives: true}}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body broke off, or there was no answer
}

// ask sends a request to a daemon. change, if not nil, changes it first.
func (d *deployment) ask(p *process, method, host, path string, change func(*http.Request)) answer {
	n := d.requests.Add(1)
	req, err := http.NewRequest(method, "http://"+p.address(callerPort)+path, nil)
	assert.NilError(d.t, err)
	req.Host = host
	req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", n))
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Deadline-Ms", "3000")
	if host == modelHost {
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", "300,40")
		req.Header.Set("X-Prompt-Prefix", "aa:200,bb:100")
	}
	if change != nil {
		change(req)
	}
	resp, err := d.client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

// resolve asks a daemon where callers should connect.
func (d *deployment) resolve(p *process) []string {
	resp, err := d.client().Get("http://" + p.address(directoryPort) + "/resolve?name=x&zone=a")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	list, _, _ := strings.Cut(strings.TrimPrefix(string(body), `{"addrs":[`), "]")
	return strings.Split(list, ",")
}

// runs returns what ran for an identifier at all upstreams.
func (d *deployment) runs(id string) []site.Run {
	var out []site.Run
	for _, u := range d.upstreams() {
		for _, r := range u.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// firstRequest sets how the first request is treated, by whichever upstream
// gets it; all others are served.
func (d *deployment) firstRequest(b site.Behaviour) {
	used := make(chan struct{}, 1)
	used <- struct{}{}
	for _, u := range d.upstreams() {
		u.Behave = func(*http.Request) site.Behaviour {
			select {
			case <-used:
				return b
			default:
				return site.Serve
			}
		}
	}
}
