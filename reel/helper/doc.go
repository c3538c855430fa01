// Package helper selects the instances that serve requests for an instance that reaches no target itself.
//
// Each instance has a few candidates of its own, near ones first, so that those that look for help at the same time do not
// all choose the same one. Among its candidates it takes the one at which the fewest of its requests are running.
package helper
