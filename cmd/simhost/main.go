// Command simhost runs falldeal's admission decisions on the simulator's pipe: it hosts one controller for each node,
// reads batches of events from standard input and answers each with the actions of the nodes concerned.
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
