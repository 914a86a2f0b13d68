// Command simhost connects falldeal's admission controller to the simulator. It runs one controller per simulated
// node, reads batches of events from standard input, and replies to each batch on standard output with the actions of
// the nodes that the batch is about.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
