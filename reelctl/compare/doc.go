// Package compare tells what a switch from one configuration to another would change.
package compare
