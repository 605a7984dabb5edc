package sitepath

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

// cacheKnown is the time in which daemons learn what the store of cached
// prompts keeps, or that it is gone.
const cacheKnown = 6 * time.Second

// askLong asks with a long shared prompt and returns what ran.
func (d *deployment) askLong(part string) site.Run {
	d.t.Helper()
	a := d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
		r.Header.Set("X-Prompt-Prefix", part+":13000,bb:100")
		r.Header.Set("X-Token-Usage", "13100,40")
	})
	assert.Equal(d.t, a.status, http.StatusOK)
	runs := d.runs(fmt.Sprintf("request-%d", d.requests.Load()))
	assert.Equal(d.t, len(runs), 1)
	return runs[0]
}

// A long shared prompt is saved once; when the engine that read it leaves,
// another fetches it from the store, but not under newer weights.
func TestPromptsAreSavedAndFetched(t *testing.T) {
	run(t, func(d *deployment) {
		time.Sleep(cacheKnown)
		first := d.askLong("aa")
		assert.Equal(t, first.Header.Get("X-Kv-Save"), d.cache.Address)
		assert.Equal(t, first.Header.Get("X-Kv-Fetch"), "")
		time.Sleep(cacheKnown)
		assert.Equal(t, d.askLong("aa").Header.Get("X-Kv-Save"), "", "it is kept already")
		for _, e := range d.engines {
			if e.ID == first.Header.Get("X-Target-Instance") {
				e.Drain(d.store)
			}
		}
		time.Sleep(cacheKnown)
		moved := d.askLong("aa")
		assert.Equal(t, moved.Header.Get("X-Kv-Fetch"), d.cache.Address)
		assert.Equal(t, moved.Header.Get("X-Cache-Salt"), first.Header.Get("X-Cache-Salt"))
		d.nameVersion(2)
		time.Sleep(switchWithin + cacheKnown)
		renewed := d.askLong("aa")
		assert.Equal(t, renewed.Header.Get("X-Expected-Version"), "2")
		assert.Equal(t, renewed.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, renewed.Header.Get("X-Kv-Save"), d.cache.Address)
	})
}

// Nothing is fetched from a store of cached prompts that is down, or that came
// back empty; once it is back, prompts are saved to it again.
func TestCacheStoreThatIsDownIsNotUsed(t *testing.T) {
	run(t, func(d *deployment) {
		time.Sleep(cacheKnown)
		first := d.askLong("aa").Header.Get("X-Target-Instance")
		time.Sleep(cacheKnown)
		d.cache.SetDown(true)
		time.Sleep(cacheKnown)
		for _, e := range d.engines {
			if e.ID == first {
				e.Drain(d.store)
			}
		}
		time.Sleep(time.Second)
		down := d.askLong("aa")
		assert.Equal(t, down.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, down.Header.Get("X-Kv-Save"), "")
		d.cache.SetDown(false)
		time.Sleep(cacheKnown)
		back := d.askLong("cc")
		assert.Equal(t, back.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, back.Header.Get("X-Kv-Save"), d.cache.Address)
	})
}

// That an engine's cache can't be read is logged once for the outage.
func TestUnreadCacheIsLoggedOnce(t *testing.T) {
	run(t, func(d *deployment) {
		time.Sleep(cacheKnown)
		d.crash(d.engines[0], restartTime)
		time.Sleep(restartTime)
		total := 0
		for _, p := range d.processes {
			n := 0
			for _, e := range p.log.all(t) {
				if e.ID == eventlog.CacheUnread && e.Upstream == d.engines[0].ID {
					n++
				}
			}
			assert.Assert(t, n <= 1, "%s logged it %d times", p.name, n)
			total += n
		}
		assert.Assert(t, total > 0)
	})
}
