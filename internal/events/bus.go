// Package events implements the event bus inside a process. It publishes events through
// watermill's router over Go channels, and handlers run in goroutines of their own.
// Handlers may run concurrently and out of order, so no guarantee of the system may
// depend on the bus. Events never leave the process.
package events

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
)

const (
	topicConfiguration = "ConfigurationChanged"
	topicStopping      = "ProcessStopping"
)

// topicBuffer is the number of messages that a topic buffers for a slow handler.
const topicBuffer = 64

// ConfigurationChanged is the event that a newer configuration is in force in this process.
type ConfigurationChanged struct {
	Version uint64
}

// ProcessStopping is the event that this process is shutting down: it finishes its
// requests and then exits.
type ProcessStopping struct {
	ID string
}

// Bus carries events between the parts of one process.
type Bus struct {
	channel *gochannel.GoChannel
	router  *message.Router
}

// NewBus returns a bus that logs to logger.
func NewBus(logger *slog.Logger) (*Bus, error) {
	adapter := watermill.NewSlogLogger(logger)

	router, err := message.NewRouter(message.RouterConfig{}, adapter)
	if err != nil {
		return nil, eris.Wrap(err, "create event router")
	}

	channel := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: topicBuffer}, adapter)

	return &Bus{channel: channel, router: router}, nil
}

// Run dispatches events to their handlers until ctx is done.
func (b *Bus) Run(ctx context.Context) error {
	return eris.Wrap(b.router.Run(ctx), "run event router")
}

// Running returns a channel that is closed once all handlers receive events.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// ConfigurationChanged publishes that a newer configuration is in force.
func (b *Bus) ConfigurationChanged(e ConfigurationChanged) error {
	return b.publish(topicConfiguration, e)
}

// OnConfigurationChanged registers a handler that is called for each newer configuration.
// It must be called before Run.
func (b *Bus) OnConfigurationChanged(name string, handle func(ConfigurationChanged)) {
	b.addHandler(name, topicConfiguration, func(payload []byte) error {
		var e ConfigurationChanged
		if err := json.Unmarshal(payload, &e); err != nil {
			return eris.Wrap(err, "decode event")
		}

		handle(e)

		return nil
	})
}

// ProcessStopping publishes that this process is shutting down.
func (b *Bus) ProcessStopping(e ProcessStopping) error {
	return b.publish(topicStopping, e)
}

// OnProcessStopping registers a handler that is called when this process shuts down. It
// must be called before Run.
func (b *Bus) OnProcessStopping(name string, handle func(ProcessStopping)) {
	b.addHandler(name, topicStopping, func(payload []byte) error {
		var e ProcessStopping
		if err := json.Unmarshal(payload, &e); err != nil {
			return eris.Wrap(err, "decode event")
		}

		handle(e)

		return nil
	})
}

func (b *Bus) publish(topic string, e any) error {
	payload, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}

	return eris.Wrap(b.channel.Publish(topic, message.NewMessage(watermill.NewUUID(), payload)), "publish event")
}

func (b *Bus) addHandler(name, topic string, handle func(payload []byte) error) {
	b.router.AddConsumerHandler(name, topic, b.channel, func(m *message.Message) error {
		return handle(m.Payload)
	})
}
