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
	plainEvery     = 16  // of whole and timely answers, one in so many gets a line
	abnormalSecond = 100 // lines a second for all other requests
)

// recorder counts requests and writes their lines.
type recorder struct {
	log     logrus.FieldLogger
	scope   tally.Scope
	took    tally.Histogram
	dropped tally.Counter
	mutex   sync.Mutex
	codes   map[result.Code]tally.Counter
	plain   int
	second  int64
	written int
}

func newRecorder(log logrus.FieldLogger, scope tally.Scope) *recorder {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 18)
	return &recorder{log: log, scope: scope, took: scope.Histogram("request_time", buckets),
		dropped: scope.Counter("request_lines_dropped"), codes: map[result.Code]tally.Counter{}}
}

// Record takes the record of a request that has ended.
func (recorder *recorder) Record(record door.Record) {
	recorder.took.RecordDuration(record.Took)
	if !recorder.count(record) {
		return
	}
	fields := logrus.Fields{"request": record.ID, "route": record.Route, "version": record.Version,
		"targets_serial": record.CatalogueSerial, "code": record.Code.String(), "took_ms": record.Took.Milliseconds(),
		"parts": record.Parts, "patience_ms": record.CallerTimeout.Milliseconds()}
	if record.Reason != "" {
		fields["reason"] = record.Reason
	}
	if len(record.Gaps) > 0 {
		fields["gaps"] = record.Gaps
	}
	if attempts := telling(record); len(attempts) > 0 {
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
		recorder.plain++
		return recorder.plain%plainEvery == 0
	}
	if second := time.Now().Unix(); second != recorder.second {
		recorder.second, recorder.written = second, 0
	}
	recorder.written++
	if recorder.written > abnormalSecond {
		recorder.dropped.Inc(1)
		return false
	}
	return true
}

// telling returns the attempts that explain the request: all of a failed one, else those beyond the first and unusual ones.
func telling(record door.Record) []door.Attempt {
	if record.Code != result.OK && record.Code != result.Partial {
		return record.Attempts
	}
	var attempts []door.Attempt
	for _, attempt := range record.Attempts {
		if attempt.Kind != "first" || attempt.Cause != "" || attempt.Took == 0 || attempt.Took > record.Goal {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}
