// Package hangup receives the signal SIGHUP from the initialization of the program on, as it ends a process that does
// not handle it: settings may change while a program starts. The package imports no other one of the project, so that
// it is initialized before the larger ones.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received is created when the package is initialized. It holds one signal that nobody has read.
var received = notify()

func notify() chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// Received returns the channel on which the program receives SIGHUP. Signals that arrive before the last one is read are
// merged.
func Received() <-chan os.Signal { return received }
