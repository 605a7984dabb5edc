package httpverdict

import "net/http"

// PromisesNotRun reports whether callers take a response status as a promise that the request
// did not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
