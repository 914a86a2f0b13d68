package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Store is a stand-in of the store. The fields are set before Serve.
type Store struct {
	Record  *Record
	Latency func() time.Duration
	Reply   func(body []byte) []byte
	Stays   time.Duration // how long an abandoned call remains in the store's hands
	OnHeld  func(delta int)

	listener net.Listener
	mu       sync.Mutex
	calls    map[string]*storeCall // that have no reply yet, by request
	links    map[net.Conn]bool
}

// storeCall is a call in the store's hands.
type storeCall struct {
	id       string
	link     net.Conn
	body     []byte
	over     bool // replied to, or given up
	released bool
}

// Serve starts the store on a free port.
func (s *Store) Serve() {
	s.listener = Listen()
	s.calls = map[string]*storeCall{}
	s.links = map[net.Conn]bool{}
	go accept(s.listener, s.handleLink)
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	if s.listener == nil {
		return // it never served
	}
	closeQuietly(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		closeQuietly(link)
	}
}

func (s *Store) handleLink(link net.Conn) {
	s.mu.Lock()
	s.links[link] = true
	s.mu.Unlock()
	defer s.endLink(link)
	lines := bufio.NewReader(link)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var id string
		var limitMillis, length int
		if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &limitMillis, &length); err == nil {
			body := make([]byte, length+len("\r\n"))
			if _, err := io.ReadFull(lines, body); err != nil {
				return
			}
			s.call(link, id, time.Duration(limitMillis)*time.Millisecond, body[:length])
		} else if _, err := fmt.Sscanf(line, "DROP %s\r\n", &id); err == nil {
			s.drop(id)
		}
	}
}

// endLink gives up all calls of a connection that has ended.
func (s *Store) endLink(link net.Conn) {
	closeQuietly(link)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
	for _, held := range s.calls {
		if held.link == link {
			s.giveUp(held)
		}
	}
}

func (s *Store) call(link net.Conn, id string, limit time.Duration, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if former := s.calls[id]; former != nil {
		s.giveUp(former) // a second call for a request gives up the first
	}
	held := &storeCall{id: id, link: link, body: body}
	s.calls[id] = held
	s.Record.Add("store: CALL %s, at most %v, %q", id, limit, body)
	s.hold(1)
	latency := s.Latency()
	word := "OK"
	if latency > limit {
		latency = limit
		word = "LATE"
	}
	time.AfterFunc(latency, func() { s.reply(held, word) })
}

func (s *Store) reply(held *storeCall, word string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.over {
		return
	}
	held.over = true
	delete(s.calls, held.id)
	s.release(held)
	if word != "OK" {
		s.Record.Add("store: %s %s", held.id, word)
		fmt.Fprintf(held.link, "%s %s\r\n", held.id, word)
		return
	}
	reply := s.Reply(held.body)
	s.Record.Add("store: %s OK %q", held.id, reply)
	fmt.Fprintf(held.link, "%s OK %d\r\n%s\r\n", held.id, len(reply), reply)
}

func (s *Store) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.calls[id]; held != nil {
		s.giveUp(held)
	}
}

// giveUp ends a call that gets no reply. It remains in the store's hands for a while.
func (s *Store) giveUp(held *storeCall) {
	if held.over {
		return
	}
	held.over = true
	delete(s.calls, held.id)
	s.Record.Add("store: %s given up", held.id)
	time.AfterFunc(s.Stays, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(held)
	})
}

func (s *Store) release(held *storeCall) {
	if !held.released {
		held.released = true
		s.hold(-1)
	}
}

func (s *Store) hold(delta int) {
	if s.OnHeld != nil {
		s.OnHeld(delta)
	}
}
