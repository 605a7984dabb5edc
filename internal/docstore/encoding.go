package docstore

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

// Keys in the table and the object store.
const (
	revisionPrefix = "documents/revision/"
	counterKey     = "documents/counter"
	bodyPrefix     = "documents/body/"
	headPrefix     = "documents/head/"
)

// Maximum numbers of submissions in the rows of the table.
const (
	// historyLength bounds the history in a service's row. A submission whose
	// response was lost can be resolved until this many others have followed it.
	historyLength = 16
	// recentLength bounds the submissions in the counter's row. A daemon that is
	// further behind lists all services.
	recentLength = 32
)

// storedFormat is the version of the encoding, the first field of each stored
// value.
const storedFormat = 1

// submission is one accepted revision of one service's document.
type submission struct {
	Service  string
	Revision servicedoc.Revision
	// Nonce identifies the call of Submit.
	Nonce string
	// Digest is the SHA-256 of the body.
	Digest [sha256.Size]byte
}

func (s submission) bodyKey() string {
	return fmt.Sprintf("%s%s/%020d-%s", bodyPrefix, s.Service, s.Revision, s.Nonce)
}

func headKey(service string, rev servicedoc.Revision) string {
	return fmt.Sprintf("%s%s/%020d", headPrefix, service, rev)
}

// parseHeadKey is the inverse of headKey.
func parseHeadKey(key string) (service string, rev servicedoc.Revision, ok bool) {
	service, number, ok := strings.Cut(strings.TrimPrefix(key, headPrefix), "/")
	if !ok || !servicedoc.ValidName(service) {
		return "", 0, false
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || headKey(service, servicedoc.Revision(n)) != key {
		return "", 0, false
	}
	return service, servicedoc.Revision(n), true
}

// revisionRow is the value of a service's row.
type revisionRow struct {
	Format uint8
	// History lists the newest submissions; the last is in force.
	History []submission
}

// inForce returns the submission in force, or the zero value.
func (r revisionRow) inForce() submission {
	if len(r.History) == 0 {
		return submission{}
	}
	return r.History[len(r.History)-1]
}

func (r revisionRow) withSubmission(s submission) revisionRow {
	history := append(append([]submission(nil), r.History...), s)
	return revisionRow{Format: storedFormat, History: history[max(0, len(history)-historyLength):]}
}

// find returns the submission with the given revision.
func (r revisionRow) find(rev servicedoc.Revision) (submission, bool) {
	for _, s := range r.History {
		if s.Revision == rev {
			return s, true
		}
	}
	return submission{}, false
}

// counterRow is the value of the row that every daemon polls.
type counterRow struct {
	Format uint8
	// Changes counts all accepted submissions of all services.
	Changes uint64
	// Nonce is the nonce of the newest submission.
	Nonce string
	// Recent lists the newest submissions; the last is number Changes.
	Recent []submission
}

func (c counterRow) withSubmission(s submission) counterRow {
	recent := append(append([]submission(nil), c.Recent...), s)
	return counterRow{Format: storedFormat, Changes: c.Changes + 1, Nonce: s.Nonce, Recent: recent[max(0, len(recent)-recentLength):]}
}

// submissionsAfter returns the submissions after the given change count; ok is
// false when the row no longer has all of them.
func (c counterRow) submissionsAfter(changes uint64) (list []submission, ok bool) {
	if changes > c.Changes || c.Changes-changes > uint64(len(c.Recent)) {
		return nil, false
	}
	return c.Recent[uint64(len(c.Recent))-(c.Changes-changes):], true
}

// head is the object that proves that a submission was accepted. It contains
// the body, so that one read returns the document.
type head struct {
	Format     uint8
	Submission submission
	Body       []byte
}

func mustEncode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return b
}

func decodeRevisionRow(b []byte) (revisionRow, error) {
	var r revisionRow
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return revisionRow{}, errors.Wrap(err, "decode revision row")
	}
	if r.Format != storedFormat || len(r.History) == 0 {
		return revisionRow{}, errors.Newf("revision row is empty or has unsupported format %d", r.Format)
	}
	for i, s := range r.History {
		if !s.valid() || i > 0 && (s.Revision != r.History[i-1].Revision+1 || s.Service != r.History[0].Service) {
			return revisionRow{}, errors.New("revision row has an inconsistent history")
		}
	}
	return r, nil
}

func decodeCounterRow(b []byte) (counterRow, error) {
	var c counterRow
	if err := msgpack.Unmarshal(b, &c); err != nil {
		return counterRow{}, errors.Wrap(err, "decode change counter")
	}
	if c.Format != storedFormat || uint64(len(c.Recent)) > c.Changes {
		return counterRow{}, errors.Newf("change counter is inconsistent or has an unsupported format: format %d, %d changes", c.Format, c.Changes)
	}
	for _, s := range c.Recent {
		if !s.valid() {
			return counterRow{}, errors.New("change counter has an invalid submission")
		}
	}
	return c, nil
}

func decodeHead(b []byte) (head, error) {
	var h head
	if err := msgpack.Unmarshal(b, &h); err != nil {
		return head{}, errors.Wrap(err, "decode head object")
	}
	if h.Format != storedFormat || !h.Submission.valid() {
		return head{}, errors.Newf("head object has an invalid submission or unsupported format %d", h.Format)
	}
	if sha256.Sum256(h.Body) != h.Submission.Digest {
		return head{}, errors.New("body of head object does not match its digest")
	}
	return h, nil
}

func (s submission) valid() bool {
	return servicedoc.ValidName(s.Service) && s.Revision > 0 && s.Nonce != ""
}

// accepted parses a head's body.
func (h head) accepted() (*servicedoc.Accepted, error) {
	return parseAccepted(h.Submission.Service, h.Submission.Revision, h.Body)
}

func parseAccepted(service string, rev servicedoc.Revision, body []byte) (*servicedoc.Accepted, error) {
	a, err := servicedoc.NewAccepted(rev, body)
	if err != nil {
		return nil, err
	}
	if a.Document.Service != service {
		return nil, errors.Newf("the document of %q names the service %q", service, a.Document.Service)
	}
	return a, nil
}
