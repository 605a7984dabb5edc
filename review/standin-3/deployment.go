package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	modelHost = "jepu9.example"
	plainHost = "voka93.example"
	model     = "daka510000"
	firstKey  = "ctnfzs989anu6wsjnban"
	secondKey = "fqasnmgkcuyj8pjbvk9m"
)

// desiredState returns the first desired state.
func desiredState() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "r-review", "host": modelHost, "prefix": "/review/", "kind": "stream", "timeoutMs": 6000, "goalMs": 1000, "priority": 1, "service": "lamp-bench", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 800},
			{"name": "r-query", "host": modelHost, "prefix": "/query/", "kind": "stream", "timeoutMs": 4000, "goalMs": 600, "priority": 0, "service": "lamp-bench", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 800},
			{"name": "r-order", "host": plainHost, "prefix": "/order/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": "front-ledger", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-read", "host": plainHost, "prefix": "/read/", "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": "front-ledger", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "lamp-bench", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 138640, "tokenKvBytes": 18432, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 7, "maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}}}},
			{"name": "front-ledger", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "sese880", "apiKeys": []string{firstKey}, "priority": 1, "isolated": false},
			{"name": "wara310", "apiKeys": []string{secondKey}, "priority": 1, "isolated": false},
		},
	}
}

// deploy starts engines and daemons and waits until all are ready.
func (w *world) deploy(daemons, lamps, ledgers int) error {
	w.store.put("op", "config", desiredState())
	w.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	for i := range lamps {
		e := &engine{w: w, id: fmt.Sprintf("i-lamp%04d", i), service: "lamp-bench", model: model, version: 1, zone: zones[i%3], address: w.addr(100+i, "engine"), slots: 64, work: 20 * time.Millisecond, events: 8}
		w.engines = append(w.engines, e)
	}
	for i := range ledgers {
		e := &engine{w: w, id: fmt.Sprintf("i-ledg%04d", i), service: "front-ledger", zone: zones[i%3], address: w.addr(150+i, "engine"), slots: 6, work: 30 * time.Millisecond}
		w.engines = append(w.engines, e)
	}
	for _, e := range w.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	for i := range daemons {
		if err := w.start(w.addDaemon(i)); err != nil {
			return err
		}
	}
	if !w.awaitReady(20 * time.Second) {
		return errors.New("the daemons did not become ready")
	}
	w.note("ready", "all daemons")
	return nil
}
