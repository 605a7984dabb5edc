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

// cacheSyncDelay is the time in which daemons learn of changes to the content or
// the availability of the cache store.
const cacheSyncDelay = 6 * time.Second

// askLongPrompt sends a request with a long shared prompt and returns its run.
func (d *deployment) askLongPrompt(part string) site.Run {
	d.t.Helper()
	a := d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
		r.Header.Set("X-Prompt-Prefix", part+":13000,bb:100")
		r.Header.Set("X-Token-Usage", "13100,40")
	})
	assert.Equal(d.t, a.status, http.StatusOK)
	runs := d.runs(fmt.Sprintf("request-%d", d.requestCount.Load()))
	assert.Equal(d.t, len(runs), 1)
	return runs[0]
}

// A long shared prompt is saved to the cache store once. When its engine drains,
// another engine fetches the prompt, but not under newer weights.
func TestPromptsAreSavedAndFetched(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		time.Sleep(cacheSyncDelay)
		first := d.askLongPrompt("aa")
		assert.Equal(t, first.Header.Get("X-Kv-Save"), d.cacheStore.Address)
		assert.Equal(t, first.Header.Get("X-Kv-Fetch"), "")
		time.Sleep(cacheSyncDelay)
		assert.Equal(t, d.askLongPrompt("aa").Header.Get("X-Kv-Save"), "", "the prompt is stored already")
		for _, e := range d.engines {
			if e.ID == first.Header.Get("X-Target-Instance") {
				e.Drain(d.store)
			}
		}
		time.Sleep(cacheSyncDelay)
		moved := d.askLongPrompt("aa")
		assert.Equal(t, moved.Header.Get("X-Kv-Fetch"), d.cacheStore.Address)
		assert.Equal(t, moved.Header.Get("X-Cache-Salt"), first.Header.Get("X-Cache-Salt"))
		d.setGoalVersion(2)
		time.Sleep(switchBound + cacheSyncDelay)
		renewed := d.askLongPrompt("aa")
		assert.Equal(t, renewed.Header.Get("X-Expected-Version"), "2")
		assert.Equal(t, renewed.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, renewed.Header.Get("X-Kv-Save"), d.cacheStore.Address)
	})
}

// No prompt is fetched from a cache store that is down or came back empty. Once
// it is back, prompts are saved to it again.
func TestUnavailableCacheStoreIsNotUsed(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		time.Sleep(cacheSyncDelay)
		first := d.askLongPrompt("aa").Header.Get("X-Target-Instance")
		time.Sleep(cacheSyncDelay)
		d.cacheStore.SetUnavailable(true)
		time.Sleep(cacheSyncDelay)
		for _, e := range d.engines {
			if e.ID == first {
				e.Drain(d.store)
			}
		}
		time.Sleep(time.Second)
		down := d.askLongPrompt("aa")
		assert.Equal(t, down.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, down.Header.Get("X-Kv-Save"), "")
		d.cacheStore.SetUnavailable(false)
		time.Sleep(cacheSyncDelay)
		back := d.askLongPrompt("cc")
		assert.Equal(t, back.Header.Get("X-Kv-Fetch"), "")
		assert.Equal(t, back.Header.Get("X-Kv-Save"), d.cacheStore.Address)
	})
}

// A failure to read an engine's cache events is logged at most once per outage
// and daemon.
func TestUnreadableCacheIsLoggedOnce(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		time.Sleep(cacheSyncDelay)
		d.crash(d.engines[0], restartDelay)
		time.Sleep(restartDelay)
		total := 0
		for _, p := range d.processes {
			n := 0
			for _, e := range p.log.entries(t) {
				if e.ID == eventlog.CacheEventsUnreadable && e.Upstream == d.engines[0].ID {
					n++
				}
			}
			assert.Assert(t, n <= 1, "%s logged the unreadable cache %d times", p.name, n)
			total += n
		}
		assert.Assert(t, total > 0)
	})
}
