package main

import (
	"time"

	"falldeal/internal/console"
)

// stallPage returns the console page that blocks the server's event loop for d. Stall starts that and returns false
// if the loop is already blocked.
func stallPage(d time.Duration, stall func() bool) console.Page {
	return console.Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Body: func() []byte {
		if !stall() {
			return []byte("event loop already stalled\n")
		}
		return []byte("event loop stalled for " + d.String() + "\n")
	}}
}
