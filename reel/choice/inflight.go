package choice

// InFlight returns the number of attempts in flight at targets of the data centre.
func (selector *Selector) InFlight(dataCentre string) int {
	count := 0
	for _, targetHealth := range selector.targets {
		for _, attempt := range targetHealth.inFlight {
			if attempt.DataCentre == dataCentre {
				count++
			}
		}
	}
	return count
}
