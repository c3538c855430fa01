package admit

import "slices"

// serviceLoads is the load that sub-requests met in one reaction time, by service. The load of the group is that of its median service: an
// overload by the number of requests shows at most services of a scatter-gather request, while targets that are down or refuse without
// load show at a few.
type serviceLoads map[string]*pressure

type pressure struct {
	attempts int
	sum      float64
}

// add records a sub-request at the service that met the load, from 0 to 1.
func (serviceLoads serviceLoads) add(service string, load float64) {
	known, ok := serviceLoads[service]
	if !ok {
		known = &pressure{}
		serviceLoads[service] = known
	}
	known.attempts++
	known.sum += load
}

// median returns the average load of the median service, the lower one of two, or 0 without any.
func (serviceLoads serviceLoads) median() float64 {
	if len(serviceLoads) == 0 {
		return 0
	}
	averages := make([]float64, 0, len(serviceLoads))
	for _, known := range serviceLoads {
		averages = append(averages, known.sum/float64(known.attempts))
	}
	slices.Sort(averages)
	return averages[(len(averages)-1)/2]
}
