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

var places = []Location{{"n0", "a", "r"}, {"n1", "b", "r"}, {"n2", "a", "r"}}

func TestScriptsThatCannotBeMeant(t *testing.T) {
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
		_, err := Parse([]byte("[[fault]]\n"+text), places)
		require.ErrorContains(t, err, want)
	}
}

// A zone that is cut off is whole in itself; faults over one another add up; and each ends with its time.
func TestRules(t *testing.T) {
	s, err := Parse([]byte(`
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
`), places)
	require.NoError(t, err)
	at := func(now time.Duration, from, to string) Rule { return s.RulesAt(now)(from, to) }
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
	r := NewRelay(1)
	defer r.Close()
	octet := 16 + os.Getpid()%200
	at := func(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d:7946", octet, kind, n) }
	for i := range 2 {
		require.NoError(t, r.Add(fmt.Sprint("n", i), at(250, i+1), at(251, i+1)))
	}
	from := &net.UDPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.251.1", octet)), Port: 7946}
	a, err := net.ListenUDP("udp", from)
	require.NoError(t, err)
	defer a.Close()
	to, err := net.ResolveUDPAddr("udp", at(250, 2))
	require.NoError(t, err)
	b, err := net.ListenPacket("udp", at(251, 2))
	require.NoError(t, err)
	defer b.Close()
	got := make([]byte, 10)
	pass := func(word string) string {
		_, err := a.WriteTo([]byte(word), to)
		require.NoError(t, err)
		n, _, err := b.ReadFrom(got)
		require.NoError(t, err)
		return string(got[:n])
	}
	require.Equal(t, "hello", pass("hello"))

	dial := func(limit time.Duration) (net.Conn, error) {
		return (&net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: from.IP}}).Dial("tcp", at(250, 2))
	}
	isReset := func() { // while it connects, or as soon as it has
		nc, err := dial(time.Minute)
		if err == nil {
			_, err = nc.Read(got)
			nc.Close()
		}
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	isReset() // nobody listens
	ln, err := net.Listen("tcp", at(251, 2))
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Write([]byte("welcome"))
			c.Close()
		}
	}()
	cut := func(from, to string) Rule { return Rule{Partition: from == "n1" && to == "n0"} } // the way back only
	require.NoError(t, r.SetRules(cut))
	require.Equal(t, "there", pass("there"))
	_, err = dial(200 * time.Millisecond)
	require.True(t, os.IsTimeout(err), "%v", err)
	require.NoError(t, r.SetRules(func(string, string) Rule { return Rule{DuplicateRatio: 1, Delay: time.Millisecond} }))
	require.Equal(t, "twice", pass("twice"))
	n, _, err := b.ReadFrom(got)
	require.NoError(t, err)
	require.Equal(t, "twice", string(got[:n]))
	nc, err := dial(time.Minute)
	require.NoError(t, err)
	defer nc.Close()
	n, err = nc.Read(got)
	require.NoError(t, err)
	require.Equal(t, "welcome", string(got[:n]))
	require.NoError(t, r.SetRules(func(string, string) Rule { return Rule{Reset: true} }))
	isReset()
}
