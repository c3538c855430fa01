package helper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotreel.example/reel/member"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet returns members of the data centres, each of the given size, of which those with the prefix reach no target.
func fleet(size int, lost string, dataCentres ...string) []member.Member {
	var members []member.Member
	for _, dataCentre := range dataCentres {
		for number := range size {
			name := fmt.Sprintf("%s-%d", dataCentre, number)
			members = append(members, member.Member{Name: name, DataCentre: dataCentre, State: member.Alive,
				PathLost: lost != "" && strings.HasPrefix(name, lost)})
		}
	}
	return members
}

// assertHelpers checks the data centres of the helpers of requests that are asked one after another.
func assertHelpers(t *testing.T, selector *Selector, tried []string, want ...string) {
	t.Helper()
	for _, dataCentre := range want {
		helper, ok := selector.Begin(epoch, tried)
		if !ok && dataCentre == "" {
			continue
		}
		if !ok || !strings.HasPrefix(helper.Name, dataCentre) {
			t.Fatalf("the helper is %q, want one of data centre %q", helper.Name, dataCentre)
		}
		tried = append(tried, helper.Name)
	}
}

func TestBegin(t *testing.T) {
	self := member.Member{Name: "a-0", DataCentre: "a"}
	newSelector := func(members []member.Member) *Selector {
		selector := New(self)
		selector.SetMembers(members)
		return selector
	}
	t.Run("near ones go first, far ones are in reserve", func(t *testing.T) {
		assertHelpers(t, newSelector(fleet(3, "a-0", "a", "b")), nil, "a", "a", "b", "b", "b", "")
	})
	t.Run("members without a path are left out", func(t *testing.T) {
		assertHelpers(t, newSelector(fleet(3, "a", "a", "b")), nil, "b", "b", "b", "")
		assertHelpers(t, newSelector(fleet(3, "a", "a")), nil, "")
	})
	t.Run("requests are spread by those that are running", func(t *testing.T) {
		selector := newSelector(fleet(4, "a-0", "a"))
		counts := map[string]int{}
		for range 9 {
			helper, _ := selector.Begin(epoch, nil)
			counts[helper.Name]++
		}
		for name, count := range counts {
			if count != 3 {
				t.Errorf("%s gets %d of 9 requests, want 3", name, count)
			}
		}
	})
	t.Run("a helper that fails is avoided for longer each time", func(t *testing.T) {
		selector := newSelector(fleet(2, "a-0", "a", "b"))
		for now, backoff := epoch, minBackoff; backoff < maxBackoff; now, backoff = now.Add(backoff), 2*backoff {
			helper, _ := selector.Begin(now, nil)
			if !helper.Near {
				t.Fatalf("after its backoff, the near helper is not tried again but %s", helper.Name)
			}
			selector.End(now, helper.Name, false)
			if other, _ := selector.Begin(now.Add(backoff-1), nil); other.Near {
				t.Errorf("the helper is used within %v after its failure", backoff)
			}
		}
	})
}

// TestDataCentreWithoutPath guards against helpers that all instances of a large data centre choose at the same time.
func TestDataCentreWithoutPath(t *testing.T) {
	members := fleet(230, "dc0-", "dc0-", "dc1-", "dc2-", "dc3-", "dc4-", "dc5-", "dc6-", "dc7-", "dc8-", "dc9-")
	counts := map[string]int{}
	for _, lost := range members[:230] {
		selector := New(lost)
		selector.SetMembers(members)
		helper, _ := selector.Begin(epoch, nil)
		counts[helper.Name]++
		if len(selector.candidates) > maxNear+maxFar {
			t.Fatalf("%d candidates", len(selector.candidates))
		}
	}
	for name, count := range counts {
		if count > 12 { // 230 instances over 144 in the working sets of the other data centres
			t.Errorf("%s is the first helper of %d instances", name, count)
		}
	}
}
