// Command costs splits CPU profiles of an image server by the part of the server's work that the time was spent on.
//
//	go run ./lab/costs PROFILE...
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/pprof/profile"
)

func main() {
	for _, path := range os.Args[1:] {
		if err := report(os.Stdout, path); err != nil {
			fmt.Fprintln(os.Stderr, "costs:", err)
			os.Exit(1)
		}
	}
}

// report prints the split of the profile in a file.
func report(w io.Writer, path string) error {
	file, err := os.Open(path) //nolint:gosec // the user names the file
	if err != nil {
		return fmt.Errorf("open profile: %w", err)
	}
	defer func() { _ = file.Close() }() // the file is only read
	parsed, err := profile.Parse(file)
	if err != nil {
		return fmt.Errorf("parse profile %s: %w", path, err)
	}
	cpuTimes, total := splitByPart(parsed)
	fmt.Fprintf(w, "%s: %.2f s of CPU time\n", path, total.Seconds())
	for i := range parts {
		printRow(w, parts[i].name, cpuTimes, total)
	}
	printRow(w, otherPart, cpuTimes, total)
	return nil
}

// splitByPart returns the CPU time of each part and the total.
func splitByPart(parsed *profile.Profile) (cpuTimes map[string]time.Duration, total time.Duration) {
	cpuTimes = map[string]time.Duration{}
	for _, sample := range parsed.Sample {
		cpu := time.Duration(sample.Value[len(sample.Value)-1]) // the last value of a CPU profile is in ns
		cpuTimes[partOf(sample)] += cpu
		total += cpu
	}
	return cpuTimes, total
}

// printRow prints the percentage of a part. It prints nothing if the part has no CPU time.
func printRow(w io.Writer, name string, cpuTimes map[string]time.Duration, total time.Duration) {
	if cpuTimes[name] > 0 {
		fmt.Fprintf(w, "  %-28s %5.1f%%\n", name, 100*float64(cpuTimes[name])/float64(total))
	}
}
