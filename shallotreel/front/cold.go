package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/choice"
)

// addColdFields adds what the belief that a target is cold or warm is based on, and the load that it gets.
func addColdFields(fields logrus.Fields, change choice.HealthChange) {
	fields["evidence"], fields["evidence_age_ms"] = change.Evidence, change.EvidenceAge.Milliseconds()
	if change.Limit > 0 {
		fields["limit_per_second"], fields["part_per_second"], fields["members"] = float64(change.Limit), change.Part, change.Members
	}
}

// updateColdGauges sets the gauges about targets that are warming up.
func (front *Front) updateColdGauges(now time.Time) {
	front.scope.Gauge("cold_targets").Update(float64(len(front.router.ColdTargets(now))))
	front.scope.Gauge("attempts_held_cold").Update(float64(front.router.ColdHeld()))
}
