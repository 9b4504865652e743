// Command standin plays the cases of the review. It starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for clients, servers and the operator, writes what
// was sent, answered and run to record.txt, and exits with 1 if the rule of the case was broken, 0 if
// it held, and 2 if the case could not run.
//
//	standin CASE FOLDER
//
// TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	codeHeld      = 0
	codeBroken    = 1
	codeCannotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

func main() {
	cases := map[string]func(*bed) bool{
		"leave-after-kill":       leaveAfterKill,
		"lost-after-replacement": lostAfterReplacement,
		"removed-control":        removedControl,
	}

	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(codeCannotRun)
	}

	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// cannotRun ends a case that cannot run.
type cannotRun struct{ why string }

// play plays one case and returns its exit code. All processes have ended when it returns.
func play(run func(*bed) bool, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return codeCannotRun
	}

	b := newBed(record, os.Getenv("TROUBLE") != "0")
	timeout := time.AfterFunc(maxDuration, func() {
		b.note("the case takes too long")
		b.close()
		os.Exit(codeCannotRun)
	})

	defer timeout.Stop()
	defer b.close()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}

			b.note("cannot run: %s", c.why)
			fmt.Println("cannot run:", c.why)

			code = codeCannotRun
		}
	}()

	if run(b) {
		b.note("RESULT: the rule is broken")
		fmt.Println("the rule is broken")

		return codeBroken
	}

	b.note("RESULT: the rule held")
	fmt.Println("the rule held")

	return codeHeld
}
