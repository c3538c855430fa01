package query

// Spent is what an instance has sent of one part of a request that goes on at another instance.
type Spent struct {
	Service string
	Runs    int  // attempts that ran, may have run or may still run
	Arrived bool // whether the service may have received any attempt, so that the next one is an extra attempt
}

// Withdraw ends the machine because the request goes on at another instance, and returns the parts of which anything may have been
// sent. The function reports whether any byte was sent of an attempt that is in flight.
func (machine *Machine) Withdraw(wasSent func(attemptID uint64) bool) []Spent {
	for id, attempt := range machine.attempts {
		if wasSent(id) {
			attempt.part.mayHaveArrived = true
		} else {
			attempt.part.possibleRuns--
		}
	}
	clear(machine.attempts)
	machine.Cancel()
	var spent []Spent
	for _, part := range machine.parts {
		if part.possibleRuns > 0 || part.mayHaveArrived {
			spent = append(spent, Spent{part.service, part.possibleRuns, part.mayHaveArrived})
		}
	}
	return spent
}

// MayHaveRun reports whether any attempt ran, may have run or may still run.
func (machine *Machine) MayHaveRun() bool { return machine.mayHaveRun() }

// Spent returns the attempts that ran, may have run or may still run, with those of earlier instances, by service.
func (machine *Machine) Spent() map[string]int {
	spent := map[string]int{}
	for _, part := range machine.parts {
		if part.possibleRuns > 0 {
			spent[part.service] = part.possibleRuns
		}
	}
	return spent
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
