package faults

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// relayTest is a relay between two processes, n0 and n1, that the test simulates: n0 sends and n1 receives.
type relayTest struct {
	*Relay
	octet    int // second octet of all addresses, which differs between concurrent test runs
	sender   *net.UDPConn
	receiver net.PacketConn
}

func newRelayTest(t *testing.T) *relayTest {
	t.Helper()
	test := &relayTest{Relay: NewRelay(1), octet: 16 + os.Getpid()%200}
	t.Cleanup(test.Close)
	for i := range 2 {
		require.NoError(t, test.Add(t.Context(), fmt.Sprint("n", i), test.advertised(i), test.real(i)))
	}
	senderAddr, err := net.ResolveUDPAddr("udp", test.real(0))
	require.NoError(t, err)
	test.sender, err = net.ListenUDP("udp", senderAddr)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, test.sender.Close()) })
	test.receiver, err = (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", test.real(1))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, test.receiver.Close()) })
	return test
}

func (r *relayTest) advertised(i int) string { return fmt.Sprintf("127.%d.250.%d:7946", r.octet, i+1) }
func (r *relayTest) real(i int) string       { return fmt.Sprintf("127.%d.251.%d:7946", r.octet, i+1) }

// send sends a datagram from n0 to n1.
func (r *relayTest) send(t *testing.T, text string) {
	t.Helper()
	target, err := net.ResolveUDPAddr("udp", r.advertised(1))
	require.NoError(t, err)
	_, err = r.sender.WriteTo([]byte(text), target)
	require.NoError(t, err)
}

// receive returns the next datagram that arrives at n1.
func (r *relayTest) receive(t *testing.T) string {
	t.Helper()
	buffer := make([]byte, 10)
	n, _, err := r.receiver.ReadFrom(buffer)
	require.NoError(t, err)
	return string(buffer[:n])
}

// dial opens a stream from n0 to n1.
func (r *relayTest) dial(timeout time.Duration) (net.Conn, error) {
	local := &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.251.1", r.octet))}
	return (&net.Dialer{Timeout: timeout, LocalAddr: local}).Dial("tcp", r.advertised(1))
}

// requireReset opens a stream, which must be reset during the dial or right after it.
func (r *relayTest) requireReset(t *testing.T) {
	t.Helper()
	conn, err := r.dial(time.Minute)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// acceptStreams accepts streams as n1 and writes "welcome" to each.
func (r *relayTest) acceptStreams(t *testing.T) {
	t.Helper()
	ln := loopback.ListenAt(t, r.real(1))
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			_, _ = conn.Write([]byte("welcome"))
			conn.Close()
		}
	}()
}

// partitionBack returns the rules of a one-way partition from n1 to n0.
func partitionBack(from, to string) Rule { return Rule{Partition: from == "n1" && to == "n0"} }

// A datagram must arrive if there is no fault, and also during a partition of the opposite direction. A duplicated
// datagram must arrive twice.
func TestRelayForwardsAndDuplicatesDatagrams(t *testing.T) {
	relay := newRelayTest(t)
	relay.send(t, "hello")
	require.Equal(t, "hello", relay.receive(t))

	require.NoError(t, relay.SetRules(partitionBack))
	relay.send(t, "there")
	require.Equal(t, "there", relay.receive(t))

	duplicate := Rule{DuplicateRatio: 1, Delay: time.Millisecond}
	require.NoError(t, relay.SetRules(func(string, string) Rule { return duplicate }))
	relay.send(t, "twice")
	require.Equal(t, "twice", relay.receive(t))
	require.Equal(t, "twice", relay.receive(t))
}

// A stream must be reset if the process is not running or a rule resets it, and time out through a partition in
// either direction. Without such a fault it must carry all data.
func TestRelayResetsAndPartitionsStreams(t *testing.T) {
	relay := newRelayTest(t)
	relay.requireReset(t) // n1 does not accept streams yet
	relay.acceptStreams(t)

	require.NoError(t, relay.SetRules(partitionBack))
	_, err := relay.dial(200 * time.Millisecond)
	require.True(t, os.IsTimeout(err), "%v", err)

	require.NoError(t, relay.SetRules(func(string, string) Rule { return Rule{Delay: time.Millisecond} }))
	conn, err := relay.dial(time.Minute)
	require.NoError(t, err)
	defer conn.Close()
	buffer := make([]byte, 10)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "welcome", string(buffer[:n]))

	require.NoError(t, relay.SetRules(func(string, string) Rule { return Rule{Reset: true} }))
	relay.requireReset(t)
}
