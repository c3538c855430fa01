package main

import (
	"fmt"
	"slices"
	"time"
)

// recordAll writes to the record what was sent, what reached servers and was run, and what was answered, in order of time.
func recordAll(results []sent, arrivals []arrival) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, result := range results {
		lines = append(lines, line{result.at, fmt.Sprintf("request %s sent to %s", result.id, result.front)})
		answer := fmt.Sprintf("request %s answered %d", result.id, result.status)
		if result.status == 0 {
			answer = fmt.Sprintf("request %s ended without an answer: %s", result.id, result.err)
		}
		lines = append(lines, line{result.at.Add(result.took), answer})
	}
	for _, arrival := range arrivals {
		text := "reaches"
		if arrival.ran {
			text = "reaches, and is run by,"
		}
		lines = append(lines, line{arrival.at, fmt.Sprintf("request %s %s server %s", arrival.id, text, arrival.server)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, line := range lines {
		note(line.at, "%s", line.text)
	}
}
