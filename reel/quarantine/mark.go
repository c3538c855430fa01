package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLosses is the number of target crashes after which a fingerprint is quarantined. Crashes in one wave count once.
	MaxLosses = 2
	// MaxMarkLosses is the number of losses that a mark keeps at most.
	MaxMarkLosses = 16
	// PendingLifetime is how long an attempt without an answer counts as a loss while no evidence of a crash is found.
	PendingLifetime = 15 * time.Second
	// duplicateLossWindow is the time within which repeated crash reports for one target count as one loss.
	duplicateLossWindow = time.Second
)

// Loss is one crash of a target while a fingerprint ran on it.
type Loss struct {
	Target  string    `json:"target" msgpack:"t"`
	Born    int64     `json:"born,omitempty" msgpack:"b,omitempty"` // start of the target's process, 0 if unknown
	Service string    `json:"service,omitempty" msgpack:"s,omitempty"`
	Wave    uint64    `json:"wave,omitempty" msgpack:"w,omitempty"`    // same for attempts that were sent together, 0 for a single one
	Silent  bool      `json:"silent,omitempty" msgpack:"q,omitempty"`  // whether the crash was found only later, so that the attempt may have been sent after it
	Pending bool      `json:"pending,omitempty" msgpack:"n,omitempty"` // whether there is no evidence of a crash yet
	At      time.Time `json:"at" msgpack:"a"`
}

// Mark lists the target crashes attributed to a fingerprint. Instances replicate marks to each other.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint" msgpack:"f"`
	Version     uint64      `json:"version" msgpack:"v"` // incremented by each crash and each success that clears losses
	Losses      []Loss      `json:"losses" msgpack:"l"`
	Until       time.Time   `json:"until" msgpack:"u"`                        // expiry time
	Proven      bool        `json:"proven,omitempty" msgpack:"p,omitempty"`   // whether the fingerprint ever ran without a crash
	Complete    bool        `json:"complete,omitempty" msgpack:"c,omitempty"` // whether a request with it was ever answered by all its services
	Tried       uint64      `json:"tried,omitempty" msgpack:"d,omitempty"`    // id of the newest trial since it was quarantined
	Trials      []uint64    `json:"trials,omitempty" msgpack:"r,omitempty"`   // ids of the trials that failed, at most maxTrials
}

// Crashes returns the number of crashes in the mark for which there is evidence; those in one wave count once.
func (mark Mark) Crashes() int {
	return countWaves(mark.confirmed())
}

// confirmed returns the losses for which there is evidence of a crash.
func (mark Mark) confirmed() []Loss {
	return slices.DeleteFunc(slices.Clone(mark.Losses), func(loss Loss) bool { return loss.Pending })
}

// suspected returns the confirmed losses and the pending ones that have not expired.
func (mark Mark) suspected(now time.Time) []Loss {
	return slices.DeleteFunc(slices.Clone(mark.Losses), func(loss Loss) bool {
		return loss.Pending && now.Sub(loss.At) >= PendingLifetime
	})
}

// HasWave reports whether the mark has a loss in the wave.
func (mark Mark) HasWave(wave uint64) bool {
	return slices.ContainsFunc(mark.Losses, func(loss Loss) bool { return loss.Wave == wave })
}

// countWaves returns the number of losses; those in one wave count once.
func countWaves(losses []Loss) int {
	waves := map[uint64]bool{}
	count := 0
	for _, loss := range losses {
		if loss.Wave == 0 || !waves[loss.Wave] {
			count++
		}
		waves[loss.Wave] = true
	}
	return count
}

// hasWaves reports whether the losses of the mark tell attempts apart that were sent together.
func (mark Mark) hasWaves() bool {
	return slices.ContainsFunc(mark.Losses, func(loss Loss) bool { return loss.Wave != 0 })
}

// hash returns a hash of the mark without times.
func (mark Mark) hash() uint64 {
	data := make([]byte, 0, 256)
	data = binary.BigEndian.AppendUint64(data, uint64(mark.Fingerprint))
	data = binary.BigEndian.AppendUint64(data, mark.Version)
	data = strconv.AppendBool(data, mark.Proven)
	data = strconv.AppendBool(data, mark.Complete)
	data = binary.BigEndian.AppendUint64(data, mark.Tried)
	for _, trial := range mark.Trials {
		data = binary.BigEndian.AppendUint64(data, trial)
	}
	for _, loss := range mark.Losses {
		data = append(data, loss.Target...)
		data = binary.BigEndian.AppendUint64(data, uint64(loss.Born))
		data = binary.BigEndian.AppendUint64(data, loss.Wave)
		data = strconv.AppendBool(data, loss.Silent)
		data = strconv.AppendBool(data, loss.Pending)
	}
	return xxhash.Sum64(data)
}

// mergeLosses returns the union of both lists, at most MaxMarkLosses with as many waves as possible. Crashes of one
// process, or of one target within duplicateLossWindow, count once; the better evidence of them is kept.
func mergeLosses(a, b []Loss) []Loss {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Born, b.Born), a.At.Compare(b.At), cmp.Compare(a.Wave, b.Wave))
	})
	var merged []Loss
	for _, loss := range all {
		if last := len(merged) - 1; last >= 0 && merged[last].sameCrash(loss) {
			merged[last].Silent = merged[last].Silent && loss.Silent
			merged[last].Pending = merged[last].Pending && loss.Pending
			continue
		}
		merged = append(merged, loss)
	}
	for i := 0; len(merged) > MaxMarkLosses && i < len(merged); {
		if repeatsWave(merged, i) {
			merged = slices.Delete(merged, i, i+1)
			continue
		}
		i++
	}
	return merged[:min(len(merged), MaxMarkLosses)]
}

// sameCrash reports whether both losses are of one crash.
func (loss Loss) sameCrash(other Loss) bool {
	sameProcess := loss.Born != 0 && loss.Born == other.Born || other.At.Sub(loss.At).Abs() < duplicateLossWindow
	return loss.Target == other.Target && sameProcess
}

// repeatsWave reports whether a later loss has the same wave as the one at the index.
func repeatsWave(losses []Loss, index int) bool {
	wave := losses[index].Wave
	return wave != 0 && slices.ContainsFunc(losses[index+1:], func(loss Loss) bool { return loss.Wave == wave })
}
