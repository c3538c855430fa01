// Package holding implements the holder role of an instance: for each target assigned to the instance, one actor runs
// the state machine of package holder, keeps the connections to the target, and polls its status.
package holding
