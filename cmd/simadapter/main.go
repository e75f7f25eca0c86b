// Simadapter connects the simulator to the routing decisions of many directors. It reads the simulator's events from standard input and
// writes the resulting actions to standard output. It exits with 0 at the end of the input, and with 1 after a malformed frame or a failed
// write. Its errors start with drill, the former name of the program, because this prefix must not change.
package main

import (
	"fmt"
	"os"

	"indigochute.example/indigochute/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
