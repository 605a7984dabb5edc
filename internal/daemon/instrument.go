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
	i.metrics.RecordRequest(service, code, time.Since(started))
}

// timedSink records the time to first token.
type timedSink struct {
	dispatch.Sink
	metrics       *telemetry.Metrics
	req           *dispatch.ModelRequest
	sawFirstEvent bool
}

// Event implements dispatch.Sink.
func (s *timedSink) Event(src dispatch.StreamSource, e upstream.Event) error {
	if !s.sawFirstEvent {
		s.sawFirstEvent = true
		service := s.req.Service.Document.Service
		s.metrics.RecordFirstToken(service, time.Since(s.req.ReceivedAt))
		s.metrics.CountPromptTokens(service, e.Usage)
	}
	return s.Sink.Event(src, e)
}

// registerGauges registers the gauges that are computed from the daemon's state.
func (d *Daemon) registerGauges() {
	d.metrics.RegisterGauge(telemetry.NameInFlightRequests, func() float64 { return float64(d.inFlight.Load()) })
	d.metrics.RegisterGauge(telemetry.NamePlatformUp, func() float64 {
		if d.platformUp.Load() {
			return 1
		}
		return 0
	})
	d.metrics.RegisterGauge(telemetry.NamePeers, func() float64 { return float64(len(d.gossipNode.Peers())) })
	d.metrics.RegisterGauge(telemetry.NameGossipSent, func() float64 { return float64(d.gossipNode.Stats().SentBytes) })
	d.metrics.RegisterGauge(telemetry.NameGossipReceived, func() float64 { return float64(d.gossipNode.Stats().ReceivedBytes) })
	d.metrics.RegisterGauge(telemetry.NameGossipFacts, func() float64 { return float64(d.gossipNode.Stats().Facts) })
	d.metrics.RegisterGauge(telemetry.NameOncePendingOutcomes, func() float64 { return float64(d.onceRecords.PendingOutcomes()) })
	d.metrics.RegisterGauge(telemetry.NameSuspectedParts, func() float64 { return float64(d.promptParts.SuspectedCount()) })
	d.metrics.RegisterGauge(telemetry.NameQuarantinedParts, func() float64 { return float64(d.promptParts.QuarantinedCount()) })
	for _, state := range []fleet.State{fleet.Unknown, fleet.Serving, fleet.Leaving, fleet.Down} {
		name := fmt.Sprintf("%s{state=%q}", telemetry.NameUpstreams, state)
		d.metrics.RegisterGauge(name, func() float64 { return float64(d.countUpstreams(state)) })
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
