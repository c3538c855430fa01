// Package intake bounds the memory and the connections that a process holds for others, so that nobody who sends bytes without end, many long
// messages at once, or nothing at all can exhaust them. All that is held counts for one Memory, from its arrival to the end of its use.
package intake
