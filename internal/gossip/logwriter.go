package gossip

import (
	"errors"
	"strings"
)

// Levels in memberlist's log lines.
const (
	levelError   = "ERR"
	levelWarning = "WARN"
)

// logKeyLength is the number of bytes at the start of a line's text by which lines share a rate limit.
const logKeyLength = 20

// logWriter receives memberlist's log lines and logs them at a limited rate. It also counts the events that memberlist
// reports in its log lines only. All lines about packets of another cluster or key share one rate limit, as there can be
// many of them.
type logWriter struct{ fleet *Fleet }

// Write implements io.Writer for one line.
func (w logWriter) Write(b []byte) (int, error) {
	level, text := parseLogLine(string(b))
	// memberlist writes "decrypt" and "Decrypt". A label is the name of a cluster.
	if strings.Contains(text, "ecrypt") || strings.Contains(text, "label") {
		w.fleet.Counters.ForeignPackets.Add(1)
		w.fleet.warnings.Warn("foreign packet", "gossip packet of another cluster or key dropped", errors.New(text))
		return len(b), nil
	}
	w.count(level, text)
	switch level {
	case levelError, levelWarning:
		w.fleet.warnings.Warn("gossip "+text[:min(len(text), logKeyLength)], "gossip library reported a fault", errors.New(text))
	default:
		w.fleet.log.WithField("text", text).Debug("gossip library log line")
	}
	return len(b), nil
}

// parseLogLine splits a line such as "[WARN] memberlist: text". It returns a line of another form as a warning.
func parseLogLine(line string) (level, text string) {
	line = strings.TrimSpace(line)
	line = strings.Replace(line, "memberlist: ", "", 1)
	level, text, found := strings.Cut(strings.TrimPrefix(line, "["), "] ")
	if !found {
		return levelWarning, line
	}
	return level, text
}

// count counts the events that a line reports.
func (w logWriter) count(level, text string) {
	counters := &w.fleet.Counters
	switch {
	case strings.HasPrefix(text, "Suspect "):
		counters.Suspicions.Add(1)
	case strings.HasPrefix(text, "Refuting"):
		counters.Refutations.Add(1)
	}
	if level == levelError && isMalformedPacket(text) {
		counters.Malformed.Add(1)
	}
}

// isMalformedPacket reports whether memberlist logged the text for a packet or stream that it cannot decode. It writes both
// "decode" and "Decode".
func isMalformedPacket(text string) bool {
	return strings.Contains(text, "ecode") || strings.Contains(text, "type") || strings.Contains(text, "too short")
}
