// Package pins keeps the chosen libraries in go.mod while their users are being written.
package pins

import ( // each import below keeps its module in go.mod
	_ "github.com/HdrHistogram/hdrhistogram-go"             // pinned
	_ "github.com/ThreeDotsLabs/watermill"                  // pinned
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel" // pinned
	_ "github.com/anishathalye/porcupine"                   // pinned
	_ "github.com/cenkalti/backoff/v5"                      // pinned
	_ "github.com/cespare/xxhash/v2"                        // pinned
	_ "github.com/cockroachdb/datadriven"                   // pinned
	_ "github.com/go-chi/chi/v5"                            // pinned
	_ "github.com/google/uuid"                              // pinned
	_ "github.com/rcrowley/go-metrics"                      // pinned
	_ "github.com/rotisserie/eris"                          // pinned
	_ "github.com/spf13/cobra"                              // pinned
	_ "github.com/spf13/cobra/doc"                          // pinned
	_ "github.com/twitchtv/twirp"                           // pinned
	_ "go.uber.org/goleak"                                  // pinned
	_ "golang.org/x/sync/errgroup"                          // pinned
	_ "golang.org/x/time/rate"                              // pinned
	_ "gopkg.in/ini.v1"                                     // pinned
	_ "pgregory.net/rapid"                                  // pinned
)
