package peers

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const loopback = "127.0.0.1:0"

func encode64(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

func decode64(text string) string {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return "not base64: " + text
	}
	return string(data)
}

// serveTCP accepts connections until stop is called, which also ends the connections.
func serveTCP(address string, serve func(net.Conn)) (at string, stop func(), err error) {
	if address == "" {
		address = loopback
	}
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", address)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[conn] = true
			mu.Unlock()
			go func() {
				serve(conn)
				_ = conn.Close()
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			}()
		}
	}()
	return ln.Addr().String(), func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			_ = conn.Close()
		}
	}, nil
}

// Announce listens for the reports of image servers and keeps the last one.
type Announce struct {
	mu   sync.Mutex
	last string
	at   time.Time
}

// Serve listens at a free address and returns it.
func (a *Announce) Serve() (string, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", loopback)
	if err != nil {
		return "", fmt.Errorf("announce: %w", err)
	}
	go func() {
		buffer := make([]byte, 512)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			a.mu.Lock()
			a.last, a.at = string(buffer[:n]), time.Now()
			a.mu.Unlock()
		}
	}()
	return conn.LocalAddr().String(), nil
}

// Last returns the last report.
func (a *Announce) Last() (string, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.at
}

// Store is a store. It answers each call at once, and well.
type Store struct {
	Record *Record
	Book   *Book
}

// Serve listens at a free address, or at address, and returns the address.
func (s *Store) Serve(address string) (string, func(), error) { return serveTCP(address, s.serveConn) }

func (s *Store) serveConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "DROP ") {
			continue
		}
		var id string
		var wait, length int
		if _, err := fmt.Sscanf(line, "CALL %s %d %d", &id, &wait, &length); err != nil {
			return
		}
		body := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		s.answer(conn, id, string(body[:length]))
	}
}

func (s *Store) answer(conn net.Conn, id, body string) {
	s.Record.Add("store: %.60s", body)
	if !strings.Contains(body, " for "+id) {
		s.Book.breakRule("lost", "call of %s was changed: %.60q", id, body)
	}
	reply := s.Book.reply(body)
	fmt.Fprintf(conn, "%s OK %d\r\n%s\r\n", id, len(reply), reply)
}
