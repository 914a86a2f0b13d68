package main

import (
	"fmt"
	"io"
)

// printCheckSummary prints a summary of the configuration and the operators' file, which newMember has validated.
func printCheckSummary(checked *member, out io.Writer) {
	conf := checked.config
	fmt.Fprintf(out, "configuration of %s is valid: %d classes, listening on %s\n",
		conf.Name, len(conf.Classes), conf.Listen)
	if table := checked.operators.Fleet; table != nil {
		fmt.Fprintf(out, "fleet: reached at %s in zone %s of %s, %d seeds, %d keys\n",
			table.Advertise, table.Zone, table.Region, len(table.Seeds), len(table.Keys))
	}
}
