package catalogue

import "time"

// coldTolerance is the difference between two reports of the end of a cold period below which they are the same one. A report
// may be read a while after it was made.
const coldTolerance = time.Second

// ColdUntil returns the end of the target's cold period as reported, zero if it was not cold or that is unknown.
func (target Target) ColdUntil() time.Time {
	if target.ColdLeft <= 0 || target.ColdAt.IsZero() {
		return time.Time{}
	}
	return target.ColdAt.Add(target.ColdLeft)
}

// coldDiffers reports whether the newer report of the target tells of another cold period than the known one. A period that has
// only counted down, or has ended in time, is the same one.
func (target Target) coldDiffers(known Target) bool {
	if target.ColdAt.IsZero() || known.ColdAt.IsZero() {
		return !target.ColdAt.IsZero() && target.ColdLeft > 0
	}
	left := max(known.ColdUntil().Sub(target.ColdAt), 0)
	return (target.ColdLeft-left).Abs() > coldTolerance || target.ColdLeft > 0 && left == 0 && target.ColdUntil().Sub(known.ColdUntil()) > coldTolerance
}
