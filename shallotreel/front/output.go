package front

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait; later ones are dropped and counted, so that logging never blocks.
const maxQueuedLines = 2048

// LogWriter writes lines in the background.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewLogWriter returns an output that writes to the writer until Close.
func NewLogWriter(writer io.Writer) *LogWriter {
	output := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go output.drain(writer)
	return output
}

// Write takes one line; it never fails and never waits.
func (output *LogWriter) Write(line []byte) (int, error) {
	select {
	case output.lines <- append([]byte(nil), line...):
	default:
		output.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (output *LogWriter) Dropped() uint64 { return output.dropped.Load() }

// Close writes what waits; nothing may be written afterwards.
func (output *LogWriter) Close() {
	close(output.lines)
	<-output.done
}

func (output *LogWriter) drain(writer io.Writer) {
	defer close(output.done)
	for line := range output.lines {
		batch := line
		for waiting := len(output.lines); waiting > 0; waiting-- {
			batch = append(batch, <-output.lines...)
		}
		if _, err := writer.Write(batch); err != nil {
			output.dropped.Add(1)
		}
	}
}
