// Package softdeadline estimates how much of a caller's timeout has passed when its request arrives, and by when an
// answer must be sent to meet the latency goal of the route. Callers state only the time that they still wait.
package softdeadline
