package routes

import (
	"math"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// ToWire converts d to its wire form.
func (d *Declaration) ToWire() *wire.RouteTable {
	out := &wire.RouteTable{Number: d.Number, Limits: &wire.CallerLimits{
		HeaderBytes: uint64(max(0, d.Limits.MaxHeaderBytes)), BodyBytes: uint64(max(0, d.Limits.MaxBodyBytes)),
		HeaderMillis: millis(d.Limits.HeaderTimeout), IdleMillis: millis(d.Limits.IdleTimeout),
	}}

	for i := range d.Routes {
		out.Routes = append(out.Routes, d.Routes[i].toWire())
	}

	summaries := summarize(d.Routes)

	for i := range d.Services {
		s := &d.Services[i]
		out.Services = append(out.Services, &wire.RoutedService{
			Name: s.Name, MostConnections: count(s.MaxConnections), ColdMillis: millis(s.ColdDuration),
			ColdPerSecond: s.ColdPerSecond, HealthPath: s.HealthPath, Slots: count(s.Slots),
			Experts: &wire.ExpertShape{
				Sets: count(s.Experts.Sets), Experts: count(s.Experts.Experts),
				Places: count(s.Experts.Slots), Spare: count(s.Experts.SpareSlots),
				CopyMicros: uint64(s.Experts.CopyTime.Microseconds()),
			},
			Engine: s.Engine.toWire(), PrioritizedGapMillis: millis(summaries[s.Name].prioritizedGap()),
		})
	}

	for _, w := range d.Workspaces {
		out.Workspaces = append(out.Workspaces, &wire.RoutedWorkspace{Name: w.Name, Keys: w.Keys, Priority: w.Priority})
	}

	return out
}

func (r *Route) toWire() *wire.Route {
	out := &wire.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Repeat: wire.Repeat(r.Retry), Stream: r.Stream,
		TimeoutMillis: millis(r.Timeout), AimMillis: millis(r.LatencyTarget), GapMillis: millis(r.EventGapTarget),
		Priority: r.Priority, MostTargets: count(r.MaxTargets), Anonymous: r.Anonymous,
	}

	for _, s := range r.Shares {
		out.Shares = append(out.Shares, &wire.Share{Service: s.Service, Weight: s.Weight})
	}

	return out
}

// FromWire converts a declaration from its wire form.
func FromWire(w *wire.RouteTable) Declaration {
	l := w.GetLimits()
	d := Declaration{Number: w.GetNumber(), Limits: Limits{
		MaxHeaderBytes: int(l.GetHeaderBytes()), MaxBodyBytes: int64(l.GetBodyBytes()),
		HeaderTimeout: duration(l.GetHeaderMillis()), IdleTimeout: duration(l.GetIdleMillis()),
	}}

	for _, r := range w.GetRoutes() {
		d.Routes = append(d.Routes, routeFromWire(r))
	}

	for _, s := range w.GetServices() {
		e := s.GetExperts()
		d.Services = append(d.Services, Service{
			Name: s.GetName(), MaxConnections: int(s.GetMostConnections()), ColdDuration: duration(s.GetColdMillis()),
			ColdPerSecond: s.GetColdPerSecond(), HealthPath: s.GetHealthPath(), Slots: int(s.GetSlots()),
			Experts: ExpertShape{
				Sets: int(e.GetSets()), Experts: int(e.GetExperts()), Slots: int(e.GetPlaces()), SpareSlots: int(e.GetSpare()),
				CopyTime: time.Duration(e.GetCopyMicros()) * time.Microsecond,
			},
			Engine: engineFromWire(s.GetEngine()), PrioritizedGap: duration(s.GetPrioritizedGapMillis()),
		})
	}

	for _, ws := range w.GetWorkspaces() {
		d.Workspaces = append(d.Workspaces, Workspace{Name: ws.GetName(), Keys: ws.GetKeys(), Priority: ws.GetPriority()})
	}

	return d
}

func (e *EngineFigures) toWire() *wire.EngineFigures {
	if *e == (EngineFigures{}) {
		return nil
	}

	return &wire.EngineFigures{
		Stride: count(e.Stride), StepNanos: int64(e.StepTime), SequenceNanos: int64(e.SequenceTime), ContextNanos: int64(e.ContextTime),
		PromptTokensPerSecond: e.PromptTokensPerSecond, ChunkTokens: count(e.ChunkTokens), PairNanos: int64(e.PairTime),
		ExpertShare: e.ExpertShare, UsualPromptTokens: e.UsualPromptTokens, UsualAnswerTokens: e.UsualAnswerTokens,
	}
}

func engineFromWire(w *wire.EngineFigures) EngineFigures {
	return EngineFigures{
		Stride: int(w.GetStride()), StepTime: time.Duration(w.GetStepNanos()), SequenceTime: time.Duration(w.GetSequenceNanos()),
		ContextTime: time.Duration(w.GetContextNanos()), PromptTokensPerSecond: w.GetPromptTokensPerSecond(),
		ChunkTokens: int(w.GetChunkTokens()), PairTime: time.Duration(w.GetPairNanos()), ExpertShare: w.GetExpertShare(),
		UsualPromptTokens: w.GetUsualPromptTokens(), UsualAnswerTokens: w.GetUsualAnswerTokens(),
	}
}

func routeFromWire(r *wire.Route) Route {
	out := Route{
		Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Retry: RetryPolicy(r.GetRepeat()), Stream: r.GetStream(),
		Timeout: duration(r.GetTimeoutMillis()), LatencyTarget: duration(r.GetAimMillis()), EventGapTarget: duration(r.GetGapMillis()),
		Priority: r.GetPriority(), MaxTargets: int(r.GetMostTargets()), Anonymous: r.GetAnonymous(),
	}

	for _, s := range r.GetShares() {
		out.Shares = append(out.Shares, Share{Service: s.GetService(), Weight: s.GetWeight()})
	}

	return out
}

// millis rounds up, since zero means that there is none.
func millis(d time.Duration) uint64 {
	return uint64((max(d, 0) + min(time.Millisecond-1, math.MaxInt64-max(d, 0))) / time.Millisecond)
}

// count is zero for a number that is none.
func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func duration(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
