// Package decision writes one log line for each routing or placement decision, sampled at high rates.
package decision
