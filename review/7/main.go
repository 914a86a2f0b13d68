// Command 7 is the case of bad clients that repeat what is turned away, until the image server is over its memory.
package main

import (
	"sync"
	"syscall"
	"time"

	"falldeal/review/peers"
)

const (
	read       = "hires-crop"
	memoryMB   = 32 // the least of the pages
	sockets    = 384
	readGap    = 50 * time.Millisecond // between two requests of the front end
	readWork   = 100 * time.Millisecond
	readWait   = 2 * time.Second
	quiet      = 2 * time.Second // before the bad clients
	badClients = 10
	badWait    = 5 * time.Second // the front ends of the class wait 5.8 s at most
	badFor     = 25 * time.Second
	lookEvery  = 20 * time.Millisecond // at the memory
)

func main() {
	peers.Main(func(stage *peers.Play) {
		stage.Settings.MemoryMB = memoryMB
		stage.Settings.Sockets = sockets
	}, play)
}

func play(stage *peers.Play) error {
	_, agentAt, err := stage.NewAgent(func(string, string) time.Duration { return readWork })
	if err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	server, err := stage.Start(agentAt)
	if err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	stopLoad := startLoad(stage)
	end := time.Now().Add(quiet + badFor)
	bad := &peers.BadClients{Record: stage.Record, Address: stage.At.Listen, Class: read, Wait: badWait, AtOnce: 32,
		Each: 1 << 30}
	if stage.Trouble {
		time.AfterFunc(quiet, func() { bad.Start(badClients) })
	}
	watchMemory(stage, server, end)
	bad.Stop()
	stopLoad()
	return nil
}

// watchMemory does what the platform does: an image server that goes over its memory is killed.
func watchMemory(stage *peers.Play, server *peers.Server, end time.Time) {
	most, told := 0, time.Now()
	for ; time.Now().Before(end); time.Sleep(lookEvery) {
		most = max(most, server.ResidentKB())
		if most > memoryMB<<10 {
			stage.Book.BreakRule("fall-over", "the image server uses %d KB of %d KB and is killed", most, memoryMB<<10)
			server.Signal(syscall.SIGKILL)
			return
		}
		if time.Since(told) > time.Second {
			told = time.Now()
			stage.Record.Add("memory: %d KB at most so far", most)
		}
	}
	stage.Record.Add("memory: %d KB at most", most)
}

// startLoad sends requests until the returned function is called, which waits for their last answers.
func startLoad(stage *peers.Play) (stop func()) {
	front := &peers.FrontEnd{Record: stage.Record, Book: stage.Book, Address: stage.At.Listen, Number: 1}
	stopped := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(readGap):
				try := stage.Book.NewTry(read, "", readWait)
				if front.Send(try) != nil {
					return
				}
				load.Go(func() { <-try.Done() })
			}
		}
	})
	return func() {
		close(stopped)
		load.Wait()
		front.Close()
	}
}
