package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	sharePeriod    = 50 * time.Millisecond  // between two computations of the shares
	demandTime     = 200 * time.Millisecond // time constant of the recent demand
	ordinaryTime   = 20 * time.Second       // time constant of the ordinary demand, which weights the shares, while there is no limit
	frozenFactor   = 20                     // factor on ordinaryTime while there is a limit, so that a flood gains little weight
	maxGrowth      = 2.0                    // greatest demand that counts as ordinary, as a multiple of the ordinary one before
	settledPeriods = 10                     // after which an average counts as ordinary
	minShare       = 0.65                   // part of its share by ordinary demand that each class keeps at least
	maxRank        = 7                      // greatest rank; greater ones count as this one
	classTTL       = time.Minute            // without requests, after which a class is deleted
	minOrdinary    = 0.1                    // requests a second, so that the weight of a class is above 0
	retryDebt      = 2.0                    // requests by which retries in time may exceed the share of their class
	creditCap      = 1.0                    // requests that a class may save up
)

// class is the requests of one kind and rank within a machine.
type class struct {
	kind     string
	rank     int
	arrivals int     // in this period
	demand   float64 // requests a second, recently
	ordinary float64 // requests a second, over a longer time
	periods  int     // that ordinary averages
	share    float64 // part of the demand that is admitted, from 0 to 1
	credit   float64 // requests that may be admitted
	usedAt   time.Time
}

// shares divides what may be admitted between classes. Each class keeps a part of its ordinary share. The rest goes by rank, and within
// a rank by ordinary demand, first to what is ordinary, so that a flood gets what is left after all ranks. Requests above the share of
// their class are refused evenly.
type shares struct {
	classes   []*class
	periods   int // since the start
	updatedAt time.Time
}

// classOf returns the class, created if necessary.
func (shares *shares) classOf(now time.Time, kind string, rank int) *class {
	found := shares.find(kind, rank)
	if found == nil {
		found = &class{kind: kind, rank: rank, share: 1, periods: shares.periods}
		shares.classes = append(shares.classes, found)
	}
	found.usedAt = now
	return found
}

// find returns the class, or nil if there is none.
func (shares *shares) find(kind string, rank int) *class {
	for _, class := range shares.classes {
		if class.kind == kind && class.rank == rank {
			return class
		}
	}
	return nil
}

// limitsLowerRank reports whether a class of a lower rank gets less than its demand.
func (shares *shares) limitsLowerRank(rank int) bool {
	return slices.ContainsFunc(shares.classes, func(class *class) bool { return class.rank > rank && class.share < 1 })
}

// update computes the shares of the rate, a function of the time elapsed, once in a period.
func (shares *shares) update(now time.Time, rateAfter func(elapsed time.Duration) float64) {
	elapsed := now.Sub(shares.updatedAt)
	if elapsed < sharePeriod {
		return
	}
	if shares.updatedAt.IsZero() {
		shares.updatedAt = now
		return
	}
	shares.updatedAt = now
	shares.periods++
	rate := rateAfter(elapsed)
	shares.classes = slices.DeleteFunc(shares.classes, func(class *class) bool { return now.Sub(class.usedAt) >= classTTL })
	mean := shares.ordinary() / float64(max(len(shares.classes), 1))
	for _, class := range shares.classes {
		class.measure(elapsed, !math.IsInf(rate, 1), mean)
	}
	shares.divide(rate)
}

// measure updates the averages of the demand; mean is the mean ordinary demand of all classes. A flood that has just begun, before
// it shows in the targets, counts as a growth of the ordinary demand in part only.
func (class *class) measure(elapsed time.Duration, limited bool, mean float64) {
	current := float64(class.arrivals) / elapsed.Seconds()
	class.arrivals = 0
	class.periods++
	class.demand += max(gain(elapsed, demandTime), 1/float64(class.periods)) * (current - class.demand)
	slow := max(gain(elapsed, ordinaryTime), 1/float64(class.periods))
	if class.periods > settledPeriods {
		current = min(current, maxGrowth*max(class.weight(), mean))
		if limited {
			slow /= frozenFactor
		}
	}
	class.ordinary += slow * (current - class.ordinary)
}

// gain returns the weight of the newest sample in a moving average over the time.
func gain(elapsed, over time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
}

// divide gives each class its minimum, and divides the rest by rank.
func (shares *shares) divide(rate float64) {
	total, demand := shares.ordinary(), 0.0
	for _, class := range shares.classes {
		demand += class.demand
	}
	if demand <= rate {
		for _, class := range shares.classes {
			class.share = 1
		}
		return
	}
	granted := make(map[*class]float64, len(shares.classes))
	left := rate
	for _, class := range shares.classes {
		granted[class] = min(class.demand, minShare*rate*class.weight()/total)
		left -= granted[class]
	}
	byRank := slices.SortedStableFunc(slices.Values(shares.classes), func(a, b *class) int { return cmp.Compare(a.rank, b.rank) })
	ordinary := func(class *class) float64 { return min(class.demand, class.ordinaryAtMost()) }
	recent := func(class *class) float64 { return class.demand }
	for _, wanted := range []func(*class) float64{ordinary, recent} {
		for first := 0; first < len(byRank); {
			last := first
			for last < len(byRank) && byRank[last].rank == byRank[first].rank {
				last++
			}
			left = fill(byRank[first:last], granted, wanted, left)
			first = last
		}
	}
	for _, class := range shares.classes {
		class.share = 1
		if class.demand > 0 {
			class.share = min(1, granted[class]/class.demand)
		}
	}
}

// ordinary returns the ordinary demand of all classes.
func (shares *shares) ordinary() float64 {
	total := 0.0
	for _, class := range shares.classes {
		total += class.weight()
	}
	return total
}

// fill raises what is granted to classes of one rank by their weights, up to what they want, and returns what is left.
func fill(classes []*class, granted map[*class]float64, wanted func(*class) float64, left float64) float64 {
	open := slices.DeleteFunc(slices.Clone(classes), func(class *class) bool { return granted[class] >= wanted(class) })
	for len(open) > 0 && left > 0 {
		total := 0.0
		for _, class := range open {
			total += class.weight()
		}
		rest, satisfied := left, false
		for _, class := range open {
			part := left * class.weight() / total
			missing := wanted(class) - granted[class]
			if missing <= part {
				granted[class], satisfied = wanted(class), true
				rest -= missing
			}
		}
		if !satisfied {
			for _, class := range open {
				granted[class] += left * class.weight() / total
			}
			return 0
		}
		left = rest
		open = slices.DeleteFunc(open, func(class *class) bool { return granted[class] >= wanted(class) })
	}
	return max(left, 0)
}

func (class *class) weight() float64 { return max(class.ordinary, minOrdinary) }

// ordinaryAtMost returns the ordinary demand with twice the standard deviation of the recent demand for arrivals at random.
func (class *class) ordinaryAtMost() float64 {
	return class.weight() + 2*math.Sqrt(class.weight()/(2*demandTime.Seconds()))
}

// take reports whether the share of the class allows a request now. A retry in time may exceed the share by retryDebt requests.
func (class *class) take(returned bool) bool {
	if class.share >= 1 {
		class.credit = 0
		return true
	}
	class.credit = min(class.credit+class.share, creditCap)
	least := 1.0
	if returned {
		least -= retryDebt
	}
	if class.credit < least {
		return false
	}
	class.credit--
	return true
}
