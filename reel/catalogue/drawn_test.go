package catalogue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// truth is what the store and the targets would say, and what one instance was told of it.
type truth struct {
	t       *rapid.T
	now     time.Time
	one     *Catalogue
	peer    *Catalogue     // reads from the first
	serial  uint64         // up to which the peer knows it
	left    map[string]int // newest process of a target that is known to have begun to leave
	seqs    map[string]uint64
	born    map[string]int
	version uint64
}

func (truth *truth) report(id string, leaving bool) {
	truth.seqs[id]++
	truth.one.Register(truth.target(id, truth.seqs[id], leaving))
	if leaving {
		truth.left[id] = truth.born[id]
	}
}

func (truth *truth) target(id string, seq uint64, leaving bool) Target {
	target := target(id, seq)
	target.Born, target.Leaving = int64(truth.born[id]), leaving
	return target
}

func (truth *truth) ask() {
	delta := truth.one.Since(truth.serial)
	truth.peer.Answered(truth.now)
	truth.peer.Apply(truth.now, delta, truth.serial == 0)
	truth.serial = delta.Serial
}

func (truth *truth) check() {
	for name, catalogue := range map[string]*Catalogue{"the reader": truth.one, "its peer": truth.peer} {
		for _, target := range catalogue.View().Targets("menus") {
			if left, ok := truth.left[target.ID]; ok && name == "the reader" && target.Born <= int64(left) {
				truth.t.Fatalf("%s offers %s, which began to leave as process %d", name, target.ID, left)
			}
		}
		if configuration := catalogue.Configuration(); configuration != nil && configuration.Version > truth.version {
			truth.t.Fatalf("%s knows a version that nobody wrote", name)
		}
	}
}

// TestDrawn draws reports old and new, drains, restarts, removals, outages and versions, and checks that no version
// falls, that no process that began to leave comes back, and that a peer that asks ends with the same view.
func TestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := &truth{t: t, now: epoch, one: New(), peer: New(), left: map[string]int{}, seqs: map[string]uint64{},
			born: map[string]int{}}
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("in-", rapid.IntRange(0, 3).Draw(t, "target"))
			switch rapid.SampledFrom([]string{"beat", "drain", "old", "restart", "remove", "fail", "answer", "version",
				"old version", "ask", "list"}).Draw(t, "step") {
			case "beat":
				truth.report(id, false)
			case "drain":
				truth.born[id] = max(truth.born[id], 1)
				truth.report(id, true)
			case "old":
				if seq := truth.seqs[id]; seq > 1 {
					truth.one.Register(truth.target(id, rapid.Uint64Range(1, seq-1).Draw(t, "seq"), false))
				}
			case "restart":
				truth.born[id]++
				truth.seqs[id] = 0
				truth.report(id, false)
			case "remove":
				truth.one.Remove(truth.now, id)
			case "fail":
				truth.one.Failed()
			case "answer":
				truth.one.Answered(truth.now)
			case "version":
				truth.version++
				truth.one.Configure(NewConfiguration(truth.version, nil, nil, Limits{}))
			case "old version":
				truth.one.Configure(NewConfiguration(rapid.Uint64Range(0, truth.version).Draw(t, "version"), nil, nil, Limits{}))
			case "ask":
				truth.ask()
			case "list":
				truth.one.BeginListing()
				truth.report(id, false)
				truth.one.EndListing(truth.now)
			}
			if configuration := truth.one.Configuration(); configuration != nil {
				if configuration.Version < newest {
					t.Fatalf("version %d after %d", configuration.Version, newest)
				}
				newest = configuration.Version
			}
			truth.check()
			truth.now = truth.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			truth.one.Tick(truth.now)
			truth.peer.Tick(truth.now)
		}
		truth.settle()
	})
}

// settle lets lapses end and checks that reader and peer agree.
func (truth *truth) settle() {
	truth.one.Answered(truth.now)
	truth.now = truth.now.Add(2 * lapseTerm)
	truth.one.Tick(truth.now)
	truth.ask()
	truth.now = truth.now.Add(2 * lapseTerm)
	truth.peer.Tick(truth.now)
	ids := func(catalogue *Catalogue) []string {
		var ids []string
		for _, target := range catalogue.View().Targets("menus") {
			ids = append(ids, fmt.Sprint(target.ID, " process ", target.Born))
		}
		return ids
	}
	if one, peer := ids(truth.one), ids(truth.peer); !slices.Equal(one, peer) {
		truth.t.Fatalf("the reader offers %v, its peer %v", one, peer)
	}
}
