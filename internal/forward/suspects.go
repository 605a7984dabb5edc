package forward

import (
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Suspects knows the requests that may crash upstreams, over all daemons. A
// request is named by its fingerprint.
type Suspects interface {
	// Known reports whether there is any; if not, nothing else is asked.
	Known() bool
	// Quarantined reports whether upstreams died under a request too often.
	Quarantined(request string) bool
	// Died records that a life of an upstream ended under requests.
	Died(upstream, incarnation string, requests []string)
	// Survived records that a request ran to its end.
	Survived(request string)
}

// noSuspects is used when nothing is configured.
type noSuspects struct{}

func (noSuspects) Known() bool { return false }

func (noSuspects) Quarantined(string) bool { return false }

func (noSuspects) Died(string, string, []string) {}

func (noSuspects) Survived(string) {}

// quarantineRetryAfter is the time to come back for a request that upstreams
// crash under; what is left of the caller's time bounds it.
const quarantineRetryAfter = time.Minute

// fingerprint names the request: equal ones of one organisation have one.
func (t *transfer) fingerprint() string {
	d := xxhash.New()
	for _, s := range []string{t.caller.Method, t.caller.Host, t.caller.RequestURI} {
		_, _ = d.WriteString(s) // a Digest's writes do not fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(t.body)
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	return t.service + "/" + organisation + "/" + strconv.FormatUint(d.Sum64(), 16)
}

// quarantine returns the refusal of a request that upstreams crash under, nil
// for others.
func (t *transfer) quarantine() error {
	if !t.f.Suspects.Known() || !t.f.Suspects.Quarantined(t.fingerprint()) {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.CodeQuarantined, "upstreams crashed while they ran this request")
	e.RetryAfter = quarantineRetryAfter
	return e
}

// survived clears a request that ran to its end.
func (t *transfer) survived() {
	if t.f.Suspects.Known() {
		t.f.Suspects.Survived(t.fingerprint())
	}
}

// isBroken reports whether an upstream ended a connection, as one does that crashes.
func isBroken(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
