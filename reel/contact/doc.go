// Package contact decides whether an instance may accept new work. The right to do so is a lease that an instance
// renews by reading from the platform or by receiving heartbeats of a majority of the voters, which are up to
// MaxVoters instances of the platform's instance list.
package contact
