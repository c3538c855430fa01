// Package servers stands in for targets: it serves their protocol, injects faults and counts the truth.
package servers
