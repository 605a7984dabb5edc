// Package httpjson reads and writes JSON bodies for the HTTP stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

const maxBodyBytes = 64 << 20

// Decode reads the JSON body of r into v. If that fails, it responds with status
// 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply responds with v as JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client disconnected
}
