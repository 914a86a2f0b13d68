package main

import (
	"time"

	"falldeal/internal/console"
)

// stallPage returns the console page that blocks the server's event loop for d. The page calls stall, which returns false
// if the loop accepts no more tasks, because it is already blocked or overloaded.
func stallPage(d time.Duration, stall func() bool) console.Page {
	return console.Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Body: func() []byte {
		if !stall() {
			return []byte("event loop already stalled\n")
		}
		return []byte("event loop stalled for " + d.String() + "\n")
	}}
}
