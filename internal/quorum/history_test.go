package quorum_test

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkHistory checks that the results of the clients' operations are linearizable. A
// command without an answer counts if it was ever applied, at the position at which it was
// applied.
func (w *simulation) checkHistory() porcupine.CheckResult {
	var ops []porcupine.Operation

	for _, o := range w.ops {
		ret := o.returnTime
		if position := w.positions[o.command]; ret == 0 && position != 0 {
			ret, o.position = w.logicalTime+1, position
		}

		if ret != 0 && o.command != "members" {
			ops = append(ops, porcupine.Operation{Input: o, Call: o.callTime, Return: ret})
		}
	}

	return porcupine.CheckOperationsTimeout(listModel(), ops, 2*time.Second)
}

// listState is the state of the linearizability model: the number of commands and the last
// command.
type listState struct {
	n    int
	last string
}

func listModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return listState{} },
		Step: func(state, input, _ any) (bool, any) {
			l, o := state.(listState), input.(*op)

			if o.command == "" {
				return o.position == l.n && o.value == l.last, l
			}

			return o.position == l.n+1, listState{n: l.n + 1, last: o.command}
		},
	}
}
