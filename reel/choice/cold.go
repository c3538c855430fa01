package choice

import (
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/warmup"
)

// SetSenders sets the instances that share the rates of cold targets, self among them.
func (selector *Selector) SetSenders(senders *warmup.Senders) {
	selector.warmup = warmup.New(senders)
}

// SetReturns sets the view that tells when data centres returned to service.
func (selector *Selector) SetReturns(view warmup.View) {
	selector.warmup.SetView(view)
}

// ColdTargets returns the targets that are treated as cold at now, ordered by ID.
func (selector *Selector) ColdTargets(now time.Time) []warmup.ColdTarget {
	return selector.warmup.ColdTargets(now)
}

// ColdHeld returns how often a target was left out of a choice because of its warm-up.
func (selector *Selector) ColdHeld() uint64 { return selector.coldHeld }

// noteCold records what the answer to an attempt, or its lack, tells of the target's warm-up.
func (selector *Selector) noteCold(now time.Time, target catalogue.Target, sentAt time.Time, report Report) {
	switch {
	case report.Cold != nil:
		selector.warmup.Report(now, target, sentAt, *report.Cold)
	case report.NoCold:
		selector.warmup.ReportNothing(target, sentAt)
	case report.Broken:
		selector.warmup.ReportBroken(now, target)
	}
}

// addColdChanges keeps the targets that have become cold or warm for TakeHealthChanges.
func (selector *Selector) addColdChanges() {
	for _, change := range selector.warmup.TakeChanges() {
		healthChange := HealthChange{Subject: change.Target, Service: change.Service, Kind: Warm, Limit: Limit(change.Rate), Part: change.Part,
			Members: change.Members, Evidence: string(change.Evidence), EvidenceAge: change.EvidenceAge}
		if change.Cold {
			healthChange.Kind = Cold
		}
		if health, ok := selector.targets[change.Target]; ok {
			healthChange.LatencyFactor, healthChange.FailureRate = health.latencyFactor, health.failureRate
		}
		selector.addHealthChange(healthChange)
	}
}
