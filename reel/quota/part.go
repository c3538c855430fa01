package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnShare is the share of the rate for the instances that hold no part of it, if there are any.
	turnShare = 0.1
	// nearShare is the share of the rest for the instances near the target, if there are others.
	nearShare = 0.7
	// minPart is the least part of an instance in requests a second, if the rate is larger. Smaller parts would all be saved
	// up during a pause and spent at once after it.
	minPart = 1.0
	// minRate is the rate in requests a second of a target that names a lower one, so that one that names 0 can still say
	// when it takes requests again.
	minRate = 0.1
	// minTurn is the least length of a turn.
	minTurn = 250 * time.Millisecond
)

// Member is an instance that may send requests to the target.
type Member struct {
	Name string
	Near bool // whether the target is the instance's first choice, by its data centre
	Idle bool // whether callers are not sent to the instance
}

// Part is the part of a target's rate that belongs to one instance.
type Part struct {
	Rate    float64       // requests a second, 0 for an instance that takes turns
	Turn    time.Duration // length of each turn
	OwnTurn int64         // number of the current turn if it is this instance's, or 0
}

// Of returns the part at now of the instance named self, one of the members, in a rate in requests a second of the target.
// An instance that takes turns must ask again for each of them.
func Of(now time.Time, rate float64, target, self string, members []Member) Part {
	rate = max(rate, minRate)
	part := Part{Turn: max(minTurn, time.Duration(float64(time.Second)/(turnShare*rate)))}
	own := rank(target, self)
	var near, far group
	var isNear, isIdle bool
	for _, member := range members {
		if member.Name == self {
			isNear, isIdle = member.Near, member.Idle
		}
		before := rank(target, member.Name) < own
		switch {
		case member.Idle:
		case member.Near:
			near.add(before)
		default:
			far.add(before)
		}
	}
	nearRate, farRate := nearShare*rate, (1-nearShare)*rate
	switch {
	case far.size == 0:
		nearRate, farRate = rate, 0
	case near.size == 0:
		nearRate, farRate = 0, rate
	}
	if near.holders(nearRate)+far.holders(farRate) < len(members) {
		nearRate, farRate = (1-turnShare)*nearRate, (1-turnShare)*farRate
	}
	switch {
	case isIdle:
	case isNear:
		part.Rate = near.part(nearRate)
	default:
		part.Rate = far.part(farRate)
	}
	if turn := part.turnAt(now); part.Rate == 0 && holdsTurn(target, self, turn, members) {
		part.OwnTurn = turn
	}
	return part
}

// turnAt returns the number of the turn at now.
func (part Part) turnAt(now time.Time) int64 {
	return now.UnixNano() / max(int64(part.Turn), 1)
}

// turnEnd returns the end of the turn at now.
func (part Part) turnEnd(now time.Time) time.Time {
	return time.Unix(0, (part.turnAt(now)+1)*int64(part.Turn))
}

// holdsTurn reports whether the turn is that of the instance. A member that joins or is lost changes the holders of few turns.
func holdsTurn(target, instance string, turn int64, members []Member) bool {
	seed := xxhash.Sum64String(target) ^ uint64(turn)*turnMultiplier
	own := mix(seed, instance)
	for _, member := range members {
		if member.Name != instance && mix(seed, member.Name) > own {
			return false
		}
	}
	return true
}

// turnMultiplier spreads the numbers of consecutive turns over all bits.
const turnMultiplier = 0x9e3779b97f4a7c15

// mix returns a hash of the seed and the name.
func mix(seed uint64, name string) uint64 {
	hash := (xxhash.Sum64String(name) ^ seed) * turnMultiplier
	return hash ^ hash>>29*turnMultiplier
}

// group is the instances that hold equal parts of a share of the rate.
type group struct {
	size   int
	before int // instances that hold a part before this one does
}

func (group *group) add(before bool) {
	group.size++
	if before {
		group.before++
	}
}

// holders returns how many instances hold a part of the rate.
func (group group) holders(rate float64) int {
	return min(group.size, max(1, int((1-turnShare)*rate/minPart)))
}

// part returns this instance's part of the rate, or 0 if others hold it.
func (group group) part(rate float64) float64 {
	holders := group.holders(rate)
	if group.before >= holders {
		return 0
	}
	return rate / float64(holders)
}

// rank is the order in which instances hold parts, another one for each target.
func rank(target, instance string) uint64 {
	return xxhash.Sum64String(target + "\x00" + instance)
}
