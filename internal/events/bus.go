// Package events is the bus inside each process: parts tell what happened, and
// others handle it in a goroutine of their own, over watermill's router and Go
// channels. Handlers may run side by side and out of order, so nothing that a
// promise rests on goes over the bus, and nothing on it leaves the process.
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

// The topics of the bus.
const (
	topicConfiguration = "ConfigurationChanged"
	topicStopping      = "ProcessStopping"
)

// topicBuffer is how many messages a topic holds for a slow handler.
const topicBuffer = 64

// ConfigurationChanged says that this process has a newer configuration in force.
type ConfigurationChanged struct {
	Version uint64
}

// ProcessStopping says that this process finishes its work and then ends.
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
		return nil, eris.Wrap(err, "make event router")
	}

	channel := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: topicBuffer}, adapter)

	return &Bus{channel: channel, router: router}, nil
}

// Run handles events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	return eris.Wrap(b.router.Run(ctx), "run event router")
}

// Running is closed once every handler takes events.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// ConfigurationChanged tells of a newer configuration.
func (b *Bus) ConfigurationChanged(e ConfigurationChanged) error {
	return b.publish(topicConfiguration, e)
}

// OnConfigurationChanged calls handle for each newer configuration. Set before Run.
func (b *Bus) OnConfigurationChanged(name string, handle func(ConfigurationChanged)) {
	b.addHandler(name, topicConfiguration, func(payload []byte) error {
		var e ConfigurationChanged
		if err := json.Unmarshal(payload, &e); err != nil {
			return eris.Wrap(err, "read event")
		}

		handle(e)

		return nil
	})
}

// ProcessStopping tells that this process stops.
func (b *Bus) ProcessStopping(e ProcessStopping) error {
	return b.publish(topicStopping, e)
}

// OnProcessStopping calls handle when this process stops. Set before Run.
func (b *Bus) OnProcessStopping(name string, handle func(ProcessStopping)) {
	b.addHandler(name, topicStopping, func(payload []byte) error {
		var e ProcessStopping
		if err := json.Unmarshal(payload, &e); err != nil {
			return eris.Wrap(err, "read event")
		}

		handle(e)

		return nil
	})
}

func (b *Bus) publish(topic string, e any) error {
	payload, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "write event")
	}

	return eris.Wrap(b.channel.Publish(topic, message.NewMessage(watermill.NewUUID(), payload)), "publish event")
}

func (b *Bus) addHandler(name, topic string, handle func(payload []byte) error) {
	b.router.AddConsumerHandler(name, topic, b.channel, func(m *message.Message) error {
		return handle(m.Payload)
	})
}
