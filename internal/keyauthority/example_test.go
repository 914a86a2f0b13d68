package keyauthority_test

import (
	"fmt"
	"time"

	"falldeal/internal/keyauthority"
)

// The link to the predecessor ends while that continues to run. Unknown keys fail until it has exited and the windows of all
// requests that it may have run have ended.
func Example() {
	const window = 5 * time.Second
	var authority keyauthority.Authority
	now := time.Duration(0)
	show := func(event string) { fmt.Printf("%v %s: %v\n", now, event, authority.Decide()) }
	authority.PredecessorJoined()
	show("linked")
	authority.PredecessorLinkEnded(now)
	authority.Observe(now, true, window)
	show("link ended")
	now += time.Second
	authority.Observe(now, true, window)
	show("still alive")
	now += time.Second
	authority.Observe(now, false, window)
	show("exited")
	now += window
	authority.Observe(now, false, window)
	show("windows ended")
	// Output:
	// 0s linked: claim
	// 0s link ended: hold
	// 1s still alive: fail
	// 2s exited: fail
	// 7s windows ended: run
}
