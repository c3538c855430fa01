package decision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Log writes decisions of one part under its fixed prefix.
type Log struct {
	logger   *logrus.Logger
	prefix   string
	interval uint64
	seen     atomic.Uint64
	dropped  atomic.Uint64
}

// New returns the log of a part that writes one of every so many decisions, none for 0.
func New(logger *logrus.Logger, part string, every int) *Log {
	return &Log{logger: logger, prefix: part + ": ", interval: uint64(every)}
}

// Sample reports whether the next decision is to be written; ask before building its line.
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

// Printf writes a decision that On has allowed.
func (log *Log) Printf(format string, args ...any) {
	log.logger.Infof(log.prefix+format, args...)
}

// Infof writes a rare decision, which is never sampled.
func (log *Log) Infof(format string, args ...any) {
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
