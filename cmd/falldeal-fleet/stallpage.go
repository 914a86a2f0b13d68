package main

import (
	"time"

	"falldeal/internal/console"
)

// stallPage returns the console's call that has the server's event loop stall for d, by stall, which reports whether it
// does.
func stallPage(d time.Duration, stall func() bool) console.Page {
	return console.Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Body: func() []byte {
		if !stall() {
			return []byte("event loop already stalled\n")
		}
		return []byte("event loop stalled for " + d.String() + "\n")
	}}
}
