package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// plainPaths refuses requests whose path another server might read otherwise
// than this one, so that no call can dodge the rules of its document.
func plainPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isPlainPath(r.URL.EscapedPath()) {
			WriteError(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the path has empty or dot segments, or encoded separators"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isPlainPath reports whether each segment of an escaped path is a name: not
// empty (but for the last), not "." or "..", and without separators or control
// characters when decoded.
func isPlainPath(escaped string) bool {
	rest, ok := strings.CutPrefix(escaped, "/")
	if !ok {
		return false
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		name, err := url.PathUnescape(segment)
		last := i == len(segments)-1
		if err != nil || name == "." || name == ".." || name == "" && !last || strings.ContainsFunc(name, isSeparator) {
			return false
		}
	}
	return true
}

func isSeparator(r rune) bool { return r == '/' || r == '\\' || r < ' ' || r == 0x7f }
