package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/choice"
)

// healthLinesPerSecond limits the log lines about the health of targets.
const healthLinesPerSecond = 50

func (front *Front) logHealthChange(change choice.HealthChange) {
	fields := logrus.Fields{"subject": change.Subject, "belief": change.Kind, "factor": change.LatencyFactor,
		"failures": change.FailureRate, "silence_ms": change.LongestWait.Milliseconds(), "in_vain": change.UnservedShare,
		"targets_serial": front.feed.View().Serial}
	if change.Service != "" {
		fields["service"] = change.Service
	}
	switch change.Kind {
	case choice.Limited:
		front.scope.Counter("limits_named").Inc(1)
		fields["limit_per_second"], fields["part_per_second"], fields["members"] = float64(change.Limit), change.Part, change.Members
	case choice.LimitEnded:
		front.scope.Counter("limits_ended").Inc(1)
		fields["limit_per_second"] = float64(change.Limit)
	case choice.Cold, choice.Warm:
		addColdFields(fields, change)
	}
	if !front.healthLines.Allow(time.Now()) {
		front.scope.Counter("health_lines_dropped").Inc(1)
		return
	}
	front.log.WithFields(fields).Info("health changed")
}
