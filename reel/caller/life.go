package caller

import (
	"sync"
	"time"
)

const (
	lifePeriod = 250 * time.Millisecond // between two checks, and the least time that one may take
	lifeMost   = 2 * time.Second        // that one may take
	lifeFactor = 4                      // times what checks took of late
	lifeWeight = 0.3                    // of a check that took longer than the others
	lifeFade   = 0.05                   // of one that took less
)

// life learns how long checks of life take: instances under load are slow before they are silent, and giving up
// those that live moves their load to others.
type life struct {
	mutex sync.Mutex
	took  time.Duration
}

func (life *life) learn(took time.Duration) {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	weight := lifeFade
	if took > life.took {
		weight = lifeWeight
	}
	life.took += time.Duration(weight * float64(took-life.took))
}

// patience is how long a check may take.
func (life *life) patience() time.Duration {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	return min(max(lifeFactor*life.took, lifePeriod), lifeMost)
}
