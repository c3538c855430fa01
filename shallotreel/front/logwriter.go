package front

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue of a LogWriter. Further lines are dropped
// and counted, so that logging never blocks.
const maxQueuedLines = 2048

// LogWriter writes log lines to an underlying writer in the background.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewLogWriter returns a LogWriter that writes to the writer until Close is called.
func NewLogWriter(writer io.Writer) *LogWriter {
	logWriter := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go logWriter.drain(writer)
	return logWriter
}

// Write queues one line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (logWriter *LogWriter) Write(line []byte) (int, error) {
	select {
	case logWriter.lines <- append([]byte(nil), line...):
	default:
		logWriter.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full,
// plus the number of failed writes to the underlying writer.
func (logWriter *LogWriter) Dropped() uint64 { return logWriter.dropped.Load() }

// Close writes the queued lines and returns. Write must not be called afterwards.
func (logWriter *LogWriter) Close() {
	close(logWriter.lines)
	<-logWriter.done
}

// drain writes the queued lines and combines those that are queued at the same time
// into one write.
func (logWriter *LogWriter) drain(writer io.Writer) {
	defer close(logWriter.done)
	for line := range logWriter.lines {
		batch := line
		for waiting := len(logWriter.lines); waiting > 0; waiting-- {
			batch = append(batch, <-logWriter.lines...)
		}
		if _, err := writer.Write(batch); err != nil {
			logWriter.dropped.Add(1)
		}
	}
}
