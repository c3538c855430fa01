// Package intake bounds the memory that is taken by messages from outside while they are not complete, so that nobody who sends bytes without
// end, or many long messages at once, can exhaust it.
package intake
