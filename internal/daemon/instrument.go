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

// instrumented records the metrics of requests.
type instrumented struct {
	next    entry.Dispatcher
	metrics *telemetry.Metrics
}

// Generate implements entry.Dispatcher.
func (i instrumented) Generate(ctx context.Context, req *dispatch.ModelRequest, sink dispatch.Sink) error {
	err := i.next.Generate(ctx, req, &timedSink{Sink: sink, metrics: i.metrics, req: req})
	i.ended(req.Service.Document.Service, req.ReceivedAt, err)
	return err
}

// Resume implements entry.Dispatcher.
func (i instrumented) Resume(ctx context.Context, req *dispatch.ModelRequest, p resume.Position, sink dispatch.Sink) error {
	err := i.next.Resume(ctx, req, p, sink)
	i.ended(req.Service.Document.Service, req.ReceivedAt, err)
	return err
}

// Call implements entry.Dispatcher.
func (i instrumented) Call(ctx context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error) {
	begun := time.Now()
	reply, address, err := i.next.Call(ctx, req)
	i.ended(req.Service.Document.Service, begun, err)
	return reply, address, err
}

func (i instrumented) ended(service string, begun time.Time, err error) {
	code := ""
	if err != nil {
		code = string(verdict.CodeInternal)
		if e, ok := verdict.As(err); ok {
			code = string(e.Code)
		}
	}
	i.metrics.Request(service, code, time.Since(begun))
}

// timedSink notes when the first token passes.
type timedSink struct {
	dispatch.Sink
	metrics *telemetry.Metrics
	req     *dispatch.ModelRequest
	begun   bool
}

// Event implements dispatch.Sink.
func (s *timedSink) Event(src dispatch.Source, e upstream.Event) error {
	if !s.begun {
		s.begun = true
		service := s.req.Service.Document.Service
		s.metrics.FirstToken(service, time.Since(s.req.ReceivedAt))
		s.metrics.Prompt(service, e.Usage)
	}
	return s.Sink.Event(src, e)
}

// registerGauges adds the metrics that are read from the daemon's state.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.NameInFlight, func() float64 { return float64(d.inFlight.Load()) })
	d.metrics.Gauge(telemetry.NamePlatformUp, func() float64 {
		if d.platformUp.Load() {
			return 1
		}
		return 0
	})
	d.metrics.Gauge(telemetry.NamePeers, func() float64 { return float64(len(d.node.Peers())) })
	d.metrics.Gauge(telemetry.NameGossipSent, func() float64 { return float64(d.node.Stats().SentBytes) })
	d.metrics.Gauge(telemetry.NameGossipRecv, func() float64 { return float64(d.node.Stats().ReceivedBytes) })
	d.metrics.Gauge(telemetry.NameGossipFacts, func() float64 { return float64(d.node.Stats().Facts) })
	d.metrics.Gauge(telemetry.NameOncePending, func() float64 { return float64(d.once.Pending()) })
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
