// Package holding hosts one holder machine for each target that this instance holds.
package holding
