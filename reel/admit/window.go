package admit

import "time"

const (
	initialWindow       = 32.0                   // concurrent requests
	minWindow           = 2.0                    // concurrent requests
	maxWindow           = 4096.0                 // concurrent requests
	decreaseFactor      = 0.9                    // multiplies the window after an overload refusal
	adjustmentStep      = 0.5                    // scales the additive changes of the window, in requests
	congestedSetpoint   = 0.3                    // fraction of congested requests at which the window is constant
	minDecreaseInterval = 100 * time.Millisecond // least time between two multiplicative decreases
)

// window limits the concurrent requests from the first one on. An overload refusal shrinks it multiplicatively. Otherwise
// it shrinks after each congested request and grows after each uncongested one, by steps that balance when the fraction
// congestedSetpoint of the requests is congested. It grows only while at least half of it is in use.
type window struct {
	size        float64   // its fraction is kept between adjustments
	decreasedAt time.Time // last multiplicative decrease
}

func (window *window) limit() int { return int(window.size) }

// ended adjusts the window after a request, which was one of running.
func (window *window) ended(now time.Time, running int, signal Signal) {
	switch signal {
	case Overloaded:
		if now.Sub(window.decreasedAt) >= minDecreaseInterval {
			window.decreasedAt = now
			window.resize(window.size * decreaseFactor)
		}
	case Congested:
		window.resize(window.size - adjustmentStep*(1-congestedSetpoint))
	case Uncongested:
		if 2*running >= window.limit() {
			window.resize(window.size + adjustmentStep*congestedSetpoint)
		}
	case Neutral:
	}
}

func (window *window) resize(size float64) {
	window.size = min(maxWindow, max(minWindow, size))
}
