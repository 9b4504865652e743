package quorum_test

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// history checks that what clients saw is what one copy would have shown them.
// A command without an answer counts if it was ever applied, at its place then.
func (w *world) history() porcupine.CheckResult {
	var ops []porcupine.Operation

	for _, o := range w.ops {
		ret := o.ret
		if place := w.places[o.command]; ret == 0 && place != 0 {
			ret, o.place = w.tick+1, place
		}

		if ret != 0 && o.command != "members" {
			ops = append(ops, porcupine.Operation{Input: o, Call: o.call, Return: ret})
		}
	}

	return porcupine.CheckOperationsTimeout(listModel(), ops, 2*time.Second)
}

// list is one copy of the state: the number of commands, and the last one.
type list struct {
	n    int
	last string
}

func listModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return list{} },
		Step: func(state, input, _ any) (bool, any) {
			l, o := state.(list), input.(*op)

			if o.command == "" {
				return o.place == l.n && o.value == l.last, l
			}

			return o.place == l.n+1, list{n: l.n + 1, last: o.command}
		},
	}
}
