package gossip

import (
	"errors"
	"strings"
)

// Levels in the log lines of memberlist.
const (
	levelError   = "ERR"
	levelWarning = "WARN"
)

// logKeyLength is the length of the beginning of a line by which lines are limited together.
const logKeyLength = 20

// logWriter receives the log lines of memberlist, and counts what it reports by them alone. There can be many lines on
// packets of another key, so that they are limited together.
type logWriter struct{ fleet *Fleet }

// Write implements io.Writer for one line.
func (w logWriter) Write(b []byte) (int, error) {
	level, text := parseLogLine(string(b))
	if strings.Contains(text, "ecrypt") || strings.Contains(text, "label") {
		w.fleet.Counters.ForeignPackets.Add(1)
		w.fleet.warn.Warn("foreign packet", "gossip packet of another cluster or key dropped", errors.New(text))
		return len(b), nil
	}
	w.count(level, text)
	switch level {
	case levelError, levelWarning:
		w.fleet.warn.Warn("gossip "+text[:min(len(text), logKeyLength)], "gossip library reported a fault", errors.New(text))
	default:
		w.fleet.log.WithField("text", text).Debug("gossip library")
	}
	return len(b), nil
}

// parseLogLine splits a line such as "[WARN] memberlist: text". A line of another form is a warning.
func parseLogLine(line string) (level, text string) {
	line = strings.TrimSpace(line)
	line = strings.Replace(line, "memberlist: ", "", 1)
	level, text, found := strings.Cut(strings.TrimPrefix(line, "["), "] ")
	if !found {
		return levelWarning, line
	}
	return level, text
}

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

func isMalformedPacket(text string) bool {
	return strings.Contains(text, "ecode") || strings.Contains(text, "type") || strings.Contains(text, "too short")
}
