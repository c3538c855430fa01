package member

import "math"

// loadStep is the ratio between the uses of two successive levels of load.
const loadStep = 2

// Load is the processor use of an instance that serves callers, as a level. Level 0 means none; the others grow
// geometrically, so that few changes are announced.
type Load uint8

// LoadOf returns the lowest level with at least the use, in thousandths of a core.
func LoadOf(use float64) Load {
	if use < 1 {
		return 0
	}
	return Load(min(1+math.Ceil(math.Log(use)/math.Log(loadStep)), math.MaxUint8))
}

// Use returns the use of the level in thousandths of a core.
func (load Load) Use() float64 {
	if load == 0 {
		return 0
	}
	return math.Pow(loadStep, float64(load-1))
}
