package query

// Withdraw ends the machine because the request goes on at another instance, and returns the services that may have received an
// attempt, to which the next one is an extra attempt. The function reports whether any byte was sent of an attempt that is in flight.
func (machine *Machine) Withdraw(wasSent func(attemptID uint64) bool) []string {
	for id, attempt := range machine.attempts {
		if wasSent(id) {
			attempt.part.mayHaveArrived, machine.endedMayHaveRun = true, true
		} else {
			attempt.part.possibleRuns--
		}
	}
	clear(machine.attempts)
	machine.Cancel()
	var services []string
	for _, part := range machine.parts {
		if part.mayHaveArrived {
			services = append(services, part.service)
		}
	}
	return services
}

// HasEnough reports whether the answers that have arrived make up an answer to the caller, so that the request need not go on
// elsewhere.
func (machine *Machine) HasEnough() bool {
	return machine.isScatterGather() && machine.meetsLeastShare(machine.answered())
}

// answered returns the number of parts with an answer.
func (machine *Machine) answered() int {
	answered := 0
	for _, part := range machine.parts {
		if part.answer != nil {
			answered++
		}
	}
	return answered
}
