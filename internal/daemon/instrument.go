package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// instrumentedDispatcher records the metrics of requests.
type instrumentedDispatcher struct {
	next    entry.Dispatcher
	metrics *telemetry.Metrics
}

// Generate implements entry.Dispatcher.
func (i instrumentedDispatcher) Generate(ctx context.Context, req *dispatch.ModelRequest, sink dispatch.Sink) error {
	err := i.next.Generate(ctx, req, &timedSink{Sink: sink, metrics: i.metrics, req: req})
	i.recordRequest(req.Service.Document.Service, req.ReceivedAt, err)
	return err
}

// Resume implements entry.Dispatcher.
func (i instrumentedDispatcher) Resume(ctx context.Context, req *dispatch.ModelRequest, p resume.Position, sink dispatch.Sink) error {
	err := i.next.Resume(ctx, req, p, sink)
	i.recordRequest(req.Service.Document.Service, req.ReceivedAt, err)
	return err
}

// Call implements entry.Dispatcher.
func (i instrumentedDispatcher) Call(ctx context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error) {
	started := time.Now()
	reply, address, err := i.next.Call(ctx, req)
	i.recordRequest(req.Service.Document.Service, started, err)
	return reply, address, err
}

func (i instrumentedDispatcher) recordRequest(service string, started time.Time, err error) {
	code := ""
	if err != nil {
		code = string(verdict.CodeInternal)
		if e, ok := verdict.As(err); ok {
			code = string(e.Code)
		}
	}
	i.metrics.Request(service, code, time.Since(started))
}

// timedSink records the time to first token.
type timedSink struct {
	dispatch.Sink
	metrics       *telemetry.Metrics
	req           *dispatch.ModelRequest
	sawFirstEvent bool
}

// Event implements dispatch.Sink.
func (s *timedSink) Event(src dispatch.Source, e upstream.Event) error {
	if !s.sawFirstEvent {
		s.sawFirstEvent = true
		service := s.req.Service.Document.Service
		s.metrics.FirstToken(service, time.Since(s.req.ReceivedAt))
		s.metrics.Prompt(service, e.Usage)
	}
	return s.Sink.Event(src, e)
}

// registerGauges registers the gauges that are computed from the daemon's state.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.NameInFlight, func() float64 { return float64(d.inFlight.Load()) })
	d.metrics.Gauge(telemetry.NamePlatformUp, func() float64 {
		if d.platformUp.Load() {
			return 1
		}
		return 0
	})
	d.metrics.Gauge(telemetry.NamePeers, func() float64 { return float64(len(d.gossipNode.Peers())) })
	d.metrics.Gauge(telemetry.NameGossipSent, func() float64 { return float64(d.gossipNode.Stats().SentBytes) })
	d.metrics.Gauge(telemetry.NameGossipRecv, func() float64 { return float64(d.gossipNode.Stats().ReceivedBytes) })
	d.metrics.Gauge(telemetry.NameGossipFacts, func() float64 { return float64(d.gossipNode.Stats().Facts) })
	d.metrics.Gauge(telemetry.NameOncePending, func() float64 { return float64(d.onceRecords.Pending()) })
	for _, state := range []fleet.State{fleet.Unknown, fleet.Serving, fleet.Leaving, fleet.Down} {
		name := fmt.Sprintf("%s{state=%q}", telemetry.NameUpstreams, state)
		d.metrics.Gauge(name, func() float64 { return float64(d.countUpstreams(state)) })
	}
}

func (d *Daemon) countUpstreams(state fleet.State) int {
	n := 0
	for _, u := range d.fleet.Snapshot().ByAddress {
		if u.State == state {
			n++
		}
	}
	return n
}
