package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a store. Its fields are set before Serve.
type Store struct {
	Delay time.Duration                       // from a call to its reply
	Reply func(id string, body []byte) string // the word of the reply; nil: OK with the body

	calls atomic.Int64
}

// Calls is how many calls were read.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until ln is closed.
func (s *Store) Serve(ln net.Listener) error { return accept(ln, s.read) }

func (s *Store) read(nc net.Conn) {
	defer nc.Close()
	var mu sync.Mutex // of the writing side
	in := bufio.NewReader(nc)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var id string
		var wait, length int
		if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &wait, &length); err != nil {
			continue // DROP: the reply that still comes is for nobody
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		s.calls.Add(1)
		answer := func() {
			mu.Lock()
			defer mu.Unlock()
			word := "OK"
			if s.Reply != nil {
				word = s.Reply(id, body[:length])
			}
			if word == "OK" {
				fmt.Fprintf(nc, "%s OK %d\r\n%s", id, length, body)
			} else {
				fmt.Fprintf(nc, "%s %s\r\n", id, word)
			}
		}
		if s.Delay > 0 {
			time.AfterFunc(s.Delay, answer)
		} else {
			answer()
		}
	}
}
