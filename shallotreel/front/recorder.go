package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/ingress"
	"shallotreel.example/shallotreel/linelimit"
)

const (
	// normalLineInterval is the sampling interval for log lines about complete answers
	// within the latency goal: one in 16 is logged.
	normalLineInterval = 16
	// abnormalLinesPerSecond limits the log lines about all other requests.
	abnormalLinesPerSecond = 100
)

// recorder updates the metrics of finished requests and writes their log lines.
type recorder struct {
	log           logrus.FieldLogger
	scope         tally.Scope
	latency       tally.Histogram
	dropped       tally.Counter
	elsewhere     tally.Counter // attempts for which a target was left out because of its limit
	handedOver    tally.Counter // requests that other instances were asked to serve
	relayed       tally.Counter // requests that were served for other instances
	unavailable   tally.Counter // parts of requests for which no target takes requests now, as these asked
	mutex         sync.Mutex
	codes         map[result.Code]tally.Counter
	normal        int // complete answers within the latency goal
	abnormalLines *linelimit.Limiter
}

func newRecorder(log logrus.FieldLogger, scope tally.Scope) *recorder {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 18)
	return &recorder{log: log, scope: scope, latency: scope.Histogram("request_time", buckets),
		dropped: scope.Counter("request_lines_dropped"), handedOver: scope.Counter("requests_handed_over"), relayed: scope.Counter("requests_for_others"),
		elsewhere: scope.Counter("attempts_past_limit"), unavailable: scope.Counter("parts_unavailable"), codes: map[result.Code]tally.Counter{},
		abnormalLines: linelimit.New(abnormalLinesPerSecond)}
}

// Record updates the metrics for a finished request and logs it if it is sampled.
func (recorder *recorder) Record(record ingress.Record) {
	recorder.latency.RecordDuration(record.Took)
	recorder.countWishes(record)
	if !recorder.count(record) {
		return
	}
	fields := logrus.Fields{"request": record.ID, "route": record.Route, "version": record.Version,
		"targets_serial": record.CatalogueSerial, "code": record.Code.String(), "took_ms": record.Took.Milliseconds(),
		"parts": record.Parts, "fingerprint": record.Fingerprint.String(), "patience_ms": record.CallerTimeout.Milliseconds()}
	if record.Reason != "" {
		fields["reason"] = record.Reason
	}
	if record.Suspect {
		fields["suspect"] = true
	}
	if record.Origin != "" {
		fields["origin"] = record.Origin
	}
	if record.HandedOver != "" {
		fields["handed_over"], fields["helpers"] = record.HandedOver, record.Helpers
	}
	if len(record.Gaps) > 0 {
		fields["gaps"] = record.Gaps
	}
	if attempts := loggedAttempts(record); len(attempts) > 0 {
		fields["attempts"] = attempts
	}
	recorder.log.WithFields(fields).Info("request ended")
}

// countWishes counts what the wishes of targets changed for the request.
func (recorder *recorder) countWishes(record ingress.Record) {
	for _, attempt := range record.Attempts {
		if attempt.Limited != "" {
			recorder.elsewhere.Inc(1)
		}
	}
	for _, gap := range record.Gaps {
		if gap.SkipReason == query.ReasonUnavailable {
			recorder.unavailable.Inc(1)
		}
	}
}

// count counts the request and reports whether to log it.
func (recorder *recorder) count(record ingress.Record) bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	counter, ok := recorder.codes[record.Code]
	if !ok {
		counter = recorder.scope.Tagged(map[string]string{"code": record.Code.String()}).Counter("requests")
		recorder.codes[record.Code] = counter
	}
	counter.Inc(1)
	if record.HandedOver != "" {
		recorder.handedOver.Inc(1)
	}
	if record.Origin != "" {
		recorder.relayed.Inc(1)
	}
	isOwn := record.HandedOver == "" && record.Origin == ""
	if record.Code == result.OK && record.Took <= record.Goal && !record.Suspect && isOwn {
		recorder.normal++
		return recorder.normal%normalLineInterval == 0
	}
	if !recorder.abnormalLines.Allow(time.Now()) {
		recorder.dropped.Inc(1)
		return false
	}
	return true
}

// loggedAttempts returns the attempts to log for a request. These are all attempts of a
// failed request; otherwise only hedges, retries, first attempts that failed, did not end
// or took longer than the latency goal, and those sent past a target with a limit.
func loggedAttempts(record ingress.Record) []ingress.Attempt {
	if record.Code != result.OK && record.Code != result.Partial {
		return record.Attempts
	}
	var attempts []ingress.Attempt
	for _, attempt := range record.Attempts {
		if attempt.Kind != "first" || attempt.Limited != "" || attempt.Cause != "" || attempt.Took == 0 || attempt.Took > record.Goal {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}
