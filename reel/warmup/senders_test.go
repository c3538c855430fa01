package warmup

import (
	"fmt"
	"testing"
	"time"
)

// TestWhoCounts checks at second 10 how many instances share a rate, of which none has a part that others may not know of. It guards
// against parts that grow while others still use theirs.
func TestWhoCounts(t *testing.T) {
	members := func(count int, change func(members []Member)) []Member {
		var members []Member
		for i := range count {
			members = append(members, Member{Name: fmt.Sprint("front-", i), DataCentre: "a"})
		}
		if change != nil {
			change(members)
		}
		return members
	}
	second := func(change func(member *Member)) func([]Member) {
		return func(members []Member) { change(&members[1]) }
	}
	others := func(change func(member *Member)) func([]Member) {
		return func(members []Member) {
			for i := range members[1:] {
				change(&members[1+i])
			}
		}
	}
	self := func(change func(member *Member)) func([]Member) {
		return func(members []Member) { change(&members[0]) }
	}
	idle := func(member *Member) { member.Idle = true }
	lost := func(member *Member) { member.Lost = true }
	for _, test := range []struct {
		name  string
		first []Member // at second 0
		then  []Member // at thenAt
		at    time.Duration
		want  float64 // this instance's part of 20 requests a second at second 10
	}{
		{"two instances", members(2, nil), members(2, nil), 0, 10},
		{"the other one is lost", members(2, nil), members(2, second(lost)), time.Second, 10},
		{"the other one is not listed any more", members(2, nil), members(1, nil), time.Second, 10},
		{"the other one was lost long ago", members(2, nil), members(2, second(lost)), -lostRetention, 20},
		{"the other one was leaving when it was lost", members(2, second(func(member *Member) { member.Leaving = true })), members(2, second(lost)), -leavingRetention, 20},
		{"two others were lost before they knew this one", members(3, nil), members(3, others(lost)), 2 * time.Second, 0},
		{"two others knew this one before they were lost", members(3, nil), members(3, others(lost)), 5 * time.Second, 20.0 / 3},
		{"the other one is idle", members(2, second(idle)), members(2, second(idle)), 0, 20},
		{"an idle one is lost, and may serve where this one cannot see it", members(2, second(idle)), members(2, second(lost)), time.Second, 10},
		{"the other one has just become idle", members(2, nil), members(2, second(idle)), 8 * time.Second, 10},
		{"the other one became idle some time ago", members(2, nil), members(2, second(idle)), 6 * time.Second, 20},
		{"this one has just begun to serve", members(2, self(idle)), members(2, nil), 8 * time.Second, 0},
		{"this one began to serve some time ago", members(2, self(idle)), members(2, nil), 6 * time.Second, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			senders := NewSenders(Member{Name: "front-0", DataCentre: "a"})
			begin := min(test.at, 0)
			senders.Update(epoch.Add(begin), test.first)
			senders.Complete(epoch.Add(begin))
			senders.Update(epoch.Add(test.at), test.then)
			now := epoch.Add(10 * time.Second)
			senders.refresh(now)
			if got := senders.part(now, 20, "i-1", "a"); got != test.want {
				t.Errorf("the part is %v, want %v", got, test.want)
			}
		})
	}
}
