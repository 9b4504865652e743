package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(b *bed, trouble bool) bool{
	"evacuation": lateWithdrawal,
	"drain":      lostDrain,
	"map":        reusedVersion,
	"foreign":    foreignWriter,
	"service":    otherService,
	"member":     outdatedMember,
	"leaver":     withoutSuccessor, // no case of its own
}

// longestRun is less than the 120 seconds that a case may take.
const longestRun = 110 * time.Second

func main() {
	os.Exit(play())
}

func play() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")

		return 2
	}

	trouble := os.Getenv("TROUBLE") != "0"

	var b *bed

	defer func() {
		if b != nil {
			b.close()
		}
	}()
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}

			fmt.Println("cannot run:", c.reason)

			if b != nil {
				b.note("the case cannot run: %s", c.reason)
			}

			status = 2
		}
	}()

	b = newBed(os.Args[2])

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)

	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
			b.note("the case cannot run: it takes too long")
		}

		b.close()
		os.Exit(2)
	}()

	if broken := cases[os.Args[1]](b, trouble); broken {
		b.note("verdict: the rule was broken")
		fmt.Println("broken")

		return 1
	}

	b.note("verdict: the rule held")
	fmt.Println("held")

	return 0
}
