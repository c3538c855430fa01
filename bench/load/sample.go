package load

import (
	"strconv"
	"strings"
	"time"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// sample is one request as its caller saw it.
type sample struct {
	id       string
	kind     string
	sent     time.Time
	received time.Time
	answer   caller.Answer
	lost     bool
}

func (sample sample) answered() bool {
	return !sample.lost && (sample.answer.Code == result.OK || sample.answer.Code == result.Partial)
}

// hit is what a stand-in target writes into the id of a match.
type hit struct {
	shard    string
	snapshot uint64
	request  string
}

func parseHit(id string) (hit, bool) {
	fields := strings.Split(id, "|")
	if len(fields) != 4 {
		return hit{}, false
	}
	snapshot, err := strconv.ParseUint(fields[1], 10, 64)
	return hit{fields[0], snapshot, fields[2]}, err == nil
}

// judgement is what the hits of an answer prove about it.
type judgement struct {
	crossed       bool
	mixed         bool
	falseCoverage bool
}

// judge compares an answer with the hits in it; each shard that ran gave at least one.
func judge(sample sample, partition target.PartitionMap, search bool) judgement {
	var judged judgement
	shards := map[string]bool{}
	for _, match := range sample.answer.Hits {
		parsed, ok := parseHit(match.ID)
		judged.crossed = judged.crossed || !ok || parsed.request != sample.id
		judged.mixed = judged.mixed || parsed.snapshot != sample.answer.Snapshot
		shards[parsed.shard] = true
	}
	if sample.answer.Coverage == nil {
		judged.falseCoverage = true
		return judged
	}
	if search {
		judged.falseCoverage = !sameCoverage(*sample.answer.Coverage, partition, shards)
	}
	return judged
}

// sameCoverage reports whether the stated coverage is what the answering shards hold.
func sameCoverage(stated coverage.Report, partition target.PartitionMap, answered map[string]bool) bool {
	var ranges []coverage.Range
	for _, shard := range partition.Shards {
		if answered[shard.Name] {
			ranges = append(ranges, shard.Range)
		}
	}
	truth := coverage.Compute(coverage.Range{From: 0, To: coverage.KeySpace}, ranges)
	if len(truth.Missing) != len(stated.Missing) {
		return false
	}
	for i := range truth.Missing {
		if truth.Missing[i] != stated.Missing[i] {
			return false
		}
	}
	return true
}
