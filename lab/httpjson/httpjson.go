// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 64 << 20

// Decode reads the body of r into v. It answers 400 and returns false if that
// is not possible.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply answers with v.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone needs no answer
}
