package golden

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes lines of all levels to w without timestamps.
func NewLogger(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(logrus.TraceLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	return log
}
