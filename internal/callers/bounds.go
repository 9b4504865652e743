package callers

import (
	"net"

	"github.com/rcrowley/go-metrics"

	"github.com/parsleygate/parsleygate/internal/logs"
)

// Bounds bound what the clients of all HTTP servers of a process make it hold. The zero value has the default
// limits, and no bounds of connections and memory.
type Bounds struct {
	// Limits are those of clients that are not callers, DefaultLimits if they are zero.
	Limits Limits
	// MaxConnections bounds the connections of each port that is not for callers; zero means no limit.
	MaxConnections int
	// Memory bounds the requests of all servers together, unless it is nil.
	Memory *Memory
	Logs   logs.Output
	// Metrics is the registry of the process, if it is set.
	Metrics metrics.Registry
}

// InForce returns the limits of clients that are not callers.
func (b *Bounds) InForce() Limits {
	if b.Limits == (Limits{}) {
		return DefaultLimits()
	}

	return b.Limits
}

// Listen bounds a port that is not for callers. The name is that of its log lines and metrics.
func (b *Bounds) Listen(name string, inner net.Listener) *Listener {
	l := &Listener{
		Listener: inner, MaxConnections: b.MaxConnections, Limits: b.InForce, Memory: b.Memory, ChargeBodies: true,
	}

	if b.Logs.Writer != nil {
		l.Logger = b.Logs.Logger("clients").With("port", name)
	}

	b.register(name, l)

	return l
}

// Metric describes a metric of the servers of a process.
type Metric struct {
	Name string
	Unit string
	Help string

	read func(Stats) int64
}

// Metrics describes the metrics of one port, whose names follow that of the port.
func Metrics() []Metric {
	return []Metric{
		{"Open", "connections", "Connections now.", func(s Stats) int64 { return int64(s.Open) }},
		{"Refused", "connections", "New connections closed unread, because too many were open.", func(s Stats) int64 { return s.Refused }},
		{"ClosedIdle", "connections", "Idle connections closed to make room for new ones.", func(s Stats) int64 { return s.ClosedIdle }},
		{"ClosedSlow", "connections", "Connections closed to make room for new ones, because their request arrived slowly or their answer was not read.", func(s Stats) int64 { return s.ClosedSlow }},
		{"TooLong", "requests", "Requests refused with status 431, because their header exceeded its limit.", func(s Stats) int64 { return s.TooLong }},
		{"TooSlow", "requests", "Requests refused with status 408, because their header did not arrive in time.", func(s Stats) int64 { return s.TooSlow }},
		{"NoMemory", "requests", "Requests refused because the memory for requests was full.", func(s Stats) int64 { return s.NoMemory }},
	}
}

// HeldMetric is the name of the metric of what all requests hold, in bytes.
const HeldMetric = "Clients.HeldBytes"

// register adds the metrics of a port. A control VM that rejoins the control set opens its ports again.
func (b *Bounds) register(name string, l *Listener) {
	if b.Metrics == nil {
		return
	}

	for _, m := range Metrics() {
		b.replaceMetric("Clients."+name+"."+m.Name, func() int64 { return m.read(l.Stats()) })
	}

	b.replaceMetric(HeldMetric, b.Memory.Used)
}

func (b *Bounds) replaceMetric(name string, read func() int64) {
	b.Metrics.Unregister(name)
	_ = b.Metrics.Register(name, metrics.NewFunctionalGauge(read)) // It fails for a duplicate only.
}
