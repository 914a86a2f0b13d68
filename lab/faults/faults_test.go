package faults

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testLocations = []Location{{"n0", "a", "r"}, {"n1", "b", "r"}, {"n2", "a", "r"}}

func TestParseRejectsInvalidScripts(t *testing.T) {
	for want, text := range map[string]string{
		"fault[0].kind: \"flood\"":        `kind = "flood"`,
		"fault[0].who: nobody is \"n9\"":  "kind = \"kill\"\nwho = \"n9\"",
		"fault[0].who: nobody is \"\"":    `kind = "cut"`,
		"fault[0].to: nobody is":          "kind = \"cut\"\nwho = \"n0\"\nto = \"zone:c\"",
		"fault[0].at: \"soon\"":           "kind = \"kill\"\nwho = \"n0\"\nat = \"soon\"",
		"fault[0].share: 0":               "kind = \"loss\"\nwho = \"*\"",
		"fault[0].for: a process that is": "kind = \"stop\"\nwho = \"n0\"",
		"fault[0].to: a fault of a":       "kind = \"kill\"\nwho = \"n0\"\nto = \"n1\"",
		"fault[0].delay: missing":         "kind = \"delay\"\nwho = \"n0\"",
		"fault[0].rate":                   "kind = \"slow\"\nwho = \"n0\"",
		"strength":                        "kind = \"cut\"\nwho = \"n0\"\nstrength = 1",
	} {
		_, err := Parse([]byte("[[fault]]\n"+text), testLocations)
		require.ErrorContains(t, err, want)
	}
}

// A zone that is cut off is whole in itself; faults over one another add up; and each ends with its time.
func TestRulesAt(t *testing.T) {
	script, err := Parse([]byte(`
[[fault]]
kind = "cut"
who = "zone:a"
for = "5s"
[[fault]]
kind = "cut"
who = "n1"
to = "n0"
one_way = true
at = "6s"
for = "1s"
[[fault]]
kind = "loss"
who = "*"
share = 0.5
at = "6s"
[[fault]]
kind = "loss"
who = "n0"
to = "n2"
share = 0.5
at = "7s"
`), testLocations)
	require.NoError(t, err)
	at := func(now time.Duration, from, to string) Rule { return script.RulesAt(now)(from, to) }
	require.True(t, at(0, "n0", "n1").Partition)
	require.True(t, at(0, "n1", "n0").Partition)
	require.False(t, at(0, "n0", "n2").Partition)
	require.False(t, at(5*time.Second, "n0", "n1").Partition)
	require.True(t, at(6*time.Second, "n1", "n0").Partition)
	require.False(t, at(6*time.Second, "n0", "n1").Partition)
	require.Equal(t, 0.5, at(8*time.Second, "n0", "n1").LossRatio)
	require.Equal(t, 0.75, at(8*time.Second, "n2", "n0").LossRatio)
	require.Zero(t, at(0, "n0", "stranger"))
}

// Through the relay, what passes comes whole; a call over a cut does not connect; one way only, the other still comes;
// and a process that is not there resets.
func TestRelay(t *testing.T) {
	relay := NewRelay(1)
	defer relay.Close()
	octet := 16 + os.Getpid()%200
	at := func(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d:7946", octet, kind, n) }
	for i := range 2 {
		require.NoError(t, relay.Add(fmt.Sprint("n", i), at(250, i+1), at(251, i+1)))
	}
	senderAddr := &net.UDPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.251.1", octet)), Port: 7946}
	sender, err := net.ListenUDP("udp", senderAddr)
	require.NoError(t, err)
	defer sender.Close()
	targetAddr, err := net.ResolveUDPAddr("udp", at(250, 2))
	require.NoError(t, err)
	receiver, err := net.ListenPacket("udp", at(251, 2))
	require.NoError(t, err)
	defer receiver.Close()
	buffer := make([]byte, 10)
	relayed := func(word string) string {
		_, err := sender.WriteTo([]byte(word), targetAddr)
		require.NoError(t, err)
		n, _, err := receiver.ReadFrom(buffer)
		require.NoError(t, err)
		return string(buffer[:n])
	}
	require.Equal(t, "hello", relayed("hello"))

	dial := func(timeout time.Duration) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: senderAddr.IP}}).Dial("tcp", at(250, 2))
	}
	requireReset := func() { // while it connects, or as soon as it has
		conn, err := dial(time.Minute)
		if err == nil {
			_, err = conn.Read(buffer)
			conn.Close()
		}
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	requireReset() // nobody listens
	ln, err := net.Listen("tcp", at(251, 2))
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Write([]byte("welcome"))
			c.Close()
		}
	}()
	partition := func(senderAddr, targetAddr string) Rule {
		return Rule{Partition: senderAddr == "n1" && targetAddr == "n0"}
	} // the way back only
	require.NoError(t, relay.SetRules(partition))
	require.Equal(t, "there", relayed("there"))
	_, err = dial(200 * time.Millisecond)
	require.True(t, os.IsTimeout(err), "%v", err)
	require.NoError(t, relay.SetRules(func(string, string) Rule { return Rule{DuplicateRatio: 1, Delay: time.Millisecond} }))
	require.Equal(t, "twice", relayed("twice"))
	n, _, err := receiver.ReadFrom(buffer)
	require.NoError(t, err)
	require.Equal(t, "twice", string(buffer[:n]))
	conn, err := dial(time.Minute)
	require.NoError(t, err)
	defer conn.Close()
	n, err = conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "welcome", string(buffer[:n]))
	require.NoError(t, relay.SetRules(func(string, string) Rule { return Rule{Reset: true} }))
	requireReset()
}
