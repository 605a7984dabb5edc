package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/streamorigin"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Origins tells by which software version a stream began. Another version cannot continue it, and
// upstreams do not check this. It is safe for concurrent use.
type Origins interface {
	// Record notes which version began a stream, before its caller gets an event. The stream
	// may be resumed until a time.
	Record(s streamorigin.Stream, software string, until time.Time)
	// Find returns the version that began a stream. known is unset if no version of the
	// service is known at all. The error is streamorigin.ErrUnknown, with the reason.
	Find(ctx context.Context, s streamorigin.Stream) (software string, known bool, err error)
	// MarkBroken notes that the caller of a stream did not get its end.
	MarkBroken(s streamorigin.Stream)
}

// noOrigins lets all upstreams continue all streams.
type noOrigins struct{}

func (noOrigins) Record(streamorigin.Stream, string, time.Time) {}

func (noOrigins) Find(context.Context, streamorigin.Stream) (string, bool, error) {
	return "", false, nil
}

func (noOrigins) MarkBroken(streamorigin.Stream) {}

// streamID returns the ID of the request that brought the first event of the stream that this
// request asks for: its own, unless it resumes one.
func (t *transfer) streamID() string {
	if t.route.Kind == routetable.Stream && t.metadata.ResumedID != "" {
		return t.metadata.ResumedID
	}
	return t.metadata.ID
}

func (t *transfer) stream() streamorigin.Stream {
	s := streamorigin.Stream{Service: t.serviceName, RequestID: t.streamID()}
	if t.organisation != nil {
		s.Organisation = t.organisation.Name
	}
	return s
}

// resumesStream reports whether the caller has events of the stream already.
func (t *transfer) resumesStream() bool {
	return t.route.Kind == routetable.Stream && (t.metadata.LastEventID != "" || t.metadata.ResumedID != "")
}

// findOrigin restricts a request that resumes a stream to the software version that began it. The
// error is a refusal: the request did not run.
func (t *transfer) findOrigin(ctx context.Context) error {
	if !t.resumesStream() {
		return nil
	}
	software, known, err := t.forwarder.Origins.Find(ctx, t.stream())
	if err != nil {
		t.logEvent(eventlog.StreamOriginUnknown, "", errors.Wrapf(err, "stream of request %q, after event %q", t.streamID(), t.lastEventID))
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeStreamLost, "the stream cannot be resumed")
	}
	t.software, t.onlySoftware = software, known
	return nil
}

// recordOrigin notes that the current attempt's upstream began the stream, or continued it, before
// the first of its events is relayed.
func (t *transfer) recordOrigin() {
	if t.originRecorded {
		return
	}
	t.originRecorded = true
	t.software, t.onlySoftware = t.attemptSoftware, true
	if t.route.Resumable {
		t.forwarder.Origins.Record(t.stream(), t.software, t.deadline)
	}
}
