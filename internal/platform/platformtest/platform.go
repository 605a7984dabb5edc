// Package platformtest is an in-memory platform with fault injection for tests.
// All daemons of a test share one Platform; each has its own Client with its own
// faults. It works in real time and in synctest bubbles.
package platformtest

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Platform holds the rows, the objects and the instance list.
type Platform struct {
	mu            sync.Mutex
	rows          map[string]platform.Row
	version       uint64
	objects       map[string][]byte
	instanceLists []instanceList
	reads         int
	writes        int
	// era is 0 until SetEra is called.
	era uint64
}

// Snapshot is a copy of the rows.
type Snapshot struct {
	rows    map[string]platform.Row
	version uint64
}

// SetEra makes the platform state an era in all responses.
func (p *Platform) SetEra(era uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era = era
}

// Snapshot returns a copy of the rows.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{maps.Clone(p.rows), p.version}
}

// Restore returns the rows to an older copy in the next era. Versions are issued again.
func (p *Platform) Restore(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows, p.version = maps.Clone(s.rows), s.version
	p.era++
}

// currentEra returns the era that a response states which is sent now.
func (p *Platform) currentEra() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

type instanceList struct {
	visibleAt time.Time
	instances []platform.Instance
}

// New returns an empty Platform.
func New() *Platform {
	return &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// Client returns a new client without faults.
func (p *Platform) Client() *Client { return &Client{platform: p, lateDelay: DefaultLateDelay} }

// SetInstances replaces the instance list; clients see it after lag.
func (p *Platform) SetInstances(lag time.Duration, list ...platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceLists = append(p.instanceLists, instanceList{visibleAt: time.Now().Add(lag), instances: list})
}

// CountRows returns the number of rows whose keys start with prefix.
func (p *Platform) CountRows(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for k := range p.rows {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// CountCalls returns the numbers of executed reads and writes of the table, the
// object store and the instance list.
func (p *Platform) CountCalls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

func (p *Platform) get(key string) (platform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	row, ok := p.rows[key]
	row.Era = p.era
	if !ok {
		return row, notFound()
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

func (p *Platform) list(prefix, after string, limit int) []platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	var out []platform.Row
	for k, row := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			row.Value, row.Era = bytes.Clone(row.Value), p.era
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))]
}

func (p *Platform) commit(txn platform.Txn) (platform.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, c := range txn.Conditions {
		if p.rows[c.Key].Version != c.Version {
			return platform.Position{Era: p.era}, verdict.Wrap(platform.ErrConflict, verdict.NotRun, verdict.CodeConflict, c.Key)
		}
	}
	p.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(p.rows, w.Key)
			continue
		}
		p.rows[w.Key] = platform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: p.version}
	}
	return platform.Position{Era: p.era, Version: p.version}, nil
}

func (p *Platform) putObject(key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	p.objects[key] = bytes.Clone(body)
}

func (p *Platform) deleteObject(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	delete(p.objects, key)
}

func (p *Platform) getObject(key string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	body, ok := p.objects[key]
	if !ok {
		return nil, notFound()
	}
	return bytes.Clone(body), nil
}

func (p *Platform) listObjects(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	var out []string
	for k := range p.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func (p *Platform) listInstances() []platform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	var out []platform.Instance
	for _, l := range p.instanceLists {
		if !l.visibleAt.After(time.Now()) {
			out = l.instances
		}
	}
	return slices.Clone(out)
}

func notFound() error {
	return verdict.Wrap(platform.ErrNotFound, verdict.NotRun, verdict.CodeNotFound, "platform")
}

var (
	_ platform.VersionedTable = (*Client)(nil)
	_ platform.EraTable       = (*Client)(nil)
	_ platform.Instances      = (*Client)(nil)
	_ platform.Objects        = Objects{}
	_ platform.ObjectDeleter  = Objects{}
)

// Objects is a client's object store.
type Objects struct{ client *Client }

// Put implements platform.Objects.
func (o Objects) Put(ctx context.Context, key string, body []byte) error {
	return o.client.write(ctx, func() error { o.client.platform.putObject(key, body); return nil })
}

// Delete implements platform.ObjectDeleter.
func (o Objects) Delete(ctx context.Context, key string) error {
	return o.client.write(ctx, func() error { o.client.platform.deleteObject(key); return nil })
}

// Get implements platform.Objects.
func (o Objects) Get(ctx context.Context, key string) (body []byte, err error) {
	err = o.client.read(ctx, &o.client.objectsDown, func() (e error) { body, e = o.client.platform.getObject(key); return e })
	return body, err
}

// List implements platform.Objects.
func (o Objects) List(ctx context.Context, prefix string) (keys []string, err error) {
	err = o.client.read(ctx, &o.client.objectsDown, func() error { keys = o.client.platform.listObjects(prefix); return nil })
	return keys, err
}
