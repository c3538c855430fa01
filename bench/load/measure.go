package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
	"shallotreel.example/standin/servers"
)

const (
	maxLatency        = 60 * time.Second // highest value that a histogram records
	significantDigits = 3
)

// Measure returns the result of the requests that were sent at start or later, checked against the targets' counters.
// Counts are the counters at the end of the run and before those at its start.
func (callers *Callers) Measure(start time.Time, partitionMap func(source string) target.PartitionMap, counts servers.Counts, before servers.Counts) Result {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	measurement := measurement{callers: callers, start: start, partitionMap: partitionMap,
		latency: newHistogram(), refused: newHistogram(), byInstance: map[string]int64{}}
	measurement.result.Codes = map[string]int64{}
	measurement.result.AnsweredByKind = map[string]int64{}
	for _, sample := range callers.samples {
		if !sample.sent.Before(start) {
			measurement.add(sample)
		}
		measurement.checkRunCounts(sample, counts)
	}
	measurement.checkRevisions(callers.samples)
	return measurement.finish(counts, before)
}

// measurement accumulates the result over the samples.
type measurement struct {
	callers      *Callers
	start        time.Time
	partitionMap func(source string) target.PartitionMap
	result       Result
	latency      *hdrhistogram.Histogram
	refused      *hdrhistogram.Histogram
	seconds      []*hdrhistogram.Histogram
	byInstance   map[string]int64
	coverageSum  float64 // sum of the fractions covered by the answers
	requiredRuns float64 // target runs that the answers need without hedges and retries
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func (measurement *measurement) add(sample sample) {
	measurement.result.Requests++
	if sample.unanswered {
		measurement.result.Lost++
		return
	}
	measurement.result.Codes[sample.answer.Result]++
	measurement.countSecond(sample)
	measurement.byInstance[sample.answer.Instance]++
	elapsed := sample.received.Sub(sample.sent)
	if sample.received.After(measurement.callers.event.Start) {
		measurement.result.Late++
	}
	switch {
	case sample.answered():
		measurement.addAnswered(sample, elapsed)
	case sample.answer.Ran == result.RanNo:
		measurement.result.Refused++
		_ = measurement.refused.RecordValue(elapsed.Microseconds())
	default:
		measurement.result.Unknown++
	}
}

func (measurement *measurement) countSecond(sample sample) {
	second := int(sample.sent.Sub(measurement.start) / time.Second)
	for len(measurement.result.CodesBySecond) <= second {
		measurement.result.CodesBySecond = append(measurement.result.CodesBySecond, map[string]int64{})
	}
	measurement.result.CodesBySecond[second][sample.answer.Result]++
}

func (measurement *measurement) addAnswered(sample sample, elapsed time.Duration) {
	measurement.result.Answered++
	measurement.result.AnsweredByKind[sample.kind]++
	_ = measurement.latency.RecordValue(elapsed.Microseconds())
	second := int(sample.sent.Sub(measurement.start) / time.Second)
	for len(measurement.seconds) <= second {
		measurement.seconds = append(measurement.seconds, newHistogram())
		measurement.result.GoodputBySecond = append(measurement.result.GoodputBySecond, 0)
	}
	_ = measurement.seconds[second].RecordValue(elapsed.Microseconds())
	if sample.answer.Code == result.OK {
		measurement.result.GoodputBySecond[second]++
	}
	kind, _ := measurement.callers.document.Kind(sample.kind)
	partition := measurement.partitionMap(kind.Source)
	found := checkAnswer(sample, partition, kind.Operation == document.Search)
	measurement.result.MismatchedAnswers += boolToInt(found.mismatchedRequest)
	measurement.result.MixedSnapshots += boolToInt(found.mixedSnapshots)
	measurement.result.CoverageFalse += boolToInt(found.falseCoverage)
	if sample.answer.Coverage != nil {
		measurement.coverageSum += sample.answer.Coverage.Fraction
		shards := 1.0
		if kind.Operation == document.Search {
			shards = float64(len(partition.Shards))
		}
		measurement.requiredRuns += shards * sample.answer.Coverage.Fraction
	}
}

// checkRunCounts counts requests that were reported as not run although a target ran them, and record requests that ran
// more than once.
func (measurement *measurement) checkRunCounts(sample sample, counts servers.Counts) {
	if !sample.unanswered && sample.answer.Ran == result.RanNo && counts.RunsByRequest[sample.id] > 0 {
		measurement.result.RanAfterRefused++
	}
	if counts.RecordRuns[sample.id] > 1 {
		measurement.result.RepeatedRuns++
	}
}

// checkRevisions counts answers whose revision is older than one that the same instance reported before the request was
// sent, and detects a preset that is still applied after any instance has reported a newer revision with another one.
func (measurement *measurement) checkRevisions(samples []sample) {
	received := slices.Clone(samples)
	slices.SortFunc(received, func(a, b sample) int { return a.received.Compare(b.received) })
	sent := slices.Clone(samples)
	slices.SortFunc(sent, func(a, b sample) int { return a.sent.Compare(b.sent) })
	newestByInstance := map[string]uint64{}
	newestRevision, newestPreset := uint64(0), ""
	measurement.result.PresetsInForceMax = 1
	next := 0
	for _, later := range sent {
		for ; next < len(received) && received[next].received.Before(later.sent); next++ {
			earlier := received[next]
			if earlier.unanswered || earlier.answer.Revision == 0 {
				continue
			}
			newestByInstance[earlier.answer.Instance] = max(newestByInstance[earlier.answer.Instance], earlier.answer.Revision)
			if earlier.answer.Revision > newestRevision {
				newestRevision, newestPreset = earlier.answer.Revision, earlier.answer.Preset
			}
		}
		if later.unanswered || later.answer.Revision == 0 {
			continue
		}
		measurement.result.ConfigReverts += boolToInt(later.answer.Revision < newestByInstance[later.answer.Instance])
		if later.answer.Revision < newestRevision && later.answer.Preset != newestPreset {
			measurement.result.PresetsInForceMax = 2
		}
	}
}

func (measurement *measurement) finish(counts, before servers.Counts) Result {
	outcome := &measurement.result
	outcome.P50 = quantileMillis(measurement.latency, 50)
	outcome.P99 = quantileMillis(measurement.latency, 99)
	outcome.P999 = quantileMillis(measurement.latency, 99.9)
	outcome.RefusedP99 = quantileMillis(measurement.refused, 99)
	for _, second := range measurement.seconds {
		outcome.P99BySecond = append(outcome.P99BySecond, quantileMillis(second, 99))
	}
	if outcome.Answered > 0 {
		outcome.CoverageMean = measurement.coverageSum / float64(outcome.Answered)
	}
	if measurement.requiredRuns > 0 {
		outcome.ExtraLoad = (float64(counts.Runs-before.Runs) - measurement.requiredRuns) / measurement.requiredRuns
	}
	outcome.BrokenConnections = measurement.callers.brokenConnections.Load()
	outcome.SentToLeaving = counts.SentToLeaving
	outcome.ConnectionsOverCap = counts.ConnectionsOverCap
	outcome.ConnectionsMax = counts.ConnectionsMax
	outcome.SlotOverflows = counts.SlotOverflows
	for _, crashes := range counts.Crashed {
		outcome.TargetsCrashed += crashes
	}
	outcome.InstanceLoadMaxOverMean = maxOverMean(measurement.byInstance)
	outcome.ReplicaLoadMaxOverMean = measurement.maxReplicaLoad(counts, before)
	return *outcome
}

// maxReplicaLoad returns the highest ratio of a replica's runs to the mean of the replicas of its shard.
func (measurement *measurement) maxReplicaLoad(counts, before servers.Counts) float64 {
	worst := 0.0
	for _, source := range measurement.callers.document.Sources {
		for _, shard := range measurement.partitionMap(source.Name).Shards {
			runs := map[string]int64{}
			total := int64(0)
			for _, server := range shard.Servers {
				runs[server.Name] = counts.RunsByTarget[server.Name] - before.RunsByTarget[server.Name]
				total += runs[server.Name]
			}
			if total > 0 {
				worst = max(worst, maxOverMean(runs))
			}
		}
	}
	return worst
}

// maxOverMean returns the ratio of the highest count to the mean, or 0 if all counts are 0.
func maxOverMean[K cmp.Ordered](counts map[K]int64) float64 {
	most, total := int64(0), int64(0)
	for _, count := range counts {
		most = max(most, count)
		total += count
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

func quantileMillis(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func boolToInt(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
