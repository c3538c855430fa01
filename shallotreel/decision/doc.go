// Package decision logs routing and placement decisions, with sampling of the frequent
// ones.
package decision
