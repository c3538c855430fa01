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

// sample is one request with its answer as the caller received it; unanswered means that the caller received none.
type sample struct {
	id         string
	kind       string
	sent       time.Time
	received   time.Time
	answer     caller.Answer
	unanswered bool
}

// answered reports whether the caller got a complete or partial result.
func (sample sample) answered() bool {
	return !sample.unanswered && (sample.answer.Code == result.OK || sample.answer.Code == result.Partial)
}

// hitID is the content of a hit's ID as stand-in targets generate it: shard|snapshot|request|index.
type hitID struct {
	shard    string
	snapshot uint64
	request  string
}

func parseHitID(id string) (hitID, bool) {
	fields := strings.Split(id, "|")
	if len(fields) != 4 {
		return hitID{}, false
	}
	snapshot, err := strconv.ParseUint(fields[1], 10, 64)
	return hitID{fields[0], snapshot, fields[2]}, err == nil
}

// violations lists the guarantees that an answer violates, as its hits show.
type violations struct {
	mismatchedRequest bool // a hit belongs to another request
	mixedSnapshots    bool // a hit comes from a snapshot other than the stated one
	falseCoverage     bool // the stated coverage does not match the shards of the hits
}

// checkAnswer compares an answer's fields with its hits. Each shard that ran the query contributes at least one hit,
// so the hits show which shards answered.
func checkAnswer(sample sample, partition target.PartitionMap, search bool) violations {
	var found violations
	shards := map[string]bool{}
	for _, hit := range sample.answer.Hits {
		parsed, ok := parseHitID(hit.ID)
		found.mismatchedRequest = found.mismatchedRequest || !ok || parsed.request != sample.id
		found.mixedSnapshots = found.mixedSnapshots || parsed.snapshot != sample.answer.Snapshot
		shards[parsed.shard] = true
	}
	if sample.answer.Coverage == nil {
		found.falseCoverage = true
		return found
	}
	if search {
		found.falseCoverage = !coverageMatches(*sample.answer.Coverage, partition, shards)
	}
	return found
}

// coverageMatches reports whether the stated coverage equals the key ranges of the shards that answered.
func coverageMatches(stated coverage.Report, partition target.PartitionMap, answeredShards map[string]bool) bool {
	var ranges []coverage.Range
	for _, shard := range partition.Shards {
		if answeredShards[shard.Name] {
			ranges = append(ranges, shard.Range)
		}
	}
	actual := coverage.Compute(coverage.Range{From: 0, To: coverage.KeySpace}, ranges)
	if len(actual.Missing) != len(stated.Missing) {
		return false
	}
	for i := range actual.Missing {
		if actual.Missing[i] != stated.Missing[i] {
			return false
		}
	}
	return true
}
