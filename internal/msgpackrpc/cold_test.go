package msgpackrpc

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server starts cold into a full storm, and its agent comes up late: what is read before that is refused at
// once, so that front ends can go elsewhere, and its connections go on once the agent is there. Then no more runs
// than the crowd that a cold server survives, and all that was read is answered.
func TestColdIntoAStorm(t *testing.T) {
	const fronts, each = 20, maxOpen
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	p := startLate(t, ln, "", `"ColdUs": 18000000`, `"ColdUs": 18000000000`) // it stays cold
	p.expect("subscribe", "")
	all := make([]*front, fronts)
	for i := range all {
		all[i] = p.dial()
		for range each {
			all[i].send("hires-crop", "x")
		}
	}
	for _, f := range all {
		for call := range each {
			f.expectAnswer(call+1, errRefused)
		}
	}
	require.Empty(t, p.commands)
	p.greet <- "booting"
	p.quiet()
	for _, f := range all {
		for range each {
			f.send("hires-crop", "x")
		}
	}
	// Cores that look idle have more run, up to the crowd that a cold server survives: four fifths of 2 a core on
	// 6 of them, and one. A warm server takes 13 by then.
	for range 20 {
		await(p, p.samples, "sample")
	}
	require.LessOrEqual(t, len(p.commands), 10)

	// Then the agent works. Each front end gets its answers in some order.
	answers := make(chan string)
	for _, f := range all {
		go func() {
			for n := 0; n < each; {
				v, err := f.in.next()
				if err != nil {
					answers <- err.Error()
					return
				}
				list := v.(arrayValue)
				if list[0] != int64(kindAnswer) {
					continue // it may be told to go once it is idle
				}
				n++
				if fault, failed := list[2].(arrayValue); failed {
					answers <- fmt.Sprint(fault[0])
				} else {
					answers <- "served"
				}
			}
		}()
	}
	got, ran := map[string]int{}, 0
	for got["served"]+got[errRefused]+got[errFailed] < fronts*each {
		select {
		case c := <-p.commands:
			require.Equal(t, "launch", c.Cmd)
			ran++
			p.tell("outcome", c.Req, "success", []byte("x"))
		case word := <-answers:
			require.Contains(t, []string{"served", errRefused, errFailed}, word)
			got[word]++
		case <-time.After(patience):
			t.Fatalf("no more answers: %v", got)
		}
	}
	require.Equal(t, ran, got["served"], "%v", got)
	require.Positive(t, ran)
}
