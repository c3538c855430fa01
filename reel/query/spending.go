package query

import (
	"maps"

	"shallotreel.example/reel/result"
)

// Spending is the number of attempts of a request that ran, may have run or may still run, at any instance, by service. It belongs to
// the request: it counts whatever services the configuration of the next instance names. The nil map is an empty one.
type Spending map[string]int

// Total returns the number of attempts.
func (spending Spending) Total() int {
	total := 0
	for _, runs := range spending {
		total += runs
	}
	return total
}

// Merge returns what was spent as two instances know it. What an instance reports includes what it was told, so the higher number of
// a service holds.
func (spending Spending) Merge(other Spending) Spending {
	merged := Spending{}
	for _, known := range []Spending{spending, other} {
		for service, runs := range known {
			merged[service] = max(merged[service], runs)
		}
	}
	return merged
}

// Truthful returns the end of a request that may have run or not. If it may, an end that says that it did not run, for whatever reason,
// leaves that open instead.
func (finish Finish) Truthful(mayHaveRun bool) Finish {
	switch {
	case !mayHaveRun, finish.Code.Ran() != result.RanNo:
	case finish.Code == result.Relayed, finish.Code == result.Canceled: // the answer of a target; nobody waits for an answer
	default:
		finish.Code = result.Broken
	}
	return finish
}

// Repeatable reports whether more than one attempt of the request may run.
func (plan *Plan) Repeatable() bool { return plan.Route.Idempotent && !plan.Once }

// isSpent reports whether no attempt may be sent any more, because the request must not be repeated and may have run.
func (plan *Plan) isSpent() bool { return !plan.Repeatable() && plan.Spent.Total() > 0 }

// spentOn returns the attempts of earlier instances that count against the limit of the service. A request to a single service has one
// limit wherever its attempts went; each shard has its own.
func (plan *Plan) spentOn(service string) int {
	if len(plan.Route.Shards) > 0 {
		return plan.Spent[service]
	}
	return plan.Spent.Total()
}

// Spent returns what this and earlier instances have spent.
func (machine *Machine) Spent() Spending {
	spending := maps.Clone(machine.plan.Spent)
	if spending == nil {
		spending = Spending{}
	}
	for _, part := range machine.parts {
		if own := part.possibleRuns - machine.plan.spentOn(part.service); own > 0 {
			spending[part.service] += own
		}
	}
	return spending
}
