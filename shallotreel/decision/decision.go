package decision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Log writes decisions of one part under its fixed prefix.
type Log struct {
	logger  *logrus.Logger
	prefix  string
	every   uint64
	seen    atomic.Uint64
	dropped atomic.Uint64
}

// New returns the log of a part that writes one of every so many decisions, none for 0.
func New(logger *logrus.Logger, part string, every int) *Log {
	return &Log{logger: logger, prefix: part + ": ", every: uint64(every)}
}

// On reports whether the next decision is to be written; ask before building its line.
func (log *Log) On() bool {
	if log.every == 0 || !log.logger.IsLevelEnabled(logrus.InfoLevel) {
		log.dropped.Add(1)
		return false
	}
	if (log.seen.Add(1)-1)%log.every != 0 {
		log.dropped.Add(1)
		return false
	}
	return true
}

// Printf writes a decision that On has allowed.
func (log *Log) Printf(format string, args ...any) {
	log.logger.Infof(log.prefix+format, args...)
}

// Notef writes a rare decision, which is never sampled.
func (log *Log) Notef(format string, args ...any) {
	log.logger.Infof(log.prefix+format, args...)
}

// Warnf writes a fault.
func (log *Log) Warnf(format string, args ...any) {
	log.logger.Warnf(log.prefix+format, args...)
}

// Dropped returns how many decisions were not written.
func (log *Log) Dropped() uint64 {
	return log.dropped.Load()
}
