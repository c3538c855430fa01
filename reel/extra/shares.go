package extra

// spareShare is the part of the slack for instances outside the working sets, which get requests only from callers that
// keep old addresses.
const spareShare = 0.2

// Shares divides the slack among the instances. Instances that are forgotten, for example after a partition, keep their
// shares. The zero value assumes that there is no other instance.
type Shares struct {
	working int // highest number of instances in the working sets at one time
	spare   int // highest number of other instances
}

// SetInstances sets the numbers of instances in the working sets of all data centres and outside of them.
func (shares *Shares) SetInstances(working, spare int) {
	shares.working = max(shares.working, working)
	shares.spare = max(shares.spare, spare)
}

// Of returns the part of the slack, between 0 and 1, that belongs to an instance.
func (shares *Shares) Of(isSpare bool) float64 {
	switch {
	case isSpare:
		return spareShare / float64(max(shares.spare, 1))
	case shares.spare == 0:
		return 1 / float64(max(shares.working, 1))
	default:
		return (1 - spareShare) / float64(max(shares.working, 1))
	}
}
