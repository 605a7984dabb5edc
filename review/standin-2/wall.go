package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wall"] = wall }

const (
	// configDeadline is configDeadlineMs of the installation.
	configDeadline = 2 * time.Second
	sharedPart     = "5c1e07a2"
)

// tenantKeys are the API keys of the tenants.
var tenantKeys = map[string]string{"alpha": "key-of-alpha", "beta": "key-of-beta", "gamma": "key-of-gamma"}

// writeLLMState writes a desired state in which a tenant may be isolated.
func (w *world) writeLLMState(version int, isolated string) {
	var tenants []map[string]any
	for _, name := range []string{"alpha", "beta", "gamma"} {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{tenantKeys[name]}, "priority": 1, "isolated": name == isolated})
	}
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-review", "host": host, "prefix": "/review/", "kind": "stream", "timeoutMs": 6000, "goalMs": 1000, "priority": 1, "service": llmService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 800},
		},
		"services": []map[string]any{{"name": llmService, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": llmSlots, "kvCapacity": 138640, "tokenKvBytes": 18432, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 7, "maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}}}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

// review sends a prompt with the shared part for a tenant, and reads the stream to its end.
func (w *world) review(d *daemon, tenant string) {
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	id := w.newID("review")
	r, _ := http.NewRequest(http.MethodPost, "http://"+d.front()+"/review/2f", strings.NewReader("prompt of "+id))
	r.Host = host
	for name, value := range map[string]string{"X-Request-Id": id, "X-Key": tenantKeys[tenant], "X-Deadline-Ms": "6000", "X-Model": model, "X-Token-Usage": fmt.Sprintf("13700,%d", outTokens), "X-Prompt-Prefix": fmt.Sprintf("%s:13300,%x:400", sharedPart, id)} {
		r.Header.Set(name, value)
	}
	w.note("requester of %s sends %s to %s", tenant, id, d.name)
	resp, err := client.Do(r)
	if err != nil {
		w.note("requester gets no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.note("requester gets %d for %s, %d events, %v", resp.StatusCode, id, strings.Count(string(body), "data:"), err)
}

// wall: a tenant becomes isolated while requests of others wait in the engines' queues.
func wall(w *world) (bool, string) {
	w.writeLLMState(7, "")
	for i := range 2 {
		w.llms = append(w.llms, w.newLLMEngine(fmt.Sprintf("i-llm-%d", i+1), fmt.Sprintf("%s.%d", w.network, 100+i)))
	}
	w.startDaemons(7)
	time.Sleep(2 * contactTime)
	for range 2 {
		w.review(w.daemons[0], "alpha")
	}
	time.Sleep(time.Second)
	var all sync.WaitGroup
	for i := range burstSize {
		all.Go(func() { w.review(w.daemons[i%len(w.daemons)], []string{"beta", "gamma"}[i%2]) })
	}
	time.Sleep(300 * time.Millisecond)
	var acknowledged time.Time
	if w.trouble {
		w.writeLLMState(8, "alpha")
		acknowledged = time.Now()
		w.note("the store acknowledges version 8: alpha is isolated")
	}
	all.Wait()
	if !w.trouble {
		return false, "no tenant was isolated"
	}
	across := 0
	for _, e := range w.llms {
		e.mu.Lock()
		for _, u := range e.uses {
			if after := u.at.Sub(acknowledged); (u.maker == "alpha") != (u.tenant == "alpha") && after > configDeadline {
				across++
				w.note("%s of %s used what %s made, %s after alpha was isolated", u.request, u.tenant, u.maker, after.Round(time.Millisecond))
			}
		}
		e.mu.Unlock()
	}
	return across > 0, fmt.Sprintf("%d requests of other tenants began later than %s after alpha was isolated and used KV cache that alpha's request made", across, configDeadline)
}

// burstSize is how many requests come at once.
const burstSize = 21
