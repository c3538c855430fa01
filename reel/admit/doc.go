// Package admit decides at an entry which requests start, which wait and which are refused.
package admit
