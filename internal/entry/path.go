package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// rejectAmbiguousPaths refuses requests whose path an upstream might decode or
// clean differently from this daemon, so that no call can bypass the rules of
// its document.
func rejectAmbiguousPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isUnambiguousPath(r.URL.EscapedPath()) {
			WriteError(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the path has empty or dot segments, or encoded separators"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isUnambiguousPath reports whether no segment of an escaped path is "." or
// "..", contains separators or control characters when decoded, or is empty;
// only the last segment may be empty.
func isUnambiguousPath(escaped string) bool {
	rest, ok := strings.CutPrefix(escaped, "/")
	if !ok {
		return false
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		name, err := url.PathUnescape(segment)
		last := i == len(segments)-1
		if err != nil || name == "." || name == ".." || name == "" && !last || strings.ContainsFunc(name, isSeparatorOrControl) {
			return false
		}
	}
	return true
}

func isSeparatorOrControl(r rune) bool { return r == '/' || r == '\\' || r < ' ' || r == 0x7f }
