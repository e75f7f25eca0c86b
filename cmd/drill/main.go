// Drill hosts many directors' decisions on the bench's wire: batches on standard input,
// replies on standard output.
package main

import (
	"fmt"
	"os"

	"indigochute.example/indigochute/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
