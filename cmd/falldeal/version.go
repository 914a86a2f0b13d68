package main

import (
	"fmt"
	"io"
	"runtime"
)

// version is set by the linker when a release is built.
var version = "dev"

func printVersion(out io.Writer) {
	fmt.Fprintln(out, "falldeal", version, runtime.Version())
}
