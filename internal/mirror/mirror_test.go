package mirror

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const table = "rows"

// fakeStore is a table with a history that may be lost, and that may be down.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Change
	history []platform.Change
	version uint64
	lost    uint64
	down    bool
}

var errDown = errors.New("the store is down")

func (s *fakeStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c := platform.Change{Key: key, Value: fmt.Append(nil, s.version), Version: s.version, Deleted: deleted}
	if deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = c
	}
	s.history = append(s.history, c)
}

func (s *fakeStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.lost = nil, s.version
}

func (s *fakeStore) ReadTable(context.Context, string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Changes{}, errDown
	}
	out := platform.Changes{Version: s.version, Whole: true}
	for _, row := range s.rows {
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

func (s *fakeStore) ReadChanges(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.Changes, error) {
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		out := platform.Changes{Version: s.version}
		for _, c := range s.history {
			if c.Version > after {
				out.Rows = append(out.Rows, c)
			}
		}
		down, lost := s.down, after < s.lost
		s.mu.Unlock()
		switch {
		case down:
			return platform.Changes{}, errDown
		case lost:
			return platform.Changes{}, platform.ErrHistoryLost
		case len(out.Rows) > 0 || !time.Now().Before(end) || ctx.Err() != nil:
			return out, ctx.Err()
		}
	}
}

// A copy never goes back, and after a quiet while it equals the table, however
// the store goes down, loses its history and comes back. A second copy whose
// own way to the store is cut follows the first.
func TestMirrorEqualsTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// synctest wants a *testing.T; rapid's checks run one after the other.
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 25).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{rows: map[string]platform.Change{}}
			cut := &fakeStore{down: true}
			var mu sync.Mutex
			adopted := map[string]uint64{}
			watch := func(name string) func(map[string]platform.Change, uint64) {
				return func(_ map[string]platform.Change, version uint64) {
					mu.Lock()
					defer mu.Unlock()
					assert.Assert(t, version >= adopted[name], "%s went back", name)
					adopted[name] = version
				}
			}
			settings := Settings{Table: table, Pause: 50 * time.Millisecond, Wait: time.Second, Expiring: true}
			settings.Adopted = watch("first")
			first := New(settings, store, cut, eventlog.Discard())
			settings.Adopted = watch("second")
			second := New(settings, cut, first, eventlog.Discard())
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = first.Run(ctx) })
			wg.Go(func() { _ = second.Run(ctx) })
			for i, step := range steps {
				switch step {
				case 0, 1:
					store.write(fmt.Sprint("key-", i%4), false)
				case 2:
					store.write(fmt.Sprint("key-", i%4), true)
				case 3:
					store.set(true)
				case 4:
					store.set(false)
				case 5:
					store.forget()
				}
				time.Sleep(130 * time.Millisecond)
			}
			store.set(false)
			time.Sleep(20 * time.Second)
			want := fmt.Sprint(store.rows)
			for _, m := range []*Mirror{first, second} {
				m.mu.Lock()
				assert.Equal(t, fmt.Sprint(m.rows), want)
				m.mu.Unlock()
			}
			cancel()
			wg.Wait()
		})
	})
}

// deafStore never answers a wait, as over a connection that died without a sign.
type deafStore struct{ fakeStore }

func (s *deafStore) ReadChanges(ctx context.Context, _ string, _ uint64, _ time.Duration) (platform.Changes, error) {
	<-ctx.Done()
	return platform.Changes{}, ctx.Err()
}

// A wait that cannot end is given up as soon as the store is known to have
// failed, though it may last for 20 s. A hunt broke CONFIG without that
// (hilos-quindio, mix 20381769057): a daemon cut off from the store for 4 s had
// an old desired state for 3 s more.
func TestRecheckEndsAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &deafStore{fakeStore{rows: map[string]platform.Change{}}}
		store.write("a", false)
		var adopted atomic.Uint64
		m := New(Settings{Table: table, Wait: 20 * time.Second, Adopted: func(_ map[string]platform.Change, version uint64) {
			adopted.Store(version)
		}}, store, store, eventlog.Discard())
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(time.Second)
		store.write("b", false)
		m.Recheck()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, adopted.Load(), uint64(2))
		stop()
		assert.ErrorIs(t, <-done, context.Canceled)
		m.Recheck() // nothing waits
	})
}
