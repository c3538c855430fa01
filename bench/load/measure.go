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
	histogramMost   = 60 * time.Second
	histogramDigits = 3
)

// Measure sums up the samples that were sent from start on, against the targets' counts.
func (callers *Callers) Measure(start time.Time, maps func(source string) target.PartitionMap, counts servers.Counts, before servers.Counts) Result {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	measured := measurement{callers: callers, start: start, maps: maps,
		latency: newHistogram(), refused: newHistogram(), byInstance: map[string]int64{}}
	measured.result.Codes = map[string]int64{}
	measured.result.AnsweredByKind = map[string]int64{}
	for _, sample := range callers.samples {
		if !sample.sent.Before(start) {
			measured.add(sample)
		}
		measured.checkRuns(sample, counts)
	}
	measured.checkRevisions(callers.samples)
	return measured.finish(counts, before)
}

type measurement struct {
	callers    *Callers
	start      time.Time
	maps       func(source string) target.PartitionMap
	result     Result
	latency    *hdrhistogram.Histogram
	refused    *hdrhistogram.Histogram
	seconds    []*hdrhistogram.Histogram
	byInstance map[string]int64
	coverage   float64
	needed     float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost.Microseconds(), histogramDigits)
}

func (measured *measurement) add(sample sample) {
	measured.result.Requests++
	if sample.lost {
		measured.result.Lost++
		return
	}
	measured.result.Codes[sample.answer.Result]++
	measured.countSecond(sample)
	measured.byInstance[sample.answer.Instance]++
	took := sample.received.Sub(sample.sent)
	if sample.received.After(measured.callers.event.Start) {
		measured.result.Late++
	}
	switch {
	case sample.answered():
		measured.addAnswered(sample, took)
	case sample.answer.Ran == result.RanNo:
		measured.result.Refused++
		_ = measured.refused.RecordValue(took.Microseconds())
	default:
		measured.result.Unknown++
	}
}

func (measured *measurement) countSecond(sample sample) {
	second := int(sample.sent.Sub(measured.start) / time.Second)
	for len(measured.result.CodesBySecond) <= second {
		measured.result.CodesBySecond = append(measured.result.CodesBySecond, map[string]int64{})
	}
	measured.result.CodesBySecond[second][sample.answer.Result]++
}

func (measured *measurement) addAnswered(sample sample, took time.Duration) {
	measured.result.Answered++
	measured.result.AnsweredByKind[sample.kind]++
	_ = measured.latency.RecordValue(took.Microseconds())
	second := int(sample.sent.Sub(measured.start) / time.Second)
	for len(measured.seconds) <= second {
		measured.seconds = append(measured.seconds, newHistogram())
		measured.result.GoodputBySecond = append(measured.result.GoodputBySecond, 0)
	}
	_ = measured.seconds[second].RecordValue(took.Microseconds())
	if sample.answer.Code == result.OK {
		measured.result.GoodputBySecond[second]++
	}
	kind, _ := measured.callers.document.Kind(sample.kind)
	partition := measured.maps(kind.Source)
	judged := judge(sample, partition, kind.Operation == document.Search)
	measured.result.CrossedAnswers += count(judged.crossed)
	measured.result.MixedSnapshots += count(judged.mixed)
	measured.result.CoverageFalse += count(judged.falseCoverage)
	if sample.answer.Coverage != nil {
		measured.coverage += sample.answer.Coverage.Fraction
		shards := 1.0
		if kind.Operation == document.Search {
			shards = float64(len(partition.Shards))
		}
		measured.needed += shards * sample.answer.Coverage.Fraction
	}
}

// checkRuns compares each "not run" and each once-only request with what the targets ran.
func (measured *measurement) checkRuns(sample sample, counts servers.Counts) {
	if !sample.lost && sample.answer.Ran == result.RanNo && counts.RunsByRequest[sample.id] > 0 {
		measured.result.RanAfterRefused++
	}
	if counts.RecordRuns[sample.id] > 1 {
		measured.result.RepeatedRuns++
	}
}

// checkRevisions finds answers under an older revision or preset than one that was answered before they were sent.
func (measured *measurement) checkRevisions(samples []sample) {
	received := slices.Clone(samples)
	slices.SortFunc(received, func(a, b sample) int { return a.received.Compare(b.received) })
	sent := slices.Clone(samples)
	slices.SortFunc(sent, func(a, b sample) int { return a.sent.Compare(b.sent) })
	newest := map[string]uint64{}
	overall, preset := uint64(0), ""
	measured.result.PresetsInForceMax = 1
	next := 0
	for _, later := range sent {
		for ; next < len(received) && received[next].received.Before(later.sent); next++ {
			earlier := received[next]
			if earlier.lost || earlier.answer.Revision == 0 {
				continue
			}
			newest[earlier.answer.Instance] = max(newest[earlier.answer.Instance], earlier.answer.Revision)
			if earlier.answer.Revision > overall {
				overall, preset = earlier.answer.Revision, earlier.answer.Preset
			}
		}
		if later.lost || later.answer.Revision == 0 {
			continue
		}
		measured.result.ConfigReverts += count(later.answer.Revision < newest[later.answer.Instance])
		if later.answer.Revision < overall && later.answer.Preset != preset {
			measured.result.PresetsInForceMax = 2
		}
	}
}

func (measured *measurement) finish(counts, before servers.Counts) Result {
	outcome := &measured.result
	outcome.P50 = millis(measured.latency, 50)
	outcome.P99 = millis(measured.latency, 99)
	outcome.P999 = millis(measured.latency, 99.9)
	outcome.RefusedP99 = millis(measured.refused, 99)
	for _, second := range measured.seconds {
		outcome.P99BySecond = append(outcome.P99BySecond, millis(second, 99))
	}
	if outcome.Answered > 0 {
		outcome.CoverageMean = measured.coverage / float64(outcome.Answered)
	}
	if measured.needed > 0 {
		outcome.ExtraLoad = (float64(counts.Runs-before.Runs) - measured.needed) / measured.needed
	}
	outcome.CutInFlight = measured.callers.broken.Load()
	outcome.SentToLeaving = counts.SentToLeaving
	outcome.ConnectionsOverCap = counts.ConnectionsOverCap
	outcome.ConnectionsMax = counts.ConnectionsMax
	outcome.SlotsOver = counts.SlotsOver
	for _, crashes := range counts.Crashed {
		outcome.TargetsCrashed += crashes
	}
	outcome.InstanceLoadOver = maxOverMean(measured.byInstance)
	outcome.ReplicaLoadOver = measured.replicaLoad(counts, before)
	return *outcome
}

// replicaLoad returns the highest share of a replica against the mean of its service.
func (measured *measurement) replicaLoad(counts, before servers.Counts) float64 {
	worst := 0.0
	for _, source := range measured.callers.document.Sources {
		for _, shard := range measured.maps(source.Name).Shards {
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

func millis(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func count(is bool) int64 {
	if is {
		return 1
	}
	return 0
}
