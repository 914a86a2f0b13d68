package main

import (
	"fmt"
	"io"
)

// check prints a summary of the files that a member was made from, which have no fault.
func check(checked *member, out io.Writer) {
	conf := checked.config
	fmt.Fprintf(out, "configuration of %s is valid: %d classes, listening on %s\n",
		conf.Name, len(conf.Classes), conf.Listen)
	if table := checked.operators.Fleet; table != nil {
		fmt.Fprintf(out, "fleet: reached at %s in zone %s of %s, %d seeds, %d keys\n",
			table.Advertise, table.Zone, table.Region, len(table.Seeds), len(table.Keys))
	}
}
