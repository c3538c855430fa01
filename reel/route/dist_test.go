package route

import (
	"fmt"
	"testing"
)

func TestTargetsAreDistributedEvenly(t *testing.T) {
	holders := NewHolders(1, instances(9))
	targetsByHolder := map[string]int{}
	for shard := range 100 {
		for replica := range 3 {
			name := fmt.Sprintf("chef-planner/%d/%d", shard+1, replica+1)
			targetsByHolder[holders.Rank(name, fmt.Sprintf("dc%d", replica), 1)[0].Name]++
		}
	}
	for name, targets := range targetsByHolder {
		if targets < 20 || targets > 50 {
			t.Errorf("%s holds %d of 300 targets over 9 instances", name, targets)
		}
	}
	t.Log(targetsByHolder)
}
