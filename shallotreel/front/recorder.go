package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/door"
)

const (
	normalLineInterval     = 16  // of whole and timely answers, one in so many gets a line
	abnormalLinesPerSecond = 100 // lines a second for all other requests
)

// recorder counts requests and writes their lines.
type recorder struct {
	log           logrus.FieldLogger
	scope         tally.Scope
	latency       tally.Histogram
	dropped       tally.Counter
	mutex         sync.Mutex
	codes         map[result.Code]tally.Counter
	normal        int
	second        int64
	abnormalLines int
}

func newRecorder(log logrus.FieldLogger, scope tally.Scope) *recorder {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 18)
	return &recorder{log: log, scope: scope, latency: scope.Histogram("request_time", buckets),
		dropped: scope.Counter("request_lines_dropped"), codes: map[result.Code]tally.Counter{}}
}

// Record takes the record of a request that has ended.
func (recorder *recorder) Record(record door.Record) {
	recorder.latency.RecordDuration(record.Took)
	if !recorder.count(record) {
		return
	}
	fields := logrus.Fields{"request": record.ID, "route": record.Route, "version": record.Version,
		"targets_serial": record.Serial, "code": record.Code.String(), "took_ms": record.Took.Milliseconds(),
		"parts": record.Parts, "patience_ms": record.Patience.Milliseconds()}
	if record.Reason != "" {
		fields["reason"] = record.Reason
	}
	if len(record.Gaps) > 0 {
		fields["gaps"] = record.Gaps
	}
	if attempts := loggedAttempts(record); len(attempts) > 0 {
		fields["attempts"] = attempts
	}
	recorder.log.WithFields(fields).Info("request ended")
}

// count counts the request and reports whether it gets a line.
func (recorder *recorder) count(record door.Record) bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	counter, ok := recorder.codes[record.Code]
	if !ok {
		counter = recorder.scope.Tagged(map[string]string{"code": record.Code.String()}).Counter("requests")
		recorder.codes[record.Code] = counter
	}
	counter.Inc(1)
	if record.Code == result.OK && record.Took <= record.Goal {
		recorder.normal++
		return recorder.normal%normalLineInterval == 0
	}
	if second := time.Now().Unix(); second != recorder.second {
		recorder.second, recorder.abnormalLines = second, 0
	}
	recorder.abnormalLines++
	if recorder.abnormalLines > abnormalLinesPerSecond {
		recorder.dropped.Inc(1)
		return false
	}
	return true
}

// loggedAttempts returns the attempts that explain the request: all of a failed one, else those beyond the first and unusual ones.
func loggedAttempts(record door.Record) []door.Attempt {
	if record.Code != result.OK && record.Code != result.Partial {
		return record.Attempts
	}
	var attempts []door.Attempt
	for _, attempt := range record.Attempts {
		if attempt.Why != "first" || attempt.Cause != "" || attempt.Took == 0 || attempt.Took > record.Goal {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}
