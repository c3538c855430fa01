package admit

import "slices"

// pressures is the load that sub-requests met in one reaction time, by service. The load of the group is that of its median service: an
// overload by the number of requests shows at most services of a scatter-gather request, while targets that are down or refuse without
// load show at a few.
type pressures map[string]*pressure

type pressure struct {
	attempts int
	sum      float64
}

// add records a sub-request at the service that met the load, from 0 to 1.
func (pressures pressures) add(service string, load float64) {
	known, ok := pressures[service]
	if !ok {
		known = &pressure{}
		pressures[service] = known
	}
	known.attempts++
	known.sum += load
}

// median returns the average load of the median service, the lower one of two, or 0 without any.
func (pressures pressures) median() float64 {
	if len(pressures) == 0 {
		return 0
	}
	averages := make([]float64, 0, len(pressures))
	for _, known := range pressures {
		averages = append(averages, known.sum/float64(known.attempts))
	}
	slices.Sort(averages)
	return averages[(len(averages)-1)/2]
}
