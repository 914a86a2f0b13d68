// Command 6 is the case of a replacement during which bad clients come: orders run in both processes.
package main

import (
	"sync"
	"syscall"
	"time"

	"falldeal/review/peers"
)

const (
	order      = "licence-order"
	orderGap   = 70 * time.Millisecond  // between two orders
	shortRun   = 40 * time.Millisecond  // of two runs in three
	longRun    = 900 * time.Millisecond // of the others
	tryWait    = 480 * time.Millisecond // the front end waits that long for a try
	quiet      = time.Second            // before the bad clients
	badClients = 40
	badFor     = 3 * time.Second         // from before the successor's start on
	readyFor   = 4 * time.Second         // from the successor's yes to SIGTERM
	stopAfter  = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s and 0.7 s
	lastTries  = 1500 * time.Millisecond
)

func main() { peers.Main(func(*peers.Play) {}, play) }

// work says how long a run takes, by the first digit of its id.
func work(id, _ string) time.Duration {
	if id[0] < '5' {
		return longRun
	}
	return shortRun
}

func play(stage *peers.Play) error {
	_, agentAt, err := stage.NewAgent(work)
	if err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	old, err := stage.StartInherited(agentAt)
	if err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	stopLoad := startLoad(stage)
	time.Sleep(quiet)
	if stage.Trouble {
		bad := &peers.BadClients{Record: stage.Record, Address: stage.At.Listen, Class: order, Keyed: true,
			Wait: 20 * time.Millisecond, AtOnce: 32, Each: 1000}
		bad.Start(badClients)
		time.AfterFunc(badFor, bad.Stop)
		time.Sleep(quiet / 2)
	}
	if err := replace(stage, old); err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	time.Sleep(lastTries)
	stopLoad()
	stage.CopyLogs("cessor", "drain started")
	return nil
}

// replace starts the successor, and ends the old process as the platform does.
func replace(stage *peers.Play, old *peers.Server) error {
	_, agentAt, err := stage.NewAgent(work)
	if err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	if _, err := stage.StartInherited(agentAt); err != nil {
		return err //nolint:wrapcheck // it says what failed
	}
	stage.Record.Add("the successor has said yes")
	time.Sleep(readyFor)
	stage.Record.Add("SIGTERM to the old process")
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.Ended():
		stage.Record.Add("the old process has ended: %v", old.ExitError())
	case <-time.After(stopAfter):
		stage.Record.Add("SIGKILL to the old process")
		old.Kill()
	}
	return nil
}

// startLoad sends orders until the returned function is called, which waits for their last answers.
func startLoad(stage *peers.Play) (stop func()) {
	front := &peers.FrontEnd{Record: stage.Record, Book: stage.Book, Address: stage.At.Listen, Number: 1}
	stopped := make(chan struct{})
	var orders sync.WaitGroup
	orders.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(orderGap):
				orders.Go(func() { sendOrder(stage, front) })
			}
		}
	})
	return func() {
		close(stopped)
		orders.Wait()
		front.Close()
	}
}

// sendOrder sends the tries of one order: the first on a connection that is open, the others on new ones, until one is
// served.
func sendOrder(stage *peers.Play, front *peers.FrontEnd) {
	const tries = 4
	key := peers.NewID(16)
	for number := range tries {
		try := stage.Book.NewTry(order, key, tryWait)
		if number == 0 {
			if front.Send(try) != nil {
				return
			}
		} else {
			conn, err := front.Dial()
			if err != nil || conn.Send(try) != nil {
				return
			}
			defer conn.Close()
		}
		<-try.Done()
		if try.Kind == peers.Served {
			return
		}
	}
}
