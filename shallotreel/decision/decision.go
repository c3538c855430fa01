package decision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Log writes the log lines of one component with its name as the prefix. It is safe for
// concurrent use.
type Log struct {
	logger   *logrus.Logger
	prefix   string
	interval uint64
	seen     atomic.Uint64
	dropped  atomic.Uint64
}

// New returns the log of a component. Of the sampled decisions, it writes the first and
// then every interval-th one; an interval of 0 disables them.
func New(logger *logrus.Logger, component string, interval int) *Log {
	return &Log{logger: logger, prefix: component + ": ", interval: uint64(interval)}
}

// Sample counts a decision and reports whether to write it with Printf. Callers call it
// before they build the arguments of the line.
func (log *Log) Sample() bool {
	if log.interval == 0 || !log.logger.IsLevelEnabled(logrus.InfoLevel) {
		log.dropped.Add(1)
		return false
	}
	if (log.seen.Add(1)-1)%log.interval != 0 {
		log.dropped.Add(1)
		return false
	}
	return true
}

// Printf writes a decision for which Sample returned true.
func (log *Log) Printf(format string, args ...any) {
	log.logger.Infof(log.prefix+format, args...)
}

// Infof writes a line at level info, without sampling.
func (log *Log) Infof(format string, args ...any) {
	log.logger.Infof(log.prefix+format, args...)
}

// Warnf writes a line at level warning, without sampling.
func (log *Log) Warnf(format string, args ...any) {
	log.logger.Warnf(log.prefix+format, args...)
}

// Dropped returns the number of decisions that were not written.
func (log *Log) Dropped() uint64 {
	return log.dropped.Load()
}
