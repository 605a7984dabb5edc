package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["split-fleet"] = splitFleet
	cases["dark-crash"] = darkCrash
}

const (
	// poisonPath and poisonBody are those of the request that crashes each engine that begins to
	// run it.
	poisonPath = "/order/9c"
	poisonBody = "{\"part\":\"sleep-eye weight\",\"count\":-1}"
	// poisonInterval is the time from one attempt with it to the next.
	poisonInterval = 3200 * time.Millisecond
)

func isPoison(r run) bool { return r.path == poisonPath && r.body == poisonBody }

// treatPoison returns how engines treat requests: the poison as given, others well.
func treatPoison(crash treatment) func(*http.Request, []byte) treatment {
	return func(r *http.Request, body []byte) treatment {
		if r.URL.Path == poisonPath && string(body) == poisonBody {
			return crash
		}
		return serve
	}
}

// startEngines starts a number of engines.
func (w *world) startEngines(n int, treat func(*http.Request, []byte) treatment) {
	for i := range n {
		w.newEngine(fmt.Sprint("e", i+1), fmt.Sprintf("%s.%d", w.network, 100+i), 60*time.Millisecond, treat)
	}
}

// startDaemons starts a number of daemons; the first three are the seeds.
func (w *world) startDaemons(n int) {
	for i := range n {
		w.newDaemon(i + 1)
	}
	for _, d := range w.daemons {
		d.writeSettings(controls(w.daemons[:min(3, n)]...), true)
	}
	for _, d := range w.daemons {
		d.start()
	}
	for _, d := range w.daemons {
		d.awaitReady(15 * time.Second)
	}
}

// background sends usual requests until stop is closed. It returns a function that waits for their
// end and returns how many orders were sent and how many got no success.
func (w *world) background(daemons []*daemon, stop chan struct{}) func() (sent, failed int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, failed := 0, 0
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			d := daemons[rand.IntN(len(daemons))]
			all.Go(func() {
				a := w.ask(d.front(), "usual", http.MethodPost, fmt.Sprintf("/order/%d", i), fmt.Sprintf("{\"part\":\"glass eye\",\"count\":%d}", i), 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status != http.StatusOK {
					failed++
				}
			})
		}
	})
	return func() (int, int) {
		all.Wait()
		return sent, failed
	}
}

// playPoison sends the poison a number of times, at one daemon after the other, and judges how often
// it reached engines.
func (w *world) playPoison(daemons []*daemon, times int) (bool, string) {
	for i := range times {
		w.ask(daemons[i%len(daemons)].front(), "poison", http.MethodPost, poisonPath, poisonBody, 3*time.Second)
		time.Sleep(poisonInterval)
	}
	return w.judgeCrashes(isPoison)
}

// splitFleet: all machines lose power, the three that are the seeds do not come back.
func splitFleet(w *world) (bool, string) {
	w.writeState()
	w.startEngines(6, treatPoison(crashReset))
	w.startDaemons(7)
	time.Sleep(4 * time.Second)
	daemons := w.daemons
	if w.trouble {
		w.note("all machines lose power")
		for _, d := range w.daemons {
			d.kill()
		}
		time.Sleep(time.Second)
		seeds := controls(w.daemons[:3]...)
		daemons = w.daemons[3:]
		w.note("power is back; the machines of the three seeds stay away for good")
		for _, d := range daemons {
			d.writeSettings(seeds, false)
			d.start()
		}
		time.Sleep(seedLag)
		w.note("%s later the platform names other seeds in the settings, and sends SIGHUP", seedLag)
		for _, d := range daemons {
			d.writeSettings(controls(daemons[:3]...), false)
			d.signal(1)
		}
	}
	for _, d := range daemons {
		d.awaitReady(15 * time.Second)
	}
	time.Sleep(2 * contactTime)
	for _, d := range daemons {
		w.note("the directory of %s names %s", d.name, strings.Join(d.entries(), ", "))
	}
	stop := make(chan struct{})
	wait := w.background(daemons, stop)
	broken, why := w.playPoison(daemons, 10)
	close(stop)
	sent, failed := wait()
	return broken, fmt.Sprintf("%s; of %d other orders sent meanwhile %d got no success", why, sent, failed)
}

// darkCrash: the request leaves the machine of each engine that runs it without power.
func darkCrash(w *world) (bool, string) {
	crash := crashReset
	if w.trouble {
		crash = crashDark
	}
	w.writeState()
	w.startEngines(6, treatPoison(crash))
	w.startDaemons(7)
	time.Sleep(2 * contactTime)
	stop := make(chan struct{})
	wait := w.background(w.daemons, stop)
	broken, why := w.playPoison(w.daemons, 12)
	close(stop)
	sent, failed := wait()
	return broken, fmt.Sprintf("%s; of %d other orders sent meanwhile %d got no success", why, sent, failed)
}

// judgeCrashes judges how often a request that crashes engines reached them.
func (w *world) judgeCrashes(match func(run) bool) (bool, string) {
	runs := w.runsOf(match)
	late := 0
	for i, r := range runs {
		w.note("crash %d: %s at engine %s, %.3f", i+1, r.id, r.engine, r.at.Sub(w.started).Seconds())
		if i >= allowedRetries && r.at.Sub(runs[2].at) > contactTime {
			late++
		}
	}
	return late > allowedRetries, fmt.Sprintf("the request crashed engines %d times; %d of them were retries that reached an engine later than %s after the third crash, %d are allowed", len(runs), late, contactTime, allowedRetries)
}

// allowedRetries is how many retries the rule allows after contactTime since the third crash.
const allowedRetries = 3
