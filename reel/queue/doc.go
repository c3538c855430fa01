// Package queue holds waiting work and serves its classes by weighted fair share.
package queue
