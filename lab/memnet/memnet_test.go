package memnet

import (
	"io"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	first  = "10.0.0.1:7946"
	second = "10.0.0.2:7946"
)

// received returns the number of packets that have arrived at a host.
func received(h *Host) (n int) {
	for {
		select {
		case <-h.PacketCh():
			n++
		default:
			return n
		}
	}
}

// A packet must arrive, be lost, be duplicated and be delayed as the rule requires.
func TestPacketsFollowRule(t *testing.T) {
	for name, testCase := range map[string]struct {
		fault Fault
		want  int // copies of a packet
	}{
		"no fault":       {Fault{}, 1},
		"partition":      {Fault{Partition: true}, 0},
		"loss":           {Fault{LossRatio: 1}, 0},
		"duplicate":      {Fault{DuplicateRatio: 1}, 2},
		"delay in time":  {Fault{Delay: time.Second, Jitter: time.Second}, 1},
		"delay too long": {Fault{Delay: time.Hour}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := New(1)
				from, to := network.Host(first), network.Host(second)
				network.SetRule(func(string, string) Fault { return testCase.fault })
				_, err := from.WriteTo([]byte("hello"), second)
				require.NoError(t, err)
				time.Sleep(time.Minute)
				require.Equal(t, testCase.want, received(to))
			})
		})
	}
}

// A stream must carry data, and reads from it at a host that is killed must fail with a connection reset. A dial must
// time out through a partition, and be refused if the host is down.
func TestStreamsEndWithHostAndTimeOutInPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(1)
		from, to := network.Host(first), network.Host(second)
		dialed, err := from.DialTimeout(second, time.Second)
		require.NoError(t, err)
		accepted := <-to.StreamCh()
		require.Equal(t, first, accepted.RemoteAddr().String())
		go func() { _, _ = dialed.Write([]byte("hello")) }()
		buffer := make([]byte, 5)
		_, err = io.ReadFull(accepted, buffer)
		require.NoError(t, err)
		require.Equal(t, "hello", string(buffer))

		network.SetRule(func(from, _ string) Fault { return Fault{Partition: from == second} })
		_, err = from.DialTimeout(second, time.Second)
		require.True(t, os.IsTimeout(err), "%v", err)

		network.SetRule(func(string, string) Fault { return Fault{} })
		to.Kill()
		_, err = accepted.Read(buffer)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = from.DialTimeout(second, time.Second)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}
