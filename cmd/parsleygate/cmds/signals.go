package cmds

import (
	"io"
	"os"
	"os/signal"
	"syscall"
)

// dumpOnSignal writes a dump to w on each SIGUSR1 until stop is called.
func dumpOnSignal(write func(io.Writer) error, w io.Writer) (stop func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})

	signal.Notify(signals, syscall.SIGUSR1)

	go func() {
		for {
			select {
			case <-signals:
				_ = write(w)
			case <-done:
				return
			}
		}
	}()

	return func() {
		signal.Stop(signals)
		close(done)
	}
}
