package warmup

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/quota"
)

const (
	// spreadTime is the time within which the instances learn of a change of the members. An instance that is new to them, or
	// that begins to serve callers, holds no part of any rate before.
	spreadTime = 3 * time.Second
	// lostRetention is the time for which a lost instance keeps its part, since it may still run and send behind a partition.
	lostRetention = 10 * time.Minute
	// maxUnaware is the greatest number of lost instances in the data centre that may not know this one, at which it still holds
	// parts. Each of them may use a part that this instance holds, too.
	maxUnaware = 1
	// leavingRetention is the lostRetention for an instance that was leaving when it was lost, and will have ended by then.
	leavingRetention = time.Minute
)

// Member is an instance of the fleet as the membership protocol knows it.
type Member struct {
	Name       string
	DataCentre string
	Idle       bool // whether callers are not sent to it
	Leaving    bool
	Lost       bool // whether it does not answer
}

// Senders is the instances that may send requests: the members, and those that were members until recently.
type Senders struct {
	self      Member
	known     map[string]*sender
	readyAt   time.Time // when this instance knew the members, zero before
	divided   *quota.Division
	counted   []quota.Sender
	dividedAt time.Time
	unaware   int    // lost instances in the own data centre that may not know this one
	version   uint64 // increases when the division may have changed
}

// sender is an instance and what was last known of it.
type sender struct {
	Member
	lostAt time.Time // zero while it is a member that answers
	busyAt time.Time // when it was last one that callers are sent to
	since  time.Time // since when it is one without a break
}

// NewSenders returns the senders of an instance that knows only itself, and does not know yet whether there are others.
func NewSenders(self Member) *Senders {
	return &Senders{self: self, known: map[string]*sender{}, divided: quota.Divide(nil)}
}

// Complete records that this instance knows the members of the fleet, or that it is the only one.
func (senders *Senders) Complete(now time.Time) {
	if senders.readyAt.IsZero() {
		senders.readyAt = now
		senders.divide(now)
	}
}

// Update records the members. One that is missing is treated as lost.
func (senders *Senders) Update(now time.Time, members []Member) {
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Name] = true
		senders.record(now, member)
	}
	for name, sender := range senders.known {
		switch {
		case listed[name]:
		case sender.lostAt.IsZero():
			sender.lostAt = now
		case sender.isOver(now):
			delete(senders.known, name)
		}
	}
	senders.divide(now)
}

func (senders *Senders) record(now time.Time, member Member) {
	known, ok := senders.known[member.Name]
	if !ok {
		known = &sender{}
		senders.known[member.Name] = known
	}
	if member.Lost {
		if !ok {
			known.Member = member
		}
		if known.lostAt.IsZero() {
			known.lostAt = now
		}
		return
	}
	known.lostAt = time.Time{}
	wasBusy := ok && !known.Idle
	if wasBusy || !member.Idle {
		known.busyAt = now
	}
	if !wasBusy && !member.Idle {
		known.since = now
	}
	known.Member = member
}

// divide computes the division between the senders that count.
func (senders *Senders) divide(now time.Time) {
	var counted []quota.Sender
	senders.unaware = 0
	for name, sender := range senders.known {
		if sender.isOver(now) {
			continue
		}
		if senders.mayNotKnowSelf(sender) {
			senders.unaware++
		}
		counted = append(counted, quota.Sender{Name: name, DataCentre: sender.DataCentre, Idle: sender.isIdle(now)})
	}
	senders.dividedAt = now
	slices.SortFunc(counted, func(a, b quota.Sender) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(counted, senders.counted) {
		return
	}
	senders.divided, senders.counted = quota.Divide(counted), counted
	senders.version++
}

// mayNotKnowSelf reports whether the sender was lost before it certainly knew this instance. Its division may then lack this instance.
func (senders *Senders) mayNotKnowSelf(sender *sender) bool {
	return sender.DataCentre == senders.self.DataCentre && !sender.Leaving && !sender.lostAt.IsZero() &&
		(senders.readyAt.IsZero() || sender.lostAt.Before(senders.readyAt.Add(spreadTime)))
}

// isOver reports whether the sender was lost so long ago that it does not count. It is kept while it is listed as lost, so that it
// is not taken for one that was lost only now.
func (sender *sender) isOver(now time.Time) bool {
	retention := lostRetention
	if sender.Leaving {
		retention = leavingRetention
	}
	return !sender.lostAt.IsZero() && now.Sub(sender.lostAt) >= retention
}

// isIdle reports whether the sender certainly gets no requests from callers. A lost one may get those of other idle ones
// that this instance does not see.
func (sender *sender) isIdle(now time.Time) bool {
	switch {
	case !sender.lostAt.IsZero(), !sender.Idle:
		return false
	case sender.busyAt.IsZero():
		return true
	}
	return now.Sub(sender.busyAt) >= spreadTime
}

// mayHold reports whether the other instances know that this one may hold a part of a rate.
func (senders *Senders) mayHold(now time.Time) bool {
	self, ok := senders.known[senders.self.Name]
	if !ok || self.Idle || senders.unaware > maxUnaware || senders.readyAt.IsZero() {
		return false
	}
	return now.Sub(senders.readyAt) >= spreadTime && now.Sub(self.since) >= spreadTime
}

// part returns this instance's part of the rate of the target in requests a second.
func (senders *Senders) part(now time.Time, rate float64, target, dataCentre string) float64 {
	if !senders.mayHold(now) {
		return 0
	}
	return senders.divided.Part(rate, target, dataCentre, quota.Sender{Name: senders.self.Name, DataCentre: senders.self.DataCentre})
}

// refresh divides again once the passage of time alone may have changed which senders count.
func (senders *Senders) refresh(now time.Time) {
	if now.Sub(senders.dividedAt) >= spreadTime {
		senders.divide(now)
	}
}
