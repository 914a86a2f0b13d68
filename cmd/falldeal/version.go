package main

import (
	"fmt"
	"io"
	"runtime"
)

// version is set by the linker in a release build.
var version = "dev"

func printVersion(out io.Writer) {
	fmt.Fprintln(out, "falldeal", version, runtime.Version())
}
