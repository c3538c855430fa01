// Package queue implements a weighted fair queue with virtual time.
package queue
