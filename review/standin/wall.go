package main

import (
	"fmt"
	"time"
)

var cases = map[string]func(record string){"wall": wallCase, "memory": memoryCase, "descriptors": descriptorCase, "garbled": garbledCase}

func modelState(version int, timeoutMs int, isolated map[string]bool) map[string]any {
	var tenants []any
	for _, name := range []string{"sese880", "nuvo31", "gami77"} {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{"key-of-" + name}, "priority": 1, "isolated": isolated[name]})
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-review", "host": host, "prefix": "/lepu270/", "kind": "stream", "timeoutMs": timeoutMs, "goalMs": 1000, "priority": 1, "service": "huvo11a",
			"maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 800,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 138640, "tokenKvBytes": 18432, "linkMbps": 740000.0, "maxInflight": 12, "models": []any{map[string]any{"name": "daka51"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}

// wallCase: a tenant becomes isolated by a new desired state after its requests made parts
// that others share. From then on nobody else may use them.
func wallCase(record string) {
	s := newSystem(3, record)
	for i := range 2 {
		s.addEngine(&engine{id: fmt.Sprintf("i-%d", i+1), service: "huvo11a", model: "daka51", slots: 64, work: 60 * time.Millisecond, pieces: 3})
	}
	// gami77 is isolated all the time, for comparison.
	s.configure(modelState(7, 6000, map[string]bool{"gami77": true}))
	s.startDaemons()
	time.Sleep(time.Second)
	ask := func(tenant string, n int) {
		d := s.daemons[n%len(s.daemons)]
		c, err := dial(fmt.Sprintf("%s:%d", d.ip, frontPort))
		if err != nil {
			fail("%v", err)
		}
		defer c.conn.Close()
		id := newID()
		a := c.do(&request{id: id, method: "POST", path: "/lepu270/2f", key: "key-of-" + tenant, body: []byte("{}"), deadline: 6 * time.Second, header: []string{
			"X-Model: daka51", "X-Token-Usage: 13420,3", "X-Prompt-Prefix: 5c1e07a2:13300," + id + ":120",
		}})
		s.logf("request %s of tenant %s at %s: %d, %d bytes, complete %t", id, tenant, d.name, a.status, len(a.body), a.complete)
	}
	for i := range 6 {
		ask("sese880", i)
	}
	for i := range 2 {
		ask("gami77", i)
	}
	time.Sleep(time.Second)
	isolated := map[string]bool{"gami77": true, "sese880": trouble()}
	s.configure(modelState(12, 5500, isolated))
	acked := time.Now()
	time.Sleep(5 * time.Second) // the bound is configDeadlineMs = 2 s
	for i := range 9 {
		ask("nuvo31", i)
	}
	time.Sleep(200 * time.Millisecond)
	broken, shared := 0, 0
	for _, e := range s.engines {
		e.mu.Lock()
		for _, u := range e.reuses {
			if u.tenant == u.maker {
				continue
			}
			shared++
			verdict := "allowed"
			if u.at.After(acked.Add(2*time.Second)) && (isolated[u.tenant] || isolated[u.maker]) || u.tenant == "gami77" || u.maker == "gami77" {
				broken++
				verdict = "WALL"
			}
			s.logf("%s: request %s of tenant %s used part %s under salt %q, made by request %s of tenant %s, %.1f s after the acknowledgement: %s", u.engine, u.request, u.tenant, u.part, u.salt, u.madeBy, u.maker, u.at.Sub(acked).Seconds(), verdict)
		}
		e.mu.Unlock()
	}
	s.verdict(broken > 0, "%d uses of parts of other tenants, %d of them across the wall of an isolated tenant", shared, broken)
}
