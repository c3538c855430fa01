package main

func budgetOfLoneInstances() bool { return false }
func leavingAfterHandOver() bool  { return false }
